package orders

import (
	"math"
	"time"
)

// stepTimes estimates the duration of the group's steps, so that a hold is placed only as
// many steps ahead as arming needs: where a slow rank makes steps long, a map that waits for
// several of them corrects the load seconds late.
type stepTimes struct {
	latest   Step // highest step that a rank has reported
	latestAt time.Time
	mean     time.Duration
	last     time.Duration // length of the last step, or the mean of the last ones if several began between two observations
	// begunAfter is the time after which the step latest began, shortly before latestAt; zero if
	// the step before it was not observed shortly before.
	begunAfter time.Time
}

const (
	// holdLead is the time between the request of a hold and the start of its step: the
	// age of the last reads and the transit time of a few orders.
	holdLead = 50 * time.Millisecond
	// holdLeadPerRedundantSend is added for each redundant send: orders are sent redundantly
	// when many of them are lost.
	holdLeadPerRedundantSend = 100 * time.Millisecond
	// leadTolerance is the share of a step by which the lead may fall short of holdLead.
	// The current step may then end before the hold arrives, and the attempt is repeated.
	// Without redundant sends, a group whose steps last more than five times holdLead is
	// thereby held at its next step.
	leadTolerance = 0.2
	// stepTimeWeight is the weight of one more step in the mean.
	stepTimeWeight = 0.3
	// initialStepTime is the assumed duration before a step was observed.
	initialStepTime = 50 * time.Millisecond
)

// observe records that a rank has begun the step.
func (t *stepTimes) observe(now time.Time, s Step) {
	switch {
	case t.latestAt.IsZero():
		t.latest, t.latestAt, t.mean, t.last = s, now, initialStepTime, initialStepTime
	case s > t.latest:
		each := now.Sub(t.latestAt) / time.Duration(s-t.latest)
		t.last = each
		t.mean += time.Duration(stepTimeWeight * float64(each-t.mean))
		t.latest, t.latestAt, t.begunAfter = s, now, time.Time{}
	}
}

// observeBegin records that the step began between two observations of an engine.
func (t *stepTimes) observeBegin(before, now time.Time, s Step) {
	if t.observe(now, s); s == t.latest {
		t.begunAfter = before
	}
}

// expected returns the expected duration of a step: the mean, or the time that the current
// step has run if that is longer.
func (t *stepTimes) expected(now time.Time) time.Duration {
	if t.latestAt.IsZero() {
		return initialStepTime
	}
	return max(t.mean, now.Sub(t.latestAt))
}

// lead returns how many steps after the highest reported one a hold is to be placed, where
// each order is sent redundancy times at once. If the begin of the current step was observed, the
// hold is placed at the first step that begins late enough even if steps are shorter than the last
// one. The mean would be too short after a shift of the demand, which makes steps longer at once. A
// hold that is refused since its step has begun costs less than one more long step.
func (t *stepTimes) lead(now time.Time, redundancy int) Step {
	within := holdLead + time.Duration(redundancy-1)*holdLeadPerRedundantSend
	lead := 1 + Step(float64(within)/float64(t.expected(now))+1-leadTolerance)
	if t.begunAfter.IsZero() {
		return lead
	}
	if redundancy == 1 && float64(now.Sub(t.begunAfter)) > float64(t.last)*(1+leadTolerance) {
		return 1 // a step that is longer than the last one, as the first after a shift: its end is unknown
	}
	least := float64(t.last) * (1 - leadTolerance)
	return min(lead, max(1, Step(math.Ceil(float64(now.Add(within).Sub(t.begunAfter))/least))))
}
