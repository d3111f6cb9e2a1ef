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

// Line is one line of a box.
type Line struct {
	at     time.Time
	box    string
	msg    string
	fields map[string]string
}

// At is when the box wrote the line, by its clock.
func (l Line) At() time.Time { return l.at }

// Box is the box that wrote it.
func (l Line) Box() string { return l.box }

// Message is the text of the line.
func (l Line) Message() string { return l.msg }

// Get is the value of a field; empty if the line has none.
func (l Line) Get(key string) string { return l.fields[key] }

// Duration is the value of a field that is a time; 0 if it is not.
func (l Line) Duration(key string) time.Duration {
	d, err := time.ParseDuration(l.fields[key])
	if err != nil {
		return 0
	}
	return d
}

// Number is the value of a field that is a number; 0 if it is not.
func (l Line) Number(key string) float64 {
	n, err := strconv.ParseFloat(l.fields[key], 64)
	if err != nil {
		return 0
	}
	return n
}

// Set is lines of any number of boxes in order of time.
type Set struct {
	lines   []Line
	damaged int
}

// Lines are the lines. They must not be changed.
func (s *Set) Lines() []Line { return s.lines }

// Damaged is how many lines could not be read.
func (s *Set) Damaged() int { return s.damaged }

// UncleanRestarts are the first lines of processes whose box had one before that served requests and
// did not stop as planned: it was killed, or lost power.
func (s *Set) UncleanRestarts() []Line {
	var list []Line
	running := map[string]bool{}
	for _, l := range s.lines {
		switch {
		case l.msg == "started" && running[l.box]:
			list = append(list, l)
		case l.msg == "stopped":
			running[l.box] = false
		case l.Get("request") != "":
			running[l.box] = true
		}
	}
	return list
}

// silentFor is after how long without a line a box that served requests is taken to be
// gone, while others write on. Under load a box ends several requests a second.
const silentFor = 3 * time.Second

// SilentBoxes are the last lines of boxes that served requests, did not stop as planned, and
// wrote nothing more while others did: they went for good, or stand still.
func (s *Set) SilentBoxes() []Line {
	last := map[string]Line{}
	served := map[string]bool{}
	for _, l := range s.lines {
		last[l.box] = l
		served[l.box] = (served[l.box] || l.Get("request") != "") && l.msg != "stopped"
	}
	var list []Line
	for box, l := range last {
		if served[box] && s.lines[len(s.lines)-1].at.Sub(l.at) > silentFor {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(x, y Line) int { return x.at.Compare(y.at) })
	return list
}

// longestLine is the most bytes of a line that is read: far more than any that
// clovertrail-node writes, which are under a kilobyte.
const longestLine = 1 << 20

// Read reads whole logs. An error is one of a reader.
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

func (s *Set) add(raw []byte) {
	l, ok := parse(raw)
	if !ok {
		s.damaged++
		return
	}
	s.lines = append(s.lines, l)
}

// parse reads a line; false if it is damaged or of another program.
func parse(raw []byte) (Line, bool) {
	if len(raw) > longestLine {
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
