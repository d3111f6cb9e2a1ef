package logs

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"clovertrail.dev/core/fault"
)

// ErrUnknownRequest is the class of the error that no line names the request.
var ErrUnknownRequest = errs.Class("unknown request")

// Timeline describes the course of one request.
type Timeline struct {
	request string
	lines   []Line
	box     string
	facts   []Fact
	cause   string
}

// Request returns the id of the request.
func (t *Timeline) Request() string { return t.request }

// Lines returns the lines that name the request, in order of time.
func (t *Timeline) Lines() []Line { return t.lines }

// Box returns the entry box that logged the last line of the request.
func (t *Timeline) Box() string { return t.box }

// Facts returns the state of that box, and of the groups of the targets tried, at the time
// of the last line of the request.
func (t *Timeline) Facts() []Fact { return t.facts }

// Cause describes in one sentence why the request ended as it did, as far as the lines show.
func (t *Timeline) Cause() string { return t.cause }

// Explain follows a request through the lines of all boxes. It returns an error of class
// ErrUnknownRequest if no line names the request.
func Explain(s *Set, request string) (*Timeline, error) {
	t := &Timeline{request: request}
	for _, l := range s.lines {
		if l.Get("request") == request {
			t.lines = append(t.lines, l)
		}
	}
	if len(t.lines) == 0 {
		return nil, unknownRequest(s, request)
	}
	last := t.lines[len(t.lines)-1]
	t.box = last.box
	t.facts = t.factsAt(s, last)
	t.cause = describeEnd(t.lines) + describeWait(t.lines) + describeWork(s, last)
	return t, nil
}

// timeFormat is the format of times of day within a sentence.
const timeFormat = "15:04:05.000"

// unknownRequest returns the error that no line names the request. It lists the boxes that
// crashed or fell silent: a box logs a request only when the request ends, so one that was
// in progress on such a box has no line.
func unknownRequest(s *Set, request string) error {
	var boxes []string
	for _, l := range s.UncleanRestarts() {
		boxes = append(boxes, l.box+" until "+l.at.Format(timeFormat))
	}
	for _, l := range s.SilentBoxes() {
		boxes = append(boxes, l.box+", whose last line is of "+l.at.Format(timeFormat))
	}
	if len(boxes) == 0 {
		return ErrUnknownRequest.New("%s is in none of %d lines", request, len(s.lines))
	}
	return ErrUnknownRequest.New("%s is in none of %d lines; boxes that ended without a word may have had it: %s",
		request, len(s.lines), strings.Join(boxes, "; "))
}

// factsAt replays all lines up to the time of the request's last line, and returns the facts
// that are relevant to the request.
func (t *Timeline) factsAt(s *Set, last Line) []Fact {
	box, agents := newBoxState(), groups{}
	for _, l := range s.lines {
		if l.at.After(last.at) {
			break
		}
		agents.apply(l)
		if l.box == t.box {
			box.apply(l)
		}
	}
	var targets []string
	for _, l := range t.lines {
		if id := l.Get("target"); id != "" && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return box.facts(last.at, agents, last.Get("service"), targets)
}

// longPause is the shortest pause between two events that is mentioned in the cause; shorter
// pauses are usual in a group under load.
const longPause = 250 * time.Millisecond

// describeEnd describes the end of a request and its failed attempts, given all its lines.
func describeEnd(lines []Line) string {
	last := lines[len(lines)-1]
	var sentence string
	switch last.msg {
	case "request answered":
		sentence = "it was answered"
		if status := last.Get("status"); status != "" && status != "200" {
			sentence += " with " + status + ", which is its target's own"
		}
		if p := last.Duration("pause"); p >= longPause {
			sentence += ", with a pause of " + p.Round(time.Millisecond).String() + " between two events"
		}
	case "caller left":
		sentence = "the caller left before it was answered"
	case "request refused", "answer broken off":
		kind := fault.Kind(last.Get("kind"))
		sentence = strings.TrimPrefix(last.msg, "request ") + " as " + string(kind) + ": " + kind.Response().Text()
		if isShed(last) {
			sentence += "; it was a new caller of class " + last.Get("class") + ", and " + limiterText(last)
		}
	default:
		sentence = "the lines end before the request does"
	}
	for _, l := range lines {
		if l.msg == "attempt failed" {
			sentence += "; attempt " + l.Get("attempt") + " at " + l.Get("target") + " ended: " + l.Get("end")
			if l.Get("target_ended") == "true" {
				sentence += ", and so did the target's process"
			}
			if rest := l.Duration("rest"); rest > 0 {
				sentence += ", and the target asked to be sent nothing for " + rest.Round(time.Millisecond).String()
			}
			if l.Get("target_leaving") == "true" {
				sentence += ", and said that it is leaving"
			}
			if limit := l.Get("limit"); limit != "" {
				sentence += ", and the target named a limit of " + limit + " a second"
			}
		}
	}
	return sentence
}

// limiterText returns the text of the limiter in a line of which isShed is true.
func limiterText(l Line) string {
	text := l.Get("err")
	if i := strings.Index(text, "group "); i >= 0 {
		text = text[i:] // without the kind and the class of the error
	}
	return text
}

// describeWait describes how long a request waited for the group of its service to open, and its first place in the
// queue; empty if it did not wait.
func describeWait(lines []Line) string {
	var sentence string
	var queued Line // the line that the request was queued, while it waits
	for _, l := range lines {
		waited := l.Duration("waited").Round(time.Millisecond).String()
		switch l.msg {
		case "request queued":
			queued = l
		case "queued request released":
			sentence += "; it was queued for " + waited + " until its group was open" + firstPlace(queued)
			queued = Line{}
		case "queued request refused":
			sentence += "; it was queued for " + waited + " for its group to open, and refused as " + l.Get("reason") + firstPlace(queued)
			queued = Line{}
		}
	}
	if queued.msg != "" {
		waited := lines[len(lines)-1].at.Sub(queued.at).Round(time.Millisecond).String()
		sentence += "; it was queued for " + waited + " until the last line" + firstPlace(queued)
	}
	return sentence
}

// firstPlace describes the place at which a request was queued; empty without that line.
func firstPlace(queued Line) string {
	if queued.Get("place") == "" {
		return ""
	}
	return ", at first in place " + queued.Get("place")
}

// describeWork counts the requests with the same digest in the lines up to the last one of
// this request, and names the targets that ended while they ran such a request; empty if
// none ended.
func describeWork(s *Set, last Line) string {
	digest := last.Get("digest")
	if digest == "" {
		return ""
	}
	requests, ended := map[string]bool{}, map[string]bool{}
	for _, l := range s.lines {
		if l.Get("digest") != digest || l.at.After(last.at) {
			continue
		}
		if id := l.Get("request"); id != "" {
			requests[id] = true
		}
		if id := l.Get("target"); id != "" && (l.msg == "target ended under work" || l.msg == "work in quarantine") {
			ended[id] = true
		}
	}
	if len(ended) == 0 {
		return ""
	}
	return fmt.Sprintf("; of its work %d tries are in the lines so far, and under it ended %s",
		len(requests), strings.Join(slices.Sorted(maps.Keys(ended)), ", "))
}
