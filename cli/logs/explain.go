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

// ErrUnknown reports that no line has the request.
var ErrUnknown = errs.Class("unknown request")

// Timeline is what happened to one request.
type Timeline struct {
	request string
	lines   []Line
	box     string
	facts   []Fact
	cause   string
}

// Request is its id.
func (t *Timeline) Request() string { return t.request }

// Lines are the lines that have it, in order of time.
func (t *Timeline) Lines() []Line { return t.lines }

// Box is the entry box that decided about it last.
func (t *Timeline) Box() string { return t.box }

// Facts are what that box held true as it decided, with the groups concerned.
func (t *Timeline) Facts() []Fact { return t.facts }

// Cause describes in a sentence why it ended as it did, as far as the lines show.
func (t *Timeline) Cause() string { return t.cause }

// Explain follows a request through the lines of all boxes. The error is of ErrUnknown
// if no line has it.
func Explain(s *Set, request string) (*Timeline, error) {
	t := &Timeline{request: request}
	for _, l := range s.lines {
		if l.Get("request") == request {
			t.lines = append(t.lines, l)
		}
	}
	if len(t.lines) == 0 {
		return nil, unknown(s, request)
	}
	last := t.lines[len(t.lines)-1]
	t.box = last.box
	t.facts = t.factsAt(s, last)
	t.cause = causeOf(t.lines) + workOf(s, last)
	return t, nil
}

// clock is how times are named in a sentence.
const clock = "15:04:05.000"

// unknown reports that no line has the request, and names the boxes that may have taken their
// news of it with them: a box logs a request as it ends.
func unknown(s *Set, request string) error {
	var boxes []string
	for _, l := range s.Died() {
		boxes = append(boxes, l.box+" until "+l.at.Format(clock))
	}
	for _, l := range s.Silent() {
		boxes = append(boxes, l.box+", whose last line is of "+l.at.Format(clock))
	}
	if len(boxes) == 0 {
		return ErrUnknown.New("%s is in none of %d lines", request, len(s.lines))
	}
	return ErrUnknown.New("%s is in none of %d lines; boxes that ended without a word may have had it: %s",
		request, len(s.lines), strings.Join(boxes, "; "))
}

// factsAt replays the lines up to the one that ended the request.
func (t *Timeline) factsAt(s *Set, last Line) []Fact {
	box, agents := newBoxView(), groups{}
	for _, l := range s.lines {
		if l.at.After(last.at) {
			break
		}
		agents.take(l)
		if l.box == t.box {
			box.take(l)
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

// lateFor is the pause between two events that is named as a reason; shorter ones are
// usual in a group under load.
const lateFor = 250 * time.Millisecond

// causeOf puts the end of a request into a sentence.
func causeOf(lines []Line) string {
	last := lines[len(lines)-1]
	var sentence string
	switch last.msg {
	case "request answered":
		sentence = "it was answered"
		if status := last.Get("status"); status != "" && status != "200" {
			sentence += " with " + status + ", which is its target's own"
		}
		if p := last.Duration("pause"); p >= lateFor {
			sentence += ", with a pause of " + p.Round(time.Millisecond).String() + " between two events"
		}
	case "caller left":
		sentence = "the caller left before it was answered"
	case "request refused", "answer broken off":
		kind := fault.Kind(last.Get("kind"))
		sentence = strings.TrimPrefix(last.msg, "request ") + " as " + string(kind) + ": " + kind.Response().Text()
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

// workOf reports what became of targets that had the same work up to then, from whichever try of
// it; empty if none ended.
func workOf(s *Set, last Line) string {
	digest := last.Get("digest")
	if digest == "" {
		return ""
	}
	tries, ended := map[string]bool{}, map[string]bool{}
	for _, l := range s.lines {
		if l.Get("digest") != digest || l.at.After(last.at) {
			continue
		}
		if id := l.Get("request"); id != "" {
			tries[id] = true
		}
		if id := l.Get("target"); id != "" && (l.msg == "target ended under work" || l.msg == "work in quarantine") {
			ended[id] = true
		}
	}
	if len(ended) == 0 {
		return ""
	}
	return fmt.Sprintf("; of its work %d tries are in the lines so far, and under it ended %s",
		len(tries), strings.Join(slices.Sorted(maps.Keys(ended)), ", "))
}
