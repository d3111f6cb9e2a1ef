package logs

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one parsed log line.
type Line struct {
	at     time.Time
	box    string
	msg    string
	fields map[string]string
}

// At returns the time at which the box wrote the line, by the clock of the box.
func (l Line) At() time.Time { return l.at }

// Box returns the name of the box that wrote the line.
func (l Line) Box() string { return l.box }

// Message returns the message of the line.
func (l Line) Message() string { return l.msg }

// Get returns the value of a field, or "" if the line does not have the field.
func (l Line) Get(key string) string { return l.fields[key] }

// Duration returns the value of a field as a duration, or 0 if it is absent or not a duration.
func (l Line) Duration(key string) time.Duration {
	d, err := time.ParseDuration(l.fields[key])
	if err != nil {
		return 0
	}
	return d
}

// Number returns the value of a field as a number, or 0 if it is absent or not a number.
func (l Line) Number(key string) float64 {
	n, err := strconv.ParseFloat(l.fields[key], 64)
	if err != nil {
		return 0
	}
	return n
}

// Set holds the lines of any number of boxes, sorted by time.
type Set struct {
	lines   []Line
	damaged int
}

// Lines returns the lines. The caller must not modify them.
func (s *Set) Lines() []Line { return s.lines }

// Damaged returns the number of lines that could not be parsed.
func (s *Set) Damaged() int { return s.damaged }

// UncleanRestarts returns the "started" line of each process whose predecessor on the same box
// served requests and did not stop as planned: it was killed, or the box lost power.
func (s *Set) UncleanRestarts() []Line {
	var list []Line
	running := map[string]bool{}
	for _, l := range s.lines {
		switch {
		case l.msg == "started" && running[l.box]:
			list = append(list, l)
			running[l.box] = false
		case l.msg == "stopped":
			running[l.box] = false
		case l.Get("request") != "":
			running[l.box] = true
		}
	}
	return list
}

// silenceTimeout is the time without a line after which a box that served requests counts as
// silent while other boxes continue to log. Under load a box logs several ended requests a second.
const silenceTimeout = 3 * time.Second

// SilentBoxes returns the last line of each box that served requests, did not stop as planned,
// and logged nothing more while others did: it ended and did not restart, or it is frozen.
func (s *Set) SilentBoxes() []Line {
	last := map[string]Line{}
	served := map[string]bool{}
	for _, l := range s.lines {
		last[l.box] = l
		served[l.box] = (served[l.box] || l.Get("request") != "") && l.msg != "stopped"
	}
	var list []Line
	for box, l := range last {
		if served[box] && s.lines[len(s.lines)-1].at.Sub(l.at) > silenceTimeout {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(x, y Line) int { return x.at.Compare(y.at) })
	return list
}

// maxLineBytes limits the length of a line; longer lines count as damaged. The lines of
// clovertrail-node are far shorter, under a kilobyte.
const maxLineBytes = 1 << 20

// Read reads each log to its end. It fails only if a reader fails.
func Read(readers ...io.Reader) (*Set, error) {
	s := &Set{}
	for _, r := range readers {
		if err := s.read(r); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(s.lines, func(a, b Line) int { return a.at.Compare(b.at) })
	return s, nil
}

func (s *Set) read(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		raw, err := in.ReadBytes('\n')
		if len(raw) > 0 {
			s.add(raw)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// add parses a line and adds it to the set, or counts it as damaged.
func (s *Set) add(raw []byte) {
	l, ok := parse(raw)
	if !ok {
		s.damaged++
		return
	}
	s.lines = append(s.lines, l)
}

// parse parses a line. It returns false if the line is damaged or was written by another program.
func parse(raw []byte) (Line, bool) {
	if len(raw) > maxLineBytes {
		return Line{}, false
	}
	l := Line{fields: map[string]string{}}
	d := logfmt.NewDecoder(bytes.NewReader(raw))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		l.fields[string(d.Key())] = string(d.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil || d.Err() != nil || l.fields["msg"] == "" {
		return Line{}, false
	}
	l.at, l.box, l.msg = at, l.fields["box"], l.fields["msg"]
	return l, true
}
