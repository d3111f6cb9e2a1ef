package logs

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// address is host:port, and what may stand between two of them.
var address = regexp.MustCompile(`[0-9.]+:[0-9]+(->)?`)

// endOf is how an attempt ended, without the addresses that differ each time.
func endOf(l Line) string {
	word, rest, more := strings.Cut(l.Get("end"), ": ")
	if !more {
		return word
	}
	if i := strings.LastIndex(rest, ": "); i >= 0 {
		rest = rest[i+2:]
	}
	return word + ": " + strings.TrimSpace(address.ReplaceAllString(rest, ""))
}

// counts are the entries of a map, the largest first.
func counts(m map[string]int) []Count {
	var list []Count
	for _, what := range slices.Sorted(maps.Keys(m)) {
		list = append(list, Count{what: what, n: m[what]})
	}
	slices.SortStableFunc(list, func(a, b Count) int { return cmp.Compare(b.n, a.n) })
	return list
}

// Lines is how many lines were read, and how many of all could not be.
func (r *Report) Lines() (read, damaged int) { return r.lines, r.damaged }

// Span is the time of the first and the last line.
func (r *Report) Span() (from, to time.Time) { return r.from, r.to }

// Outcomes are how requests ended.
func (r *Report) Outcomes() []Count { return counts(r.ends) }

// FailedAttempts are how attempts ended that were not the end of their request.
func (r *Report) FailedAttempts() []Count { return counts(r.attempts) }

// MapChanges are how changes of maps ended.
func (r *Report) MapChanges() []Count { return counts(r.changes) }

// Skews are the skews at which maps were proposed: load of the hottest ranks over that
// of even ones.
func (r *Report) Skews() []float64 { return r.skews }

// FirstByte is the time until answers began.
func (r *Report) FirstByte() Percentiles { return percentiles(r.first) }

// StreamPauses are the longest pauses between two events of a stream.
func (r *Report) StreamPauses() Percentiles { return percentiles(r.pauses) }

// Seconds are the seconds of the span.
func (r *Report) Seconds() []Second { return r.seconds }

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		N: int(h.TotalCount()), P50: micros(h.ValueAtQuantile(50)), P95: micros(h.ValueAtQuantile(95)),
		P99: micros(h.ValueAtQuantile(99)), Max: micros(h.Max()),
	}
}
