package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestStatesConfirmUnansweredOrders: an engine that carries out an order without a response must not
// keep the group held until a repetition of the order is answered.
func TestStatesConfirmUnansweredOrders(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(now.Add(-time.Second))
	version := proposePrepared(c, now, 0, 0, 0)
	hold := c.Next(now)
	c.HandleResult(now, hold[0], orders.Done)
	step := hold[0].Order.(orders.Hold).Step
	for _, call := range c.Next(now) {
		if call.Rank != 2 {
			c.HandleResult(now, call, orders.Done)
		}
	}
	state := orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version}
	for _, tc := range []struct {
		name     string
		armed    *orders.Armed
		released bool
	}{
		{"not armed", nil, false},
		{"armed with another version", &orders.Armed{Version: version - 1, Step: step}, false},
		{"armed for another step", &orders.Armed{Version: version, Step: step + 1}, false},
		{"armed as ordered", &orders.Armed{Version: version, Step: step}, true},
	} {
		state.Armed = tc.armed
		c.Observe(now, 2, state)
		if _, released := findOrder[orders.Release](c.Next(now)); released != tc.released {
			t.Errorf("%s: released: %v, want %v", tc.name, released, tc.released)
		}
	}
}

// TestLostPrepareIsResentSoon: an engine that leaves a Prepare unanswered starts to copy only with the
// next one, and the others wait for it. As soon as its relay reports that, the map is not in transit
// any more, and the time of its distribution has not to be waited for.
func TestLostPrepareIsResentSoon(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(begin)
	c.SetDistributionTime(200 * time.Millisecond)
	c.Propose(begin, testMap, 0)
	for _, call := range c.Next(begin) {
		result := orders.Done
		if call.Rank == 2 {
			result = orders.Lost
		}
		c.HandleResult(begin.Add(30*time.Millisecond), call, result)
	}
	if got := countRanks(c.Next(begin.Add(40 * time.Millisecond))); got != 1 {
		t.Errorf("orders to %d ranks after the loss was reported, want 1", got)
	}
	if got := countRanks(c.Next(begin.Add(80 * time.Millisecond))); got != 0 {
		t.Errorf("orders to %d ranks while the map is in transit again, want none", got)
	}
}

// TestLateRankIsReadWhileArming: a rank that has not answered the first Arm is read, so that its
// state can confirm the order.
func TestLateRankIsReadWhileArming(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(now.Add(-time.Second))
	proposePrepared(c, now, 0, 0, 0)
	c.HandleResult(now, c.Next(now)[0], orders.Done)
	for _, call := range c.Next(now) {
		if call.Rank != 2 {
			c.HandleResult(now, call, orders.Done)
		}
	}
	if c.NeedsRead(now, 2) {
		t.Error("the rank is read before its response is late")
	}
	now = now.Add(100 * time.Millisecond)
	c.Next(now)
	if c.NeedsRead(now, 1) || !c.NeedsRead(now, 2) {
		t.Errorf("NeedsRead of rank 1: %v, want false; of the late rank: %v, want true", c.NeedsRead(now, 1), c.NeedsRead(now, 2))
	}
}

// TestOneRoundOfReadsAfterCopies: reads before the copies can be done are in vain, and a second round
// after them, because some states are not fresh, delays the map by a round.
func TestOneRoundOfReadsAfterCopies(t *testing.T) {
	const copyTime = 80 * time.Millisecond
	begin := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(begin)
	c.Propose(begin, testMap, copyTime)
	version := c.Next(begin)[0].Order.(orders.Prepare).Version
	prepared := orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version}
	c.Observe(begin.Add(10*time.Millisecond), 1, prepared)
	for _, tc := range []struct {
		after     time.Duration
		rank      int
		needsRead bool
	}{
		{copyTime - time.Millisecond, 2, false},
		{copyTime, 2, true},
		{copyTime, 1, true},
		{copyTime + 60*time.Millisecond, 2, true},
		{copyTime + 60*time.Millisecond, 1, false},
	} {
		if got := c.NeedsRead(begin.Add(tc.after), tc.rank); got != tc.needsRead {
			t.Errorf("NeedsRead of rank %d after %v: %v, want %v", tc.rank, tc.after, got, tc.needsRead)
		}
	}
}

// TestRefusedHoldIsPlacedLater: a step may begin before its hold arrives. A new attempt then copies
// all experts again; but steps must not be tried for ever.
func TestRefusedHoldIsPlacedLater(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(now.Add(-time.Second))
	proposePrepared(c, now, 0, 0, 0)
	last, holds := orders.Step(0), 0
	for call := range 5 {
		calls := c.Next(now)
		hold, held := findOrder[orders.Hold](calls)
		if !held {
			break
		}
		if hold.Step <= last {
			t.Errorf("hold %d is for step %d after that for step %d was refused", call, hold.Step, last)
		}
		last, holds = hold.Step, holds+1
		c.HandleResult(now, calls[0], orders.Refused)
	}
	outcomes := c.TakeOutcomes()
	if holds != 3 || len(outcomes) != 1 || outcomes[0].Reason != orders.NotHeld {
		t.Errorf("%d holds, outcomes %v; want 3 holds, then the attempt ended as not held", holds, outcomes)
	}
}

// TestHoldLeadFollowsBegin: steps are long after a shift of the demand, and each step that a map waits
// for is one more of them. A hold for a step that begins too soon is refused.
func TestHoldLeadFollowsBegin(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name     string
		step     time.Duration
		ran      time.Duration
		observed bool
		want     orders.Step
	}{
		{"long steps, the current one just begun", 130 * ms, 20 * ms, true, 1},
		{"long steps, the current one about to end", 130 * ms, 110 * ms, true, 2},
		{"usual steps, the current one long", 60 * ms, 80 * ms, true, 1},
		{"long steps, begin unknown", 130 * ms, 20 * ms, false, 2},
		{"usual steps, the current one just begun", 60 * ms, 10 * ms, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			c := idleCoordinator(now) // at step 5
			step := orders.Step(5)
			observe := func(version orders.Version) {
				for r := range modelRanks {
					c.Observe(now, r, orders.State{Epoch: 1, Open: true, Step: step, Prepared: version})
				}
			}
			for range 20 {
				now, step = now.Add(tc.step), step+1
				observe(0)
			}
			if tc.observed {
				c.ObserveBegin(now.Add(-20*ms), now, step)
			}
			c.Propose(now, testMap, 0)
			version := c.Next(now)[0].Order.(orders.Prepare).Version
			now = now.Add(tc.ran)
			observe(version)
			hold, held := findOrder[orders.Hold](c.Next(now))
			if !held || hold.Step != step+tc.want {
				t.Errorf("held: %v, for step %d after the current one, want %d", held, hold.Step-step, tc.want)
			}
		})
	}
}

// TestLateHoldIsReleasedAtOnce: a repetition of a Hold that arrives after the Release holds the group,
// and as an orphan it would for half a second.
func TestLateHoldIsReleasedAtOnce(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(now.Add(-time.Second))
	version := proposePrepared(c, now, 0, 0, 0)
	step := orders.Step(0)
	for range 3 { // hold, arm, release
		for _, call := range c.Next(now) {
			if h, ok := call.Order.(orders.Hold); ok {
				step = h.Step
			}
			c.HandleResult(now, call, orders.Done)
		}
	}
	observe := func(held *orders.Step) {
		for r := range modelRanks {
			c.Observe(now, r, orders.State{Epoch: 1, Open: true, Step: 6, Armed: &orders.Armed{Version: version, Step: step}})
		}
		c.Observe(now, 0, orders.State{Epoch: 1, Open: true, Step: 6, Armed: &orders.Armed{Version: version, Step: step}, Held: held})
	}
	observe(nil)
	c.Next(now)
	if outcomes := c.TakeOutcomes(); len(outcomes) != 1 || outcomes[0].Reason != orders.Committed {
		t.Fatalf("outcomes %v, want a committed attempt", outcomes)
	}
	other := step + 1
	observe(&other)
	if calls := c.Next(now); len(calls) > 0 {
		t.Errorf("orders %v for a hold of another step, which may belong to another process", calls)
	}
	observe(&step)
	if release, ok := findOrder[orders.Release](c.Next(now)); !ok || release.Step != step {
		t.Errorf("released: %v, step %d; want step %d released at once", ok, release.Step, step)
	}
}
