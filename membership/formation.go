package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// GroupInterrupted reports whether the target's group stands still or may have lost a rank now, or whether it has lost a rank or
// formed anew since the given time. Such a group cuts the requests of all its ranks, whose processes live on. It is false for
// targets without a group.
func (r *Roster) GroupInterrupted(now time.Time, id domain.InstanceID, since time.Time) bool {
	e, ok := r.lookup(id)
	if !ok {
		return false
	}
	own, grouped := e.target.Rank()
	if !grouped {
		return false
	}
	if r.groups(now, e.target.Service())[own.Group].standing(now, r.policy) != Good {
		return true
	}
	var formation formation
	for _, e := range r.entries {
		if rank, ok := e.target.Rank(); ok && rank.Group == own.Group {
			if e.removedAt.After(since) {
				return true
			}
			formation = formation.later(e.formation)
		}
	}
	return formation.seenAt.After(since)
}

// formation is an epoch of a group.
type formation struct {
	epoch  uint64
	seenAt time.Time // when a rank was first seen in it
}

// later returns the formation of the later epoch; of one epoch, the one that was seen first.
func (f formation) later(o formation) formation {
	if o.epoch > f.epoch || o.epoch == f.epoch && o.seenAt.Before(f.seenAt) {
		return o
	}
	return f
}

// seeEpoch records that the target is listed or has reported itself in the epoch.
func (e *entry) seeEpoch(now time.Time, rank domain.Rank) {
	if e.formation.seenAt.IsZero() || rank.Epoch > e.formation.epoch {
		e.formation = formation{rank.Epoch, now}
	}
}
