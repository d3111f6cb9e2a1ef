package membership

import (
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// Availability states which targets of a service can take a request, and whether others may be able to later. The
// subset of a box does not matter for it.
type Availability struct {
	all                       []Ranked
	usable, stopped, hasRanks bool
}

// Availability returns the availability of the service's targets for a request that had attempts at the tried
// ones.
func (r *Roster) Availability(now time.Time, svc domain.ServiceName, tried []domain.InstanceID) Availability {
	a := Availability{all: r.Ranked(now, svc)}
	for _, x := range a.all {
		_, grouped := x.Target.Rank()
		a.hasRanks = a.hasRanks || grouped
		a.usable = a.usable || x.Standing.Usable() && !slices.Contains(tried, x.Target.ID())
		a.stopped = a.stopped || grouped && (x.Standing == Unreachable || x.Standing == Unfit)
	}
	return a
}

// All returns the targets that are not leaving, the best standing first.
func (a Availability) All() []Ranked { return a.all }

// Good returns the targets rated good.
func (a Availability) Good() []Ranked {
	n := 0
	for n < len(a.all) && a.all[n].Standing == Good {
		n++
	}
	return a.all[:n]
}

// Usable reports whether a target that was not tried can take the request.
func (a Availability) Usable() bool { return a.usable }

// Stopped reports whether a rank cannot take requests and may be able to again, with its group.
func (a Availability) Stopped() bool { return a.stopped }

// HasRanks reports whether a rank of a group is listed, even if its data hall is evacuated.
func (a Availability) HasRanks() bool { return a.hasRanks }
