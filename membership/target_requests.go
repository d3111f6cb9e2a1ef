package membership

import (
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// What targets ask of this box with their answers. It holds for the start that stated it, whatever
// the list has: that lags, and does not show whom a target asked for rest.

// RestRequested takes that the target wants nothing from this box until the time. Of several times the
// latest counts: an earlier one may come later from a request that was under way.
//
// One that turns all away has nothing open and seems to have most room, so that without this it
// would draw the load.
func (r *Roster) RestRequested(id domain.InstanceID, until time.Time) {
	if e, ok := r.of(id); ok && until.After(e.restTo) {
		e.restTo = until
	}
}

// LeavingReported takes that the target reports that it is leaving, to this box or to another. It reports
// whether that was news: the list may have reported it before.
func (r *Roster) LeavingReported(now time.Time, id domain.InstanceID) bool {
	e, ok := r.of(id)
	if !ok || !e.leftAt.IsZero() {
		return false
	}
	e.leftAt = now
	return e.goneAt.IsZero() && e.target.State() == domain.TargetReady
}

// leaverToldFor is for how long a box notifies others that a target is leaving: a few rounds, of
// which the first comes at once. Each box that learns of it does the same.
const leaverToldFor = 3 * time.Second

// LeavingTargets are the targets that lately reported that they are leaving, in order of their ids, for
// other boxes: the list may not show these before the targets end.
func (r *Roster) LeavingTargets(now time.Time) []domain.InstanceID {
	var list []domain.InstanceID
	for _, e := range r.entries {
		if !e.leftAt.IsZero() && now.Sub(e.leftAt) < leaverToldFor {
			list = append(list, e.target.ID())
		}
	}
	slices.Sort(list)
	return list
}

// AcceptsWork reports whether the target, chosen a while ago, may still be sent new work.
func (r *Roster) AcceptsWork(now time.Time, id domain.InstanceID) bool {
	e, ok := r.of(id)
	if !ok {
		return false
	}
	s := r.standing(now, e)
	return s != Resting && s != Leaving
}

// EarliestRestEnd is when the first of the service's targets that rest takes work again; zero if
// none rests.
func (r *Roster) EarliestRestEnd(now time.Time, svc domain.ServiceName) time.Time {
	var first time.Time
	for _, e := range r.entries {
		if e.target.Service() != svc || r.standing(now, e) != Resting {
			continue
		}
		if first.IsZero() || e.restTo.Before(first) {
			first = e.restTo
		}
	}
	return first
}
