package logs

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Count is the number of log lines with the same outcome.
type Count struct {
	label string
	n     int
}

// Label returns the outcome that was counted.
func (c Count) Label() string { return c.label }

// N returns the number of lines.
func (c Count) N() int { return c.n }

// Percentiles summarises N durations.
type Percentiles struct {
	N                  int
	P50, P95, P99, Max time.Duration
}

// Second summarises one second of the logs.
type Second struct {
	From              time.Time
	Answered, Refused int
	MapChanges        int           // map changes that were committed
	FirstByteP95      time.Duration // 95th percentile of the time to the first byte of an answer
	Skew              float64       // the highest skew of a group; 0 before the first map proposed
}

// Report summarises the lines of all boxes.
type Report struct {
	lines, damaged int
	from, to       time.Time
	outcomes       map[string]int // requests by outcome
	attempts       map[string]int // failed attempts by outcome
	changes        map[string]int // map changes by outcome
	shed           map[string]int // requests refused at the concurrency limit by class
	queue          queueCounts
	skews          []float64 // one for each map proposed
	firstByte      *hdrhistogram.Histogram
	pauses         *hdrhistogram.Histogram
	seconds        []Second
}

// Bounds of the histograms in microseconds, and their precision in significant decimal digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// NewReport summarises the lines of a set.
func NewReport(s *Set) *Report {
	r := &Report{
		lines: len(s.lines), damaged: s.damaged,
		outcomes: map[string]int{}, attempts: map[string]int{}, changes: map[string]int{},
		shed: map[string]int{}, queue: queueCounts{outcomes: map[string]int{}},
		firstByte: newHistogram(), pauses: newHistogram(),
	}
	if len(s.lines) == 0 {
		return r
	}
	lines := near(s.lines)
	r.lines, r.damaged = len(lines), r.damaged+len(s.lines)-len(lines)
	r.from, r.to = lines[0].at, lines[len(lines)-1].at
	firstBytes := map[int]*hdrhistogram.Histogram{}
	r.seconds = make([]Second, int(r.to.Sub(r.from)/time.Second)+1)
	for i := range r.seconds {
		r.seconds[i].From = r.from.Add(time.Duration(i) * time.Second)
	}
	skew := newSkewSeries()
	for _, l := range lines {
		r.add(l, firstBytes)
		r.queue.add(l)
		skew.apply(r.second(l), l)
	}
	skew.extend(len(r.seconds))
	for i, v := range skew.highest {
		r.seconds[i].Skew = v
	}
	for i, h := range firstBytes {
		r.seconds[i].FirstByteP95 = microseconds(h.ValueAtQuantile(95))
	}
	return r
}

// maxDistance is the time from the median line beyond which the time of a line counts as wrong: longer than logs are kept.
const maxDistance = 7 * 24 * time.Hour

// near returns the lines, which are sorted and not empty, without those far from the median. A report has an entry for
// each second of its span.
func near(lines []Line) []Line {
	median := lines[len(lines)/2].at
	far := func(l Line) bool { return l.at.Sub(median).Abs() > maxDistance }
	for far(lines[0]) {
		lines = lines[1:]
	}
	for far(lines[len(lines)-1]) {
		lines = lines[:len(lines)-1]
	}
	return lines
}

// second returns the second of the span that the line belongs to.
func (r *Report) second(l Line) int { return int(l.at.Sub(r.from) / time.Second) }

// add counts a line. firstBytes holds a histogram of the time to the first byte for each second
// of the span that has an answer.
func (r *Report) add(l Line, firstBytes map[int]*hdrhistogram.Histogram) {
	at := r.second(l)
	switch l.msg {
	case "request answered":
		r.outcomes["answered"]++
		r.seconds[at].Answered++
		record(r.firstByte, l.Duration("first"))
		if firstBytes[at] == nil {
			firstBytes[at] = newHistogram()
		}
		record(firstBytes[at], l.Duration("first"))
		if p := l.Duration("pause"); p > 0 {
			record(r.pauses, p)
		}
	case "request refused":
		r.outcomes["refused as "+l.Get("kind")]++
		r.seconds[at].Refused++
		if isShed(l) {
			r.shed[l.Get("class")]++
		}
	case "answer broken off":
		r.outcomes["broken off as "+l.Get("kind")]++
	case "caller left":
		r.outcomes["left by the caller"]++
	case "attempt failed":
		r.attempts[attemptOutcome(l)]++
	case "map proposed":
		r.skews = append(r.skews, l.Number("skew"))
	case "map change ended":
		r.changes[l.Get("end")]++
		if l.Get("end") == "committed" {
			r.seconds[at].MapChanges++
		}
	}
}

// record adds a duration, limited to the bounds of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // cannot fail: the value is within the bounds
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
