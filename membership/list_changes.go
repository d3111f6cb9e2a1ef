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

// TargetList is the list of targets as of a position, from the store or from another box.
type TargetList struct {
	At          store.Position
	Updates     []TargetUpdate
	ChangesOnly bool // the updates are the changes since a position that the receiver has, not the complete list
}

// ListSince returns what a box lacks that has all changes up to the position; false if it lacks nothing.
// acceptsChanges states that the box can be sent changes only.
func (r *Roster) ListSince(at store.Position, acceptsChanges bool) (TargetList, bool) {
	if !r.Newest().After(at) {
		return TargetList{}, false
	}
	if changes, known := r.ChangesSince(at); known && acceptsChanges {
		return TargetList{At: r.Newest(), Updates: changes, ChangesOnly: true}, true
	}
	return TargetList{At: r.Newest(), Updates: r.All()}, true
}

// Apply applies a list of the store, and returns the updates that were not outdated.
func (r *Roster) Apply(now time.Time, l TargetList) []TargetUpdate {
	if l.ChangesOnly {
		return r.ApplyChanges(now, l.At, l.Updates)
	}
	return r.ApplyList(now, l.At, l.Updates)
}

// ApplyFromPeer applies what another box sent, and returns the updates that were not outdated.
func (r *Roster) ApplyFromPeer(now time.Time, l TargetList) []TargetUpdate {
	applied := r.Apply(now, l)
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
