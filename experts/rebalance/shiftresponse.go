package rebalance

import "time"

const (
	// secondReadDelay is the time between the two reads that a long step causes. The first one may
	// contain little of the demand after the shift; a step or two later there is enough of it.
	secondReadDelay = 100 * time.Millisecond
	// maxResponseTime bounds the time from a long step to a map for it. A later one is not a
	// response to the step.
	maxResponseTime = 2 * time.Second
)

// ShiftResponse follows the response to a long step: it decides when the counts of all ranks are
// read, how much of them is from before the step, and when the response has ended. The zero
// ShiftResponse has no response under way. It is not safe for concurrent use.
type ShiftResponse struct {
	watch    StepWatch
	step     uint64 // last observed step
	long     LongStep
	under    bool      // a response is under way
	readDue  time.Time // when the next read that the long step causes is due; zero if none is
	reads    int       // reads that the long step caused
	readStep uint64    // last observed step at the last read of the counts
	before   float64   // share of the counts of the last read that are from before the long step
}

// Observe processes an observation of the own engine, and reports a long step, from which the
// demand is expected to have shifted.
func (s *ShiftResponse) Observe(now time.Time, o StepObservation) (LongStep, bool) {
	if s.under && now.Sub(s.long.Since) > maxResponseTime {
		s.under, s.readDue = false, time.Time{}
	}
	s.step = o.Step
	long, ok := s.watch.Observe(now, o)
	if ok {
		s.long, s.under, s.readDue, s.reads = long, true, now, 0
	}
	return long, ok
}

// Interval returns the time between two observations.
func (s *ShiftResponse) Interval() time.Duration { return s.watch.Interval() }

// ReadDue reports whether the long step requires a read of the counts now.
func (s *ShiftResponse) ReadDue(now time.Time) bool {
	return !s.readDue.IsZero() && !now.Before(s.readDue)
}

// CountsRead records that the counts of all ranks are read, for whatever reason.
func (s *ShiftResponse) CountsRead(now time.Time) {
	s.before = 0
	if s.under && s.step > s.readStep && s.long.Step > s.readStep {
		s.before = min(float64(s.long.Step-1-s.readStep)/float64(s.step-s.readStep), 1)
	}
	s.readStep = s.step
	switch s.reads++; {
	case s.readDue.IsZero():
	case s.reads == 1:
		s.readDue = now.Add(secondReadDelay)
	default:
		s.readDue = time.Time{}
	}
}

// Before returns the share of the counts of the last read that are from before the long step.
func (s *ShiftResponse) Before() float64 { return s.before }

// Cause returns the long step that the response is to; false if none is under way.
func (s *ShiftResponse) Cause() (LongStep, bool) { return s.long, s.under }

// MapInUse records that a map planned after the long step is in use. It returns the time since that
// step began; false if no response is under way.
func (s *ShiftResponse) MapInUse(now time.Time) (time.Duration, bool) {
	if !s.under {
		return 0, false
	}
	s.under = false
	return now.Sub(s.long.Since), true
}
