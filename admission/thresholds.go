package admission

import "clovertrail.dev/core/urgency"

// Thresholds are the loads of a group from which on new callers are refused, by class. A load is a share of the
// slots and counts waiting requests, so that it may exceed 1.
type Thresholds struct {
	limit float64 // load up to which gaps meet the objective; may exceed 1
}

const (
	// rampWidth is the load over which the share of refused callers rises from none to maxRefusedShare. Boxes
	// learn of the load some hundred milliseconds late, and in that time a burst adds about this share of the
	// slots: on a steeper ramp all boxes would refuse at once and then admit at once.
	rampWidth = 0.1
	// classSpacing is the distance between the starts of two adjacent classes: half of a ramp, so that half of
	// the callers of a class are refused before the first of the next one is.
	classSpacing = rampWidth / 2
	// maxSpacing bounds the distance between the starts of the most and the least urgent class. It is kept
	// free for more urgent callers, whether or not any come.
	maxSpacing = 0.15
	// maxRefusedShare is the largest share of a class that is refused.
	maxRefusedShare = 0.95
	// minLimit is the lowest limit, and the lowest load at which anybody is refused.
	minLimit = 0.5
)

// NewThresholds returns the thresholds for the limit.
func NewThresholds(limit float64) Thresholds { return Thresholds{limit: limit} }

// Limit returns the limit as a share of the slots, from a half to 1.
func (t Thresholds) Limit() float64 { return min(max(t.limit, minLimit), 1) }

// Start returns the load from which on new callers of the class are refused. The ramp of the most urgent class
// lies around the limit, those of others below.
func (t Thresholds) Start(c urgency.Class) float64 {
	spacing := min(classSpacing, maxSpacing/float64(max(c.Count()-1, 1)))
	return max(t.limit-rampWidth/2-spacing*float64(c.Rank()), minLimit)
}

// RefusedShare returns the share of new callers of the class that are refused at the load.
func (t Thresholds) RefusedShare(c urgency.Class, load float64) float64 {
	share := (load - t.Start(c)) / rampWidth * maxRefusedShare
	if !(share > 0) { // also if the load or the limit is not a number
		return 0
	}
	return min(share, maxRefusedShare)
}
