package logs

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Count is how often something was logged.
type Count struct {
	what string
	n    int
}

// Label was counted.
func (c Count) Label() string { return c.what }

// N is how often.
func (c Count) N() int { return c.n }

// Percentiles are of times.
type Percentiles struct {
	N                  int
	P50, P95, P99, Max time.Duration
}

// Second is what happened within one second of the logs.
type Second struct {
	From              time.Time
	Answered, Refused int
	MapChanges              int           // changes of maps that came into use
	FirstByteP95             time.Duration // until answers began, the 95th percentile
}

// Report is how a stretch of time went, over all boxes.
type Report struct {
	lines, damaged int
	from, to       time.Time
	ends           map[string]int // of requests
	attempts       map[string]int // failed ones, by how they ended
	changes        map[string]int // of maps, by how they ended
	skews          []float64      // as maps were proposed
	first, pauses  *hdrhistogram.Histogram
	seconds        []Second
}

// Bounds of the histograms, in microseconds, with three digits.
const (
	leastMicros = 1
	mostMicros  = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastMicros, mostMicros, digits)
}

// NewReport adds up the lines of a set.
func NewReport(s *Set) *Report {
	r := &Report{
		lines: len(s.lines), damaged: s.damaged,
		ends: map[string]int{}, attempts: map[string]int{}, changes: map[string]int{},
		first: newHistogram(), pauses: newHistogram(),
	}
	if len(s.lines) == 0 {
		return r
	}
	r.from, r.to = s.lines[0].at, s.lines[len(s.lines)-1].at
	begins := map[int]*hdrhistogram.Histogram{}
	r.seconds = make([]Second, int(r.to.Sub(r.from)/time.Second)+1)
	for i := range r.seconds {
		r.seconds[i].From = r.from.Add(time.Duration(i) * time.Second)
	}
	for _, l := range s.lines {
		r.add(l, begins)
	}
	for i, h := range begins {
		r.seconds[i].FirstByteP95 = micros(h.ValueAtQuantile(95))
	}
	return r
}

// add counts a line.
func (r *Report) add(l Line, begins map[int]*hdrhistogram.Histogram) {
	at := int(l.at.Sub(r.from) / time.Second)
	switch l.msg {
	case "request answered":
		r.ends["answered"]++
		r.seconds[at].Answered++
		record(r.first, l.Duration("first"))
		if begins[at] == nil {
			begins[at] = newHistogram()
		}
		record(begins[at], l.Duration("first"))
		if p := l.Duration("pause"); p > 0 {
			record(r.pauses, p)
		}
	case "request refused":
		r.ends["refused as "+l.Get("kind")]++
		r.seconds[at].Refused++
	case "answer broken off":
		r.ends["broken off as "+l.Get("kind")]++
	case "caller left":
		r.ends["left by the caller"]++
	case "attempt failed":
		r.attempts[endOf(l)]++
	case "map proposed":
		r.skews = append(r.skews, l.Number("skew"))
	case "map change ended":
		r.changes[l.Get("end")]++
		if l.Get("end") == "committed" {
			r.seconds[at].MapChanges++
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros)) // it is within the bounds
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
