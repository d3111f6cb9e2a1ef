package admission

import "time"

// shifts holds when demand has shifted lately, as far as the steps of a group show it. Shifts follow each other
// at similar intervals, so that the next one is not due for some time after the last.
type shifts struct {
	starts []time.Time // of the last shifts, the oldest first
	longAt time.Time   // time of the last long step
}

const (
	// longStep is the length of a step, relative to the usual one, from which on demand has shifted. The
	// lengths of other steps differ by less.
	longStep = 1.3
	// minShiftInterval separates the long steps of one shift from those of the next.
	minShiftInterval = time.Second
	// maxShifts is the number of shifts that are stored.
	maxShifts = 4
	// dueShare is the part of the shortest interval between shifts after which the next one is due. Whoever is
	// refused earlier is refused in vain: the stream would end before the shift, and the caller returns about when
	// it comes. The load follows refusals within the rest of the interval.
	dueShare = 0.7
)

// observe records a step with its base and that of the usual steps.
func (s *shifts) observe(x step, usual float64) {
	if x.base < usual*longStep {
		return
	}
	if x.at.Sub(s.longAt) > minShiftInterval {
		s.starts = append(s.starts[max(len(s.starts)+1-maxShifts, 0):], x.at)
	}
	s.longAt = x.at
}

// due reports whether demand may shift while requests that arrive now run. It is true if no interval between
// shifts is known.
func (s *shifts) due(now time.Time) bool {
	last := len(s.starts) - 1
	if last < 1 {
		return true
	}
	shortest := peakHold
	for i, t := range s.starts[1:] {
		shortest = min(shortest, t.Sub(s.starts[i]))
	}
	return now.Sub(s.starts[last]) >= time.Duration(dueShare*float64(shortest))
}
