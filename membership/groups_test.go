package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

// TestAGroupIsWhatItsLatestFormationSays: a group of four ranks was down in epoch 1 and is
// formed anew, which a box learns of rank by rank.
func TestAGroupIsWhatItsLatestFormationSays(t *testing.T) {
	const ranks = 4
	place := func(rank int, epoch uint64, open bool) domain.Rank {
		return domain.Rank{Group: "g", Epoch: epoch, Number: rank, Size: ranks, Open: open}
	}
	list := func(r *membership.Roster, rev store.Revision, epoch uint64, open bool) {
		for i := range ranks {
			g := place(i, epoch, open)
			r.ApplyUpdate(start, membership.TargetUpdate{ID: rankID(i), At: pos(rev + store.Revision(i)), Target: target(string(rankID(i)), domain.TargetReady, &g)})
		}
	}
	says := func(r *membership.Roster, rank int, epoch uint64, open bool) {
		r.Reported(start, rankID(rank), place(rank, epoch, open), 0, false)
	}
	tests := []struct {
		name    string
		happens func(r *membership.Roster)
		want    membership.Standing
	}{
		{"down", func(*membership.Roster) {}, membership.Unfit},
		{"one rank says that it is open anew", func(r *membership.Roster) { says(r, 2, 2, true) }, membership.Good},
		{"the list says so", func(r *membership.Roster) { list(r, 10, 2, true) }, membership.Good},
		{"a rank says that the new one is broken", func(r *membership.Roster) {
			list(r, 10, 2, true)
			says(r, 2, 2, false)
		}, membership.Unfit},
		{"a rank that is back does not know yet", func(r *membership.Roster) {
			list(r, 10, 2, true)
			says(r, 2, 0, false)
		}, membership.Good},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			list(r, 1, 1, true)
			for i := range ranks {
				r.Reported(start.Add(-time.Millisecond), rankID(i), place(i, 1, false), 0, false)
			}
			tc.happens(r)
			for _, s := range r.Ranked(start, "s") {
				if s.Standing != tc.want {
					t.Errorf("%s stands as %v", s.Target.ID(), s.Standing)
				}
			}
		})
	}
}
