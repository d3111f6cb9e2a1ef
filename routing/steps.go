package routing

import (
	"math"
	"time"

	"clovertrail.dev/core/domain"
)

// steps is how long the steps of a group are, as the pauses between events of its
// streams show. It says more than what the ranks report: a slow rank need not make the
// steps of its group long if it is given less to do.
type steps struct {
	pauses float64 // mean pause, as a share of the longest in time
	at     time.Time
}

const (
	// stepsSmoothing is the time over which pauses are averaged: a few steps, and less
	// than the second in which a group that gets twice its load fills its slots.
	stepsSmoothing = 300 * time.Millisecond
	// stepsFresh is how long pauses count after the last that was seen.
	stepsFresh = time.Second
	// stepsKept is how long pauses that no longer count are kept: long after a group is
	// formed anew.
	stepsKept = time.Minute
)

// paused takes a pause, as a share of the longest in time. The first counts whole.
func (s *steps) paused(now time.Time, share float64) {
	passed := now.Sub(s.at)
	weight := 1 - math.Exp(-float64(passed)/float64(stepsSmoothing))
	s.pauses += weight * (share - s.pauses)
	s.at = now
}

func (s *steps) fresh(now time.Time) bool { return now.Sub(s.at) <= stepsFresh }

// RecordPause takes the time between two events of a stream of the option, and the longest
// that is in time; 0 for none. Only what steps in a group is followed.
func (b *Balancer) RecordPause(now time.Time, o Option, pause, aim time.Duration) {
	if aim <= 0 || o.Group == "" {
		return
	}
	s, ok := b.steps[o.Group]
	if !ok {
		s = &steps{}
		b.steps[o.Group] = s
	}
	s.paused(now, float64(pause)/float64(aim))
}

// slowBy is how many times the pace of the fastest rank of its group a rank must have to
// be left out. A rank that runs any stream has to make the fixed part of each step, which
// for a slow one takes longer by its pace, and the whole group waits for it (docs/EXPERTS.md). A
// rank left out costs the others no more than its share of the streams.
const slowBy = 1.25

// brisk leaves out the ranks that would make the steps of their groups longer. Experts
// are still placed on them, fewer (experts/rebalance).
func (b *Balancer) brisk(options []Option) []Option {
	fastest := map[domain.GroupName]float64{}
	slow := false
	for _, o := range options {
		pace := b.load(o.ID).pace
		if f, ok := fastest[o.Group]; !ok || pace < f {
			fastest[o.Group] = pace
		}
		slow = slow || pace > slowBy
	}
	if !slow {
		return options
	}
	var kept []Option
	for _, o := range options {
		if o.Group == "" || b.load(o.ID).pace <= slowBy*fastest[o.Group] {
			kept = append(kept, o)
		}
	}
	return kept
}

// IsStraggler reports whether the option makes the steps of its group too long for the streams of
// all ranks while others of the group, among the options, would not. A slow rank gets no
// new streams, but those that it has hold all others up until they end. A limited target does not count: a stream that is moved may get no
// permit, and would be cut.
func (b *Balancer) IsStraggler(now time.Time, o Option, options []Option) bool {
	s, ok := b.steps[o.Group]
	if o.Group == "" || !ok || !s.fresh(now) || s.pauses <= 1 {
		return false
	}
	fastest := math.Inf(1)
	for _, x := range options {
		if x.Group == o.Group && x.ID != o.ID && !x.Limited {
			fastest = min(fastest, b.load(x.ID).pace)
		}
	}
	return b.load(o.ID).pace > slowBy*fastest
}

// IsStepping reports that the option's group is seen to step, or that it stands alone: while a
// group stands still, what goes wrong at one rank is not that rank's fault. Long steps do
// not excuse a rank: while demand shifts they are long everywhere, and a rank that answers nobody
// would be found seconds later.
func (b *Balancer) IsStepping(now time.Time, o Option) bool {
	if o.Group == "" {
		return true
	}
	s, ok := b.steps[o.Group]
	return ok && s.fresh(now)
}

// step is how long the group's steps are, as a share of the longest pause in time.
// Where none were seen lately it is the usual one, longer by the pace of the slowest
// rank.
func (b *Balancer) step(now time.Time, group []Option, usual float64) float64 {
	if s, ok := b.steps[group[0].Group]; ok && s.fresh(now) {
		return s.pauses
	}
	return usual * b.pace(group)
}

// usualStep is the mean step of the groups whose streams were seen lately.
func (b *Balancer) usualStep(now time.Time, groups map[domain.GroupName][]Option) float64 {
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

// forgetSteps drops those of which nothing was seen for long.
func (b *Balancer) forgetSteps(now time.Time) {
	for name, s := range b.steps {
		if now.Sub(s.at) > stepsKept {
			delete(b.steps, name)
		}
	}
}
