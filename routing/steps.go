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

// Paused takes the time between two events of a stream of the option, and the longest
// that is in time; 0 for none. Only what steps in a group is followed.
func (b *Balancer) Paused(now time.Time, o Option, pause, aim time.Duration) {
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
