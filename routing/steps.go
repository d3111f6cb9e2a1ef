package routing

import (
	"math"
	"time"

	"clovertrail.dev/core/domain"
)

// steps is the length of a group's steps, as estimated from the pauses between events of its
// streams. It is more reliable than the slowdown that ranks report: a slow rank need not make the
// steps of its group long if it gets less work.
type steps struct {
	pauses float64   // mean pause, as a share of the longest pause that is in time
	at     time.Time // time of the last pause
}

const (
	// stepsSmoothing is the time constant over which pauses are averaged: a few steps, and less than
	// the second that a group takes to fill its slots after its load has doubled.
	stepsSmoothing = 300 * time.Millisecond
	// stepsFresh is how long the mean of the pauses is used after the last pause.
	stepsFresh = time.Second
	// stepsRetention is how long the steps of a group are stored after its last pause: much longer
	// than it takes to form a group again.
	stepsRetention = time.Minute
)

// recordPause adds a pause, as a share of the longest pause that is in time. The first pause
// replaces the initial value entirely.
func (s *steps) recordPause(now time.Time, share float64) {
	passed := now.Sub(s.at)
	weight := 1 - math.Exp(-float64(passed)/float64(stepsSmoothing))
	s.pauses += weight * (share - s.pauses)
	s.at = now
}

func (s *steps) fresh(now time.Time) bool { return now.Sub(s.at) <= stepsFresh }

// RecordPause records the time between two events of a stream of the option. longest is the longest
// pause that the route counts as in time, and 0 if the route sets no such limit; the pause is then
// ignored, as are pauses of targets without a group.
func (b *Balancer) RecordPause(now time.Time, o Option, pause, longest time.Duration) {
	if longest <= 0 || o.Group == "" {
		return
	}
	s, ok := b.steps[o.Group]
	if !ok {
		s = &steps{}
		b.steps[o.Group] = s
	}
	s.recordPause(now, float64(pause)/float64(longest))
}

// maxRelativeSlowdown is the largest slowdown of a rank, relative to the fastest rank of its group,
// with which the rank still gets requests. A rank with at least one stream has to execute the fixed
// part of each step. A slow rank takes longer for it by its slowdown, and the whole group waits for
// that rank (docs/EXPERTS.md). Leaving a rank out costs the other ranks no more than its share of the
// streams.
const maxRelativeSlowdown = 1.25

// withoutSlowRanks removes the ranks that would lengthen the steps of their groups. Experts are
// still placed on these ranks, but fewer (experts/rebalance).
func (b *Balancer) withoutSlowRanks(options []Option) []Option {
	if b.maxSlowdown(options) <= maxRelativeSlowdown {
		return options
	}
	fastest := map[domain.GroupName]float64{}
	for _, o := range options {
		slowdown := b.load(o.ID).slowdown
		if f, ok := fastest[o.Group]; !ok || slowdown < f {
			fastest[o.Group] = slowdown
		}
	}
	var kept []Option
	for _, o := range options {
		if o.Group == "" || b.load(o.ID).slowdown <= maxRelativeSlowdown*fastest[o.Group] {
			kept = append(kept, o)
		}
	}
	return kept
}

// IsStraggler reports whether the option makes the steps of its group too long for the streams of
// all its ranks, and another rank of the group among the options is fast enough to replace it. A slow rank gets no new
// streams, but its running streams delay all others until they end. Limited targets do not count as
// alternatives: a stream that is moved may get no permit, and would be cut.
func (b *Balancer) IsStraggler(now time.Time, o Option, options []Option) bool {
	s, ok := b.steps[o.Group]
	if o.Group == "" || !ok || !s.fresh(now) || s.pauses <= 1 {
		return false
	}
	fastest := math.Inf(1)
	for _, x := range options {
		if x.Group == o.Group && x.ID != o.ID && !x.Limited {
			fastest = min(fastest, b.load(x.ID).slowdown)
		}
	}
	return b.load(o.ID).slowdown > maxRelativeSlowdown*fastest
}

// IsStepping reports whether the option's group has recently been observed to run steps; it is true
// for targets without a group. While a group stands still, a failure at one rank is not that rank's
// fault. Long steps do not excuse a rank: while demand shifts, steps are long everywhere, and a rank
// that answers no requests would be detected seconds later.
func (b *Balancer) IsStepping(now time.Time, o Option) bool {
	if o.Group == "" {
		return true
	}
	s, ok := b.steps[o.Group]
	return ok && s.fresh(now)
}

// stepLength returns the length of the group's steps, as a share of the longest pause that is in
// time. Without recent pauses it is the usual length times the slowdown of the slowest rank.
func (b *Balancer) stepLength(now time.Time, group []Option, usual float64) float64 {
	if s, ok := b.steps[group[0].Group]; ok && s.fresh(now) {
		return s.pauses
	}
	return usual * b.maxSlowdown(group)
}

// meanStep returns the mean step length of the groups with recent pauses, and 1 if there are none.
func (b *Balancer) meanStep(now time.Time, groups map[domain.GroupName][]Option) float64 {
	sum, n := 0.0, 0
	for name := range groups {
		if s, ok := b.steps[name]; ok && s.fresh(now) {
			sum += s.pauses
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// forgetSteps drops groups without pauses for stepsRetention.
func (b *Balancer) forgetSteps(now time.Time) {
	for name, s := range b.steps {
		if now.Sub(s.at) > stepsRetention {
			delete(b.steps, name)
		}
	}
}
