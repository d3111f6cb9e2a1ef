package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestTheHoldIsAsFarAheadAsArmingNeeds: counted in steps that is more where they are
// short, and a group with long steps gets its map with the next.
func TestTheHoldIsAsFarAheadAsArmingNeeds(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name  string
		step  time.Duration
		stood time.Duration // how long the last step has run
		want  orders.Step
	}{
		{"short steps", 20 * ms, 0, 4},
		{"usual steps", 60 * ms, 0, 2},
		{"long steps", 400 * ms, 0, 1},
		{"usual steps until the last", 60 * ms, 500 * ms, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			c := settledCoordinator(now) // at step 5
			version := orders.Version(0)
			step := orders.Step(5)
			observe := func() {
				for r := range modelRanks {
					c.Observe(now, r, orders.State{Epoch: 1, Open: true, Step: step, Prepared: version})
				}
			}
			for range 20 {
				now, step = now.Add(tc.step), step+1
				observe()
			}
			if !c.Propose(now, place, 0) {
				t.Fatal("nothing may be proposed")
			}
			version = c.Next(now)[0].Order.(orders.Prepare).Version
			now = now.Add(tc.stood)
			observe()
			hold, held := orderOf[orders.Hold](c.Next(now))
			if !held || hold.Step != step+tc.want {
				t.Errorf("held %v, %d steps ahead; want %d", held, hold.Step-step, tc.want)
			}
		})
	}
}
