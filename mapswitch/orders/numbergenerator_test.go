package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestVersionsDifferAfterRestart: a process was killed after it had requested some ranks to
// prepare a map that no rank reports yet. The next process must not reuse its version.
func TestVersionsDifferAfterRestart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	used := map[orders.Version]bool{}
	for salt := range uint16(50) {
		c := orders.NewCoordinator(0, modelRanks, 1, orders.NewNumberGenerator(salt))
		observeAllRanks(c, now, orders.State{Epoch: 1, Open: true, Step: 5})
		if !c.Propose(now, testMap, 0) {
			t.Fatal("Propose returned false; want an attempt to start")
		}
		v := c.Next(now)[0].Order.(orders.Prepare).Version
		if used[v] {
			t.Fatalf("the process with salt %d reuses version %d", salt, v)
		}
		used[v] = true
	}
}

// TestVersionExceedsVersionsOfRanks includes versions of an earlier build, which were
// derived from the time of day.
func TestVersionExceedsVersionsOfRanks(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, reported := range []orders.Version{1, 90_000, 171_189_690_859_008} {
		c := orders.NewCoordinator(1, modelRanks, 1, orders.NewNumberGenerator(9))
		observeAllRanks(c, now, orders.State{Epoch: 1, Open: true, Step: 5, Map: reported})
		if !c.Propose(now, testMap, 0) {
			t.Fatal("Propose returned false; want an attempt to start")
		}
		if v := c.Next(now)[0].Order.(orders.Prepare).Version; v <= reported || v >= 1<<53 {
			t.Errorf("got version %d; want one above the reported %d and below 2^53", v, reported)
		}
	}
}

// TestFenceExceedsReceivedFenceWithinFourAttempts: ranks have received higher fences from
// the previous process.
func TestFenceExceedsReceivedFenceWithinFourAttempts(t *testing.T) {
	const received orders.Fence = 60_000
	now := time.Unix(1_800_000_000, 0)
	c := orders.NewCoordinator(0, modelRanks, 1, orders.NewNumberGenerator(9))
	for attempt := range 4 {
		now = now.Add(time.Second)
		observeAllRanks(c, now, orders.State{Epoch: 1, Open: true, Step: orders.Step(5 + attempt)})
		if !c.Propose(now, testMap, 0) {
			t.Fatal("Propose returned false; want an attempt to start")
		}
		call := c.Next(now)[0]
		if call.Fence > received {
			return
		}
		c.HandleResult(now, call, orders.Outranked)
	}
	t.Errorf("after four attempts the fence is still not above %d, which ranks have received", received)
}

// TestFirstFenceExceedsThatOfPreviousProcess: the previous process raised its fence, and ranks have prepared
// its map. If the next process is outranked several times, the group stays held meanwhile.
func TestFirstFenceExceedsThatOfPreviousProcess(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	state := orders.State{Epoch: 1, Open: true, Step: 5}
	propose := func(c *orders.Coordinator) orders.Call {
		observeAllRanks(c, now, state)
		if !c.Propose(now, testMap, 0) {
			t.Fatal("Propose returned false; want an attempt to start")
		}
		return c.Next(now)[0]
	}
	previous := orders.NewCoordinator(0, modelRanks, 1, orders.NewNumberGenerator(9))
	call := propose(previous)
	for range 3 {
		previous.HandleResult(now, call, orders.Outranked)
		call = propose(previous)
	}
	state.Prepared = call.Order.(orders.Prepare).Version
	if got := propose(orders.NewCoordinator(1, modelRanks, 1, orders.NewNumberGenerator(10))).Fence; got <= call.Fence {
		t.Errorf("got fence %d; want one above %d", got, call.Fence)
	}
}

func observeAllRanks(c *orders.Coordinator, now time.Time, s orders.State) {
	for r := range modelRanks {
		c.Observe(now, r, s)
	}
}
