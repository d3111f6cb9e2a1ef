package rebalance

import (
	"fmt"
	"math"
	"strings"
	"time"
)

const (
	// slowdownChange is the factor by which a rank's slowdown must change for a plan of its own: a
	// rank that is slower by a fifth, with an even share of the load, lengthens the steps of its
	// group by more than the least saving of a plan.
	slowdownChange = 1.2
	// slowdownGathering is the time from a changed slowdown to the plan: a round of reads, since
	// several ranks may change at once, and a second plan has to wait for the end of the first change.
	slowdownGathering = 50 * time.Millisecond
	// SlowThreshold is the slowdown above which a rank counts as slow.
	SlowThreshold = 1.1
)

// Slowdowns holds how many times longer than usual the work of each rank takes, as last reported.
// It is not safe for concurrent use.
type Slowdowns struct {
	values    []float64
	planned   []float64   // values at the last plan
	slowSince []time.Time // by rank; zero if the rank is not slow
	changedAt time.Time   // first change since the last plan; zero if there was none
}

// NewSlowdowns returns the state before any report: no rank is slow.
func NewSlowdowns(ranks int) *Slowdowns {
	s := &Slowdowns{values: make([]float64, ranks), planned: make([]float64, ranks), slowSince: make([]time.Time, ranks)}
	for r := range ranks {
		s.values[r], s.planned[r] = 1, 1
	}
	return s
}

// Record records the slowdown of a rank and returns the one before. It ignores a value that is no
// slowdown (zero, negative, infinite or not a number) or of no rank of the group, and returns false.
func (s *Slowdowns) Record(now time.Time, rank int, slowdown float64) (before float64, valid bool) {
	if rank < 0 || rank >= len(s.values) || !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return 0, false
	}
	before, s.values[rank] = s.values[rank], slowdown
	switch slow := slowdown > SlowThreshold; {
	case !slow:
		s.slowSince[rank] = time.Time{}
	case s.slowSince[rank].IsZero():
		s.slowSince[rank] = now
	}
	if ratio := max(slowdown, 1) / max(s.planned[rank], 1); s.changedAt.IsZero() && (ratio > slowdownChange || ratio < 1/slowdownChange) {
		s.changedAt = now
	}
	return before, true
}

// PlanDue reports whether the slowdowns have changed enough since the last plan for another one.
func (s *Slowdowns) PlanDue(now time.Time) bool {
	return !s.changedAt.IsZero() && now.Sub(s.changedAt) >= slowdownGathering
}

// Planned records that a plan was made with the present slowdowns.
func (s *Slowdowns) Planned() {
	copy(s.planned, s.values)
	s.changedAt = time.Time{}
}

// Values returns the slowdowns by rank. They must not be modified.
func (s *Slowdowns) Values() []float64 { return s.values }

// Slow returns the number of slow ranks.
func (s *Slowdowns) Slow() int {
	n := 0
	for _, since := range s.slowSince {
		if !since.IsZero() {
			n++
		}
	}
	return n
}

// Describe returns the slow ranks with their slowdowns, and for how long they have been slow, for logs.
func (s *Slowdowns) Describe(now time.Time) string {
	var list []string
	for r, since := range s.slowSince {
		if !since.IsZero() {
			list = append(list, fmt.Sprintf("%d:%.1f for %v", r, s.values[r], now.Sub(since).Round(100*time.Millisecond)))
		}
	}
	return strings.Join(list, ", ")
}
