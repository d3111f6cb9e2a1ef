package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestAProcessThatStartedAgainGivesNoVersionAnew: the one before it was killed after it had
// asked some ranks for a map that no rank is seen to have yet.
func TestAProcessThatStartedAgainGivesNoVersionAnew(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	used := map[orders.Version]bool{}
	for salt := range uint16(50) {
		c := orders.NewCoordinator(0, modelRanks, 1, orders.NewNumberGenerator(salt))
		observeAll(c, now, orders.State{Epoch: 1, Open: true, Step: 5})
		if !c.Propose(now, place, 0) {
			t.Fatal("nothing may be proposed")
		}
		v := c.Next(now)[0].Order.(orders.Prepare).Version
		if used[v] {
			t.Fatalf("version %d is given again by the process with salt %d", v, salt)
		}
		used[v] = true
	}
}

// TestAVersionIsAboveAllThatRanksHave: also above those of an earlier build, which were
// made of the time of day.
func TestAVersionIsAboveAllThatRanksHave(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, seen := range []orders.Version{1, 90_000, 171_189_690_859_008} {
		c := orders.NewCoordinator(1, modelRanks, 1, orders.NewNumberGenerator(9))
		observeAll(c, now, orders.State{Epoch: 1, Open: true, Step: 5, Map: seen})
		if !c.Propose(now, place, 0) {
			t.Fatal("nothing may be proposed")
		}
		if v := c.Next(now)[0].Order.(orders.Prepare).Version; v <= seen || v >= 1<<53 {
			t.Errorf("version %d after %d", v, seen)
		}
	}
}

// TestACoordinatorComesAboveAHigherFence: its ranks remember fences of a process before it.
func TestACoordinatorComesAboveAHigherFence(t *testing.T) {
	const remembered orders.Fence = 60_000
	now := time.Unix(1_800_000_000, 0)
	c := orders.NewCoordinator(0, modelRanks, 1, orders.NewNumberGenerator(9))
	for attempt := range 4 {
		now = now.Add(time.Second)
		observeAll(c, now, orders.State{Epoch: 1, Open: true, Step: orders.Step(5 + attempt)})
		if !c.Propose(now, place, 0) {
			t.Fatal("nothing may be proposed")
		}
		call := c.Next(now)[0]
		if call.Fence > remembered {
			return
		}
		c.HandleResult(now, call, orders.Outranked)
	}
	t.Error("four attempts, and its fence is still below what its ranks have seen")
}

func observeAll(c *orders.Coordinator, now time.Time, s orders.State) {
	for r := range modelRanks {
		c.Observe(now, r, s)
	}
}
