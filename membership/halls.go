package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// hallView combines the entries of the targets of a data hall.
type hallView struct {
	unreachable      int       // targets that are unreachable now
	unreachableSince time.Time // earliest time at which one of them was found unreachable
	reachedAt        time.Time // last response or report of any target of the hall
	lastFailed       int       // targets whose last connection failed, however long ago
	reporting        int       // listed targets that have reported themselves
	silent           bool      // no reports from the hall while other halls report
}

// minUnreachable is the number of unreachable targets of a data hall from which the hall as a
// whole counts as unreachable.
const minUnreachable = 2

// standing returns the best standing that targets of the hall may have. A silent hall gets no
// requests to test whether it is back: the reports of its targets show that sooner, and each
// such request would fail for its caller.
func (h *hallView) standing() Standing {
	switch {
	case h == nil:
		return Good
	case h.silent:
		return Unreachable
	case h.unreachable >= minUnreachable && h.unreachableSince.After(h.reachedAt):
		return Suspect
	default:
		return Good
	}
}

func (r *Roster) halls(now time.Time) map[domain.HallName]*hallView {
	views := map[domain.HallName]*hallView{}
	lastReached := time.Time{}
	for _, e := range r.entries {
		v, ok := views[e.target.Hall()]
		if !ok {
			v = &hallView{}
			views[e.target.Hall()] = v
		}
		v.add(now, e)
		if v.reachedAt.After(lastReached) {
			lastReached = v.reachedAt
		}
	}
	for _, v := range views {
		v.silent = v.lastFailed >= minUnreachable && v.reporting >= minUnreachable && lastReached.Sub(v.reachedAt) > r.policy.ReportFresh
	}
	return views
}

func (h *hallView) add(now time.Time, e *entry) {
	if e.health.reachedAt.After(h.reachedAt) {
		h.reachedAt = e.health.reachedAt
	}
	if at := e.health.unreachableSince(now); !at.IsZero() {
		if h.unreachable == 0 || at.Before(h.unreachableSince) {
			h.unreachableSince = at
		}
		h.unreachable++
	}
	if e.health.connectFailures > 0 {
		h.lastFailed++
	}
	if !e.reportedAt.IsZero() && e.removedAt.IsZero() {
		h.reporting++
	}
}

// OtherHallsSilent reports whether there are targets in other data halls than the own one, and
// all of these halls are silent.
func (r *Roster) OtherHallsSilent(now time.Time, own domain.HallName) bool {
	others := 0
	for name, v := range r.halls(now) {
		if name == own {
			continue
		}
		if !v.silent {
			return false
		}
		others++
	}
	return others > 0
}
