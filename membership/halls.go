package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// hallView is what is known of the way to a data hall.
type hallView struct {
	missing   int       // targets that are out of reach
	missedAt  time.Time // the first of them
	reachedAt time.Time // any target of the hall
	lost      int       // targets that were missed last, however long ago
	watched   int       // targets that have spoken for themselves
	silent    bool      // while others are heard
}

// cutBy is how many targets of a data hall must be out of reach for the hall to be.
const cutBy = 2

// standing is the best that targets of the hall may have. To a hall that was watched and
// has fallen silent no request is sent to see whether it is back: what its targets say
// for themselves shows that sooner, and each request would be lost to its caller.
func (h *hallView) standing() Standing {
	switch {
	case h == nil:
		return Good
	case h.silent:
		return Unreachable
	case h.missing >= cutBy && h.missedAt.After(h.reachedAt):
		return Suspect
	default:
		return Good
	}
}

func (r *Roster) halls(now time.Time) map[domain.HallName]*hallView {
	views := map[domain.HallName]*hallView{}
	heard := time.Time{}
	for _, e := range r.entries {
		v, ok := views[e.target.Hall()]
		if !ok {
			v = &hallView{}
			views[e.target.Hall()] = v
		}
		v.add(now, e)
		if v.reachedAt.After(heard) {
			heard = v.reachedAt
		}
	}
	for _, v := range views {
		v.silent = v.lost >= cutBy && v.watched >= cutBy && heard.Sub(v.reachedAt) > r.policy.ReportFresh
	}
	return views
}

func (h *hallView) add(now time.Time, e *entry) {
	if e.health.reachedAt.After(h.reachedAt) {
		h.reachedAt = e.health.reachedAt
	}
	if at := e.health.missingAt(now); !at.IsZero() {
		if h.missing == 0 || at.Before(h.missedAt) {
			h.missedAt = at
		}
		h.missing++
	}
	if e.health.misses > 0 {
		h.lost++
	}
	if !e.ownAt.IsZero() && e.goneAt.IsZero() {
		h.watched++
	}
}

// OtherHallsSilent reports that every data hall with targets but the own has fallen silent.
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
