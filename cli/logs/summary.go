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

// addressPattern matches host:port, with the arrow that may follow in errors of package net.
var addressPattern = regexp.MustCompile(`[0-9.]+:[0-9]+(->)?`)

// attemptOutcome returns the outcome of an attempt with the last part of its error, without
// the addresses: they differ from attempt to attempt and would keep equal errors apart.
func attemptOutcome(l Line) string {
	outcome, cause, found := strings.Cut(l.Get("end"), ": ")
	if !found {
		return outcome
	}
	if i := strings.LastIndex(cause, ": "); i >= 0 {
		cause = cause[i+2:]
	}
	return outcome + ": " + strings.TrimSpace(addressPattern.ReplaceAllString(cause, ""))
}

// sortedCounts returns the entries of a map, the largest count first and equal counts by label.
func sortedCounts(m map[string]int) []Count {
	var list []Count
	for _, label := range slices.Sorted(maps.Keys(m)) {
		list = append(list, Count{label: label, n: m[label]})
	}
	slices.SortStableFunc(list, func(a, b Count) int { return cmp.Compare(b.n, a.n) })
	return list
}

// Lines returns the number of lines parsed, and the number that could not be parsed.
func (r *Report) Lines() (read, damaged int) { return r.lines, r.damaged }

// Span returns the times of the first and the last line.
func (r *Report) Span() (from, to time.Time) { return r.from, r.to }

// Outcomes counts requests by outcome.
func (r *Report) Outcomes() []Count { return sortedCounts(r.outcomes) }

// FailedAttempts counts, by outcome, the attempts that ended without answering their request.
func (r *Report) FailedAttempts() []Count { return sortedCounts(r.attempts) }

// MapChanges counts changes of maps by outcome.
func (r *Report) MapChanges() []Count { return sortedCounts(r.changes) }

// Skews returns the skew at each proposal of a map: the load of the most loaded ranks divided
// by the load that each rank would have if all were even.
func (r *Report) Skews() []float64 { return r.skews }

// FirstByte returns percentiles of the time from a request to the first byte of its answer.
func (r *Report) FirstByte() Percentiles { return percentiles(r.firstByte) }

// StreamPauses returns percentiles of the longest pause between two events of each stream.
func (r *Report) StreamPauses() Percentiles { return percentiles(r.pauses) }

// Seconds returns a summary of each second of the span.
func (r *Report) Seconds() []Second { return r.seconds }

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		N: int(h.TotalCount()), P50: microseconds(h.ValueAtQuantile(50)), P95: microseconds(h.ValueAtQuantile(95)),
		P99: microseconds(h.ValueAtQuantile(99)), Max: microseconds(h.Max()),
	}
}
