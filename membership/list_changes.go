package membership

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// CaughtUpFromPeer records that this roster has all that another box has, whose last change is at the
// position. The change may be the removal of a target that this roster never had; without this
// record it would count as behind, and receive the list again and again.
func (r *Roster) CaughtUpFromPeer(now time.Time, newest store.Position) {
	r.newest = store.Later(r.newest, newest)
	r.CaughtUp(now, newest)
}

// ListForPeer is what a box that is behind receives of the list of targets.
type ListForPeer struct {
	At          store.Position
	Updates     []TargetUpdate
	ChangesOnly bool // the updates are the changes since the position of the other box, not the complete list
}

// ListSince returns what a box lacks that has all changes up to the position; false if it lacks nothing.
// acceptsChanges states that the box can be sent changes only.
func (r *Roster) ListSince(at store.Position, acceptsChanges bool) (ListForPeer, bool) {
	if !r.Newest().After(at) {
		return ListForPeer{}, false
	}
	if changes, known := r.ChangesSince(at); known && acceptsChanges {
		return ListForPeer{At: r.Newest(), Updates: changes, ChangesOnly: true}, true
	}
	return ListForPeer{At: r.Newest(), Updates: r.All()}, true
}

// ApplyFromPeer applies what another box sent, and returns the updates that were not outdated.
func (r *Roster) ApplyFromPeer(now time.Time, l ListForPeer) []TargetUpdate {
	var applied []TargetUpdate
	if l.ChangesOnly {
		applied = r.ApplyChanges(now, l.At, l.Updates)
	} else {
		applied = r.ApplyList(now, l.At, l.Updates)
	}
	r.CaughtUpFromPeer(now, l.At)
	return applied
}

// ChangesSince returns the changes of the list after the position, ordered by position, for a box that
// has all changes up to it. It returns false if these changes are not known, because the position is of
// another era or from before a removal that is not remembered any more; the box then needs the complete
// list.
func (r *Roster) ChangesSince(at store.Position) ([]TargetUpdate, bool) {
	if at.IsZero() || at.Era() != r.Newest().Era() || r.purgedTo.After(at) {
		return nil, false
	}
	var list []TargetUpdate
	for listed, e := range r.entries {
		if !e.lastChange.After(at) {
			continue
		}
		u := TargetUpdate{ID: domain.InstanceID(listed), At: e.lastChange, Unusable: e.unusable}
		if e.removedAt.IsZero() {
			t := e.target
			u.ID, u.Target = t.ID(), &t
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y TargetUpdate) int { return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.ID, y.ID)) })
	return list, true
}
