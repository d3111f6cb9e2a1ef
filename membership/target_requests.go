package membership

import (
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// Targets request rest and report that they are leaving in their responses to this box. Both hold
// for the instance that sent them, whatever the store's list states: the list lags behind, and does
// not show which boxes a target asked for rest.

// RestRequested records that the target requests no work from this box until the given time. Of
// several times the latest counts: an earlier one may arrive later with the response to a request
// that was under way.
//
// A target that rejects all requests has no open ones and seems to have the most capacity, so it
// would attract the load if its request for rest were not recorded.
func (r *Roster) RestRequested(id domain.InstanceID, until time.Time) {
	if e, ok := r.lookup(id); ok && until.After(e.restUntil) {
		e.restUntil = until
	}
}

// LeavingReported records the target's report, to this box or to another, that it is leaving. It
// returns true if the target was ready until now, and false if the list or an earlier report has
// already shown that it is leaving.
func (r *Roster) LeavingReported(now time.Time, id domain.InstanceID) bool {
	e, ok := r.lookup(id)
	if !ok || !e.leavingAt.IsZero() {
		return false
	}
	e.leavingAt = now
	return e.removedAt.IsZero() && e.target.State() == domain.TargetReady
}

// notifyLeavingFor is how long a box notifies others that a target is leaving: a few rounds, the
// first of which comes at once. Each box that receives the notification sends it on likewise.
const notifyLeavingFor = 3 * time.Second

// LeavingTargets returns the targets that have recently reported that they are leaving, in order
// of their ids. They are sent to other boxes because the list may not show them as leaving before
// they end.
func (r *Roster) LeavingTargets(now time.Time) []domain.InstanceID {
	var list []domain.InstanceID
	for _, e := range r.entries {
		if !e.leavingAt.IsZero() && now.Sub(e.leavingAt) < notifyLeavingFor {
			list = append(list, e.target.ID())
		}
	}
	slices.Sort(list)
	return list
}

// AcceptsWork reports whether a target that was chosen earlier may still be sent new work: it has
// neither requested rest nor left since, and its data hall is not being evacuated.
func (r *Roster) AcceptsWork(now time.Time, id domain.InstanceID) bool {
	e, ok := r.lookup(id)
	if !ok {
		return false
	}
	s := r.standing(now, e)
	return s != Resting && s != Evacuated && s != Leaving
}

// EarliestRestEnd returns when the first of the service's resting targets accepts work again;
// zero if none rests.
func (r *Roster) EarliestRestEnd(now time.Time, svc domain.ServiceName) time.Time {
	var first time.Time
	for _, e := range r.entries {
		if e.target.Service() != svc || r.standing(now, e) != Resting {
			continue
		}
		if first.IsZero() || e.restUntil.Before(first) {
			first = e.restUntil
		}
	}
	return first
}
