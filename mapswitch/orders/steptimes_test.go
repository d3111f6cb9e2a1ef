package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestHoldLeadFollowsStepTime checks how many steps ahead a hold is placed: several where
// steps are short, and one where they are long, so that slow steps do not delay the map
// that corrects them.
func TestHoldLeadFollowsStepTime(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name string
		step time.Duration
		ran  time.Duration // how long the current step has run
		want orders.Step
	}{
		{"short steps", 20 * ms, 0, 4},
		{"usual steps", 60 * ms, 0, 2},
		{"long steps", 400 * ms, 0, 1},
		{"usual steps, the current one long", 60 * ms, 500 * ms, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			c := idleCoordinator(now) // at step 5
			version := orders.Version(0)
			step := orders.Step(5)
			observeAll := func() {
				for r := range modelRanks {
					c.Observe(now, r, orders.State{Epoch: 1, Open: true, Step: step, Prepared: version})
				}
			}
			for range 20 {
				now, step = now.Add(tc.step), step+1
				observeAll()
			}
			if !c.Propose(now, testMap, 0) {
				t.Fatal("Propose returned false; want an attempt to start")
			}
			version = c.Next(now)[0].Order.(orders.Prepare).Version
			now = now.Add(tc.ran)
			observeAll()
			hold, held := findOrder[orders.Hold](c.Next(now))
			if !held || hold.Step != step+tc.want {
				t.Errorf("held: %v, %d steps ahead; want a hold %d steps ahead", held, hold.Step-step, tc.want)
			}
		})
	}
}
