package membership

import (
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// RestoreSettleFor is how long after a restore of the store its list may still have entries of
// targets that left after the backup was taken: longer than the entry of a stopped target takes
// to lapse.
const RestoreSettleFor = 5 * time.Second

// enterEra records the position of a list if it is the first of a later era.
func (r *Roster) enterEra(now time.Time, at store.Position) {
	if !r.listPosition.IsZero() && at.Era() > r.listPosition.Era() {
		r.restoredAt, r.restorePosition = now, at
	}
}

// fromRestore reports whether the update comes from the first list after a restore while the entry
// dates from before the restore. The list may then be as old as the backup.
func (r *Roster) fromRestore(e *entry, u TargetUpdate) bool {
	return u.At.Era() > e.lastChange.Era() && !e.lastChange.IsZero() && !u.At.After(r.restorePosition)
}

// outdated reports whether the update comes from a restored list and is older than the known state
// of the instance: the backup was taken before the target left, lapsed or joined its group anew.
// An instance that was leaving never becomes ready again; any other entry is accepted once the
// list has settled.
func (r *Roster) outdated(now time.Time, e *entry, u TargetUpdate) bool {
	own := e.target.ID()
	if !r.fromRestore(e, u) || u.Target == nil || own != "" && u.ID != own {
		return false
	}
	switch {
	case u.Target.State() == domain.TargetLeaving:
		return false
	case e.target.State() == domain.TargetLeaving:
		return true
	case now.Sub(r.restoredAt) >= RestoreSettleFor:
		return false
	default:
		return !e.removedAt.IsZero() || epochOf(*u.Target) <= epochOf(e.target)
	}
}

// epochOf returns the listed epoch of the target's group; zero without a group.
func epochOf(t domain.Target) uint64 {
	rank, _ := t.Rank()
	return rank.Epoch
}
