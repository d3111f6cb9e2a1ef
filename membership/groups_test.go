package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

// TestGroupStandingFollowsLatestFormation: a group of four ranks was down in epoch 1 and is formed
// anew; a box receives reports of the new formation rank by rank. Reports from the earlier formation must not keep the
// group unfit.
func TestGroupStandingFollowsLatestFormation(t *testing.T) {
	const ranks = 4
	position := func(rank int, epoch uint64, open bool) domain.Rank {
		return domain.Rank{Group: "g", Epoch: epoch, Number: rank, Size: ranks, Open: open}
	}
	list := func(r *membership.Roster, rev store.Revision, epoch uint64, open bool) {
		for i := range ranks {
			g := position(i, epoch, open)
			r.ApplyUpdate(start, membership.TargetUpdate{ID: rankID(i), At: pos(rev + store.Revision(i)), Target: target(string(rankID(i)), domain.TargetReady, &g)})
		}
	}
	report := func(r *membership.Roster, rank int, epoch uint64, open bool) {
		r.Reported(start, rankID(rank), position(rank, epoch, open), 0, false)
	}
	tests := []struct {
		name   string
		events func(r *membership.Roster)
		want   membership.Standing
	}{
		{"down", func(*membership.Roster) {}, membership.Unfit},
		{"one rank reports the new formation as open", func(r *membership.Roster) { report(r, 2, 2, true) }, membership.Good},
		{"the list has the new formation as open", func(r *membership.Roster) { list(r, 10, 2, true) }, membership.Good},
		{"a rank reports the new formation as not open", func(r *membership.Roster) {
			list(r, 10, 2, true)
			report(r, 2, 2, false)
		}, membership.Unfit},
		{"a restarted rank reports no epoch yet", func(r *membership.Roster) {
			list(r, 10, 2, true)
			report(r, 2, 0, false)
		}, membership.Good},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			list(r, 1, 1, true)
			for i := range ranks {
				r.Reported(start.Add(-time.Millisecond), rankID(i), position(i, 1, false), 0, false)
			}
			tc.events(r)
			for _, s := range r.Ranked(start, "s") {
				if s.Standing != tc.want {
					t.Errorf("%s is %v, want %v", s.Target.ID(), s.Standing, tc.want)
				}
			}
		})
	}
}
