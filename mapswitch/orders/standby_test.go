package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestRanksStandByInTurn: the first does not wait, each waits for the one before it, and
// nobody for longer than a group may be without a coordinator.
func TestRanksStandByInTurn(t *testing.T) {
	if d := orders.StandbyDelay(0); d != 0 {
		t.Errorf("the first rank waits %v", d)
	}
	const read = 20 * time.Millisecond // a question and its answer between halls, with room
	for r := 1; r <= 8; r++ {
		if gap := orders.StandbyDelay(r) - orders.StandbyDelay(r-1); gap < read {
			t.Errorf("rank %d waits only %v longer than the one before it", r, gap)
		}
	}
	if d := orders.StandbyDelay(63); d > time.Second {
		t.Errorf("the last of 64 ranks waits %v", d)
	}
}
