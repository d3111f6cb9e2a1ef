package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestAGroupIsHeldOnlyForRanksThatWereJustRead: a rank's box stands still after it was asked
// to copy; it has copied, and the others are read again. Held then, the group would wait for
// that box to take its map.
func TestAGroupIsHeldOnlyForRanksThatWereJustRead(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name  string
		reach time.Duration // that a round of reads takes
		quiet time.Duration // the rank's last report is so old
		held  bool
	}{
		{"a small group, read just now", 10 * ms, 40 * ms, true},
		{"a small group, a rank stands still", 10 * ms, 70 * ms, false},
		{"a large group, read one round ago", 60 * ms, 100 * ms, true},
		{"a large group, a rank stands still", 60 * ms, 130 * ms, false},
		{"reads are slow, a rank stands still", 250 * ms, 200 * ms, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			c := settledCoordinator(now)
			if !c.Propose(now, place, 0) {
				t.Fatal("nothing may be proposed")
			}
			c.SetReadTime(tc.reach)
			copied := orders.State{Epoch: 1, Open: true, Step: 6, Prepared: c.Next(now)[0].Order.(orders.Prepare).Version}
			c.Observe(now, modelRanks-1, copied)
			now = now.Add(tc.quiet)
			for r := range modelRanks - 1 {
				c.Observe(now, r, copied)
			}
			if _, held := orderOf[orders.Hold](c.Next(now)); held != tc.held {
				t.Errorf("held %v, want %v", held, tc.held)
			}
		})
	}
}
