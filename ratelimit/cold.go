package ratelimit

import (
	"math"
	"time"

	"clovertrail.dev/core/domain"
)

// coldShare is the share of the rate of a cold target that all boxes together use. With it, what a bucket
// saves up and what boxes keep of their permits add up to less than one and a half times the rate
// and a few requests in each second, which a cold target tolerates.
const coldShare = 0.75

// SetCold records that the target is cold until the given time, and how many requests a second it
// takes from all boxes together while it is.
func (r *Register) SetCold(id domain.InstanceID, perSecond float64, until time.Time) {
	e, ok := r.entries[id]
	if !ok {
		e = newEntry()
		r.entries[id] = e
	}
	e.coldUntil, e.coldRate = until, perSecond
}

// Cold reports whether the target is cold.
func (r *Register) Cold(now time.Time, id domain.InstanceID) bool {
	e, ok := r.entries[id]
	return ok && e.cold(now)
}

func (e *entry) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// Rate returns how many requests a second all boxes together send the target; infinite if each request
// may be sent without a permit.
func (r *Register) Rate(now time.Time, id domain.InstanceID) float64 {
	e, ok := r.entries[id]
	if !ok {
		return math.Inf(1)
	}
	rate := Rate(e.limit)
	if e.cold(now) {
		rate = min(rate, max(e.coldRate*coldShare, minRate))
	}
	return rate
}

// NeedsPermit reports whether each request to the target needs a permit: the target has named a limit,
// or is cold.
func (r *Register) NeedsPermit(now time.Time, id domain.InstanceID) bool {
	return !math.IsInf(r.Rate(now, id), 1)
}

// LowerRates returns the wants, each with the stated rate of its target if that is lower: of two boxes,
// one may have received later than the other that the target is cold.
func LowerRates(wants []Want, stated map[domain.InstanceID]float64) []Want {
	list := make([]Want, 0, len(wants))
	for _, w := range wants {
		if rate, ok := stated[w.Target]; ok {
			w.Rate = min(w.Rate, rate)
		}
		list = append(list, w)
	}
	return list
}
