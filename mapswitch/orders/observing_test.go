package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestHoldRequiresFreshStatesForReadTime: the box of a rank stalls after the rank has copied
// its experts, while the other ranks are read again. A group that is held then stays held
// until that box resumes and arms the map.
func TestHoldRequiresFreshStatesForReadTime(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name     string
		readTime time.Duration
		age      time.Duration // of the last read of the rank that may have stalled
		held     bool
	}{
		{"a small group, read just now", 10 * ms, 40 * ms, true},
		{"a small group, a rank stalls", 10 * ms, 70 * ms, false},
		{"a large group, read one round ago", 60 * ms, 100 * ms, true},
		{"a large group, a rank stalls", 60 * ms, 130 * ms, false},
		{"reads are slow, a rank stalls", 250 * ms, 200 * ms, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			c := idleCoordinator(now)
			if !c.Propose(now, testMap, 0) {
				t.Fatal("Propose returned false; want an attempt to start")
			}
			c.SetReadTime(tc.readTime)
			prepared := orders.State{Epoch: 1, Open: true, Step: 6, Prepared: c.Next(now)[0].Order.(orders.Prepare).Version}
			c.Observe(now, modelRanks-1, prepared)
			now = now.Add(tc.age)
			for r := range modelRanks - 1 {
				c.Observe(now, r, prepared)
			}
			if _, held := findOrder[orders.Hold](c.Next(now)); held != tc.held {
				t.Errorf("held: %v, want %v", held, tc.held)
			}
		})
	}
}
