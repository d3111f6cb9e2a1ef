package membership_test

import (
	"reflect"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

// TestListSinceSendsWhatPeerLacks covers what a box is sent that asks for the list of targets, and checks that it has
// the same targets then.
func TestListSinceSendsWhatPeerLacks(t *testing.T) {
	history := []membership.TargetUpdate{ready("a", 1), ready("b", 2), leaving("a", 3), gone("b", 4)}
	for _, tt := range []struct {
		name           string
		known          int // changes that the other box has
		acceptsChanges bool
		lacks          bool
		changesOnly    bool
		updates        []domain.InstanceID
	}{
		{"nothing is missing", 4, true, false, false, nil},
		{"the last changes are missing", 2, true, true, true, []domain.InstanceID{"a", "b"}},
		{"the last changes are missing, accepts lists only", 2, false, true, false, []domain.InstanceID{"a"}},
		{"the box has just started", 0, true, true, false, []domain.InstanceID{"a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			box, other := newRoster(), newRoster()
			box.ApplyChanges(start, pos(4), history)
			other.ApplyChanges(start, pos(store.Revision(tt.known)), history[:tt.known])
			l, lacks := box.ListSince(other.Newest(), tt.acceptsChanges)
			var updates []domain.InstanceID
			for _, u := range l.Updates {
				updates = append(updates, u.ID)
			}
			if lacks != tt.lacks || l.ChangesOnly != tt.changesOnly || !reflect.DeepEqual(updates, tt.updates) {
				t.Errorf("lacks %v, is sent %+v", lacks, l)
			}
			if lacks {
				other.ApplyFromPeer(start, l)
			}
			if !reflect.DeepEqual(other.All(), box.All()) || other.Newest() != box.Newest() || other.At() != box.At() {
				t.Errorf("has %v up to %v, want %v up to %v", other.All(), other.At(), box.All(), box.At())
			}
		})
	}
}
