package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestStandbyDelayGrowsWithRank: the first rank does not wait, each of the next ranks waits
// a round of reads longer than the one before it, and none waits longer than a group may be
// without a coordinator.
func TestStandbyDelayGrowsWithRank(t *testing.T) {
	if d := orders.StandbyDelay(0); d != 0 {
		t.Errorf("the first rank waits %v, want 0", d)
	}
	const read = 20 * time.Millisecond // a request and its response between halls, with a margin
	for r := 1; r <= 8; r++ {
		if gap := orders.StandbyDelay(r) - orders.StandbyDelay(r-1); gap < read {
			t.Errorf("rank %d waits only %v longer than the rank before it", r, gap)
		}
	}
	if d := orders.StandbyDelay(63); d > time.Second {
		t.Errorf("the last of 64 ranks waits %v, want at most 1 s", d)
	}
}
