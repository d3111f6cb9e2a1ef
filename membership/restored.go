package membership

import (
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// RestoreSettleFor is for how long after the store was restored its list may still have entries of
// targets that left after the copy was taken: longer than the entry of a target that is gone
// takes to lapse.
const RestoreSettleFor = 5 * time.Second

// enter takes the position of a list, which may be the first of a later era.
func (r *Roster) enter(now time.Time, at store.Position) {
	if !r.at.IsZero() && at.Era() > r.at.Era() {
		r.restoredAt, r.restoredTo = now, at
	}
}

// restored reports whether the news is of the first list after a restore, and follows what was
// known before it. The list may then be as old as the copy.
func (r *Roster) restored(e *entry, n TargetUpdate) bool {
	return n.At.Era() > e.at.Era() && !e.at.IsZero() && !n.At.After(r.restoredTo)
}

// outdated reports whether the entry that a list has after a restore says less than what is known
// of the start: the copy was taken before the target left, lapsed or joined its group anew. A
// start that was leaving never is ready again; any other entry counts once the list has settled.
func (r *Roster) outdated(now time.Time, e *entry, n TargetUpdate) bool {
	own := e.target.ID()
	if !r.restored(e, n) || n.Target == nil || own != "" && n.ID != own {
		return false
	}
	switch {
	case n.Target.State() == domain.TargetLeaving:
		return false
	case e.target.State() == domain.TargetLeaving:
		return true
	case now.Sub(r.restoredAt) >= RestoreSettleFor:
		return false
	default:
		return !e.goneAt.IsZero() || epochOf(*n.Target) <= epochOf(e.target)
	}
}

// epochOf is that of the target's group as listed; zero without a group.
func epochOf(t domain.Target) uint64 {
	rank, _ := t.Rank()
	return rank.Epoch
}
