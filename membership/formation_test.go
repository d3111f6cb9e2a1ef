package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// TestFormationShowsThatGroupStopped checks what a box knows of a group since a request was sent to one of its ranks.
func TestFormationShowsThatGroupStopped(t *testing.T) {
	const ranks = 3
	position := func(rank int, epoch uint64, open bool) domain.Rank {
		return domain.Rank{Group: "g", Epoch: epoch, Number: rank, Size: ranks, Open: open}
	}
	remove := func(r *membership.Roster, at time.Time, i int) {
		r.ApplyUpdate(at, membership.TargetUpdate{ID: rankID(i), At: pos(20)}) // as the store does after silent heartbeats
	}
	for _, tc := range []struct {
		name   string
		events func(r *membership.Roster, at time.Time)
		want   bool
	}{
		{"nothing", func(*membership.Roster, time.Time) {}, false},
		{"another rank reports the group as not open", func(r *membership.Roster, at time.Time) { r.Reported(at, rankID(1), position(1, 1, false), 0, false) }, true},
		{"the rank reports a later formation", func(r *membership.Roster, at time.Time) { r.Reported(at, rankID(0), position(0, 2, true), 0, false) }, true},
		{"another rank reports a later formation", func(r *membership.Roster, at time.Time) { r.Reported(at, rankID(1), position(1, 2, true), 0, false) }, true},
		{"another rank is unreachable", func(r *membership.Roster, at time.Time) { r.Unreachable(at, rankID(1)) }, true},
		{"another rank was unreachable and is no longer listed", func(r *membership.Roster, at time.Time) { r.Unreachable(at, rankID(1)); remove(r, at, 1) }, true},
		{"a rank declined a request since another is lost", func(r *membership.Roster, at time.Time) { r.GroupStopped(at, rankID(0)) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			for i := range ranks {
				g := position(i, 1, true)
				r.ApplyUpdate(start, membership.TargetUpdate{ID: rankID(i), At: pos(1), Target: target(string(rankID(i)), domain.TargetReady, &g)})
			}
			sentAt := start
			tc.events(r, start.Add(time.Millisecond))
			if got := r.GroupInterrupted(start.Add(2*time.Millisecond), rankID(0), sentAt); got != tc.want {
				t.Errorf("interrupted %v, want %v", got, tc.want)
			}
		})
	}
}
