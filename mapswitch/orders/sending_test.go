package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// idleCoordinator returns a coordinator that can propose a map; its ranks are at step 5.
func idleCoordinator(now time.Time) *orders.Coordinator {
	c := orders.NewCoordinator(0, modelRanks, 1, orders.NewNumberGenerator(7))
	for r := range modelRanks {
		c.Observe(now, r, orders.State{Epoch: 1, Open: true, Step: 5})
	}
	return c
}

// TestPrepareIsNotResentDuringDistribution: a map that is sent again while the first send is
// in transit fills the link, so that it arrives later still.
func TestPrepareIsNotResentDuringDistribution(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		name             string
		distributionTime time.Duration
		after            time.Duration
		want             int
	}{
		{"short, soon after", 0, orders.ResendAfter / 2, 0},
		{"short, sent again", 0, orders.ResendAfter, modelRanks},
		{"long, in transit", 200 * time.Millisecond, 10 * orders.ResendAfter, 0},
		{"long, sent again", 200 * time.Millisecond, 420 * time.Millisecond, modelRanks},
	} {
		c := idleCoordinator(begin)
		if !c.Propose(begin, testMap, 0) {
			t.Fatalf("%s: Propose returned false; want an attempt to start", tc.name)
		}
		c.SetDistributionTime(tc.distributionTime)
		if got := countRanks(c.Next(begin)); got != modelRanks {
			t.Errorf("%s: first orders to %d ranks, want all", tc.name, got)
		}
		if got := countRanks(c.Next(begin.Add(tc.after))); got != tc.want {
			t.Errorf("%s: orders to %d ranks, want %d", tc.name, got, tc.want)
		}
	}
}

// countRanks counts the ranks that orders are sent to, some of them redundantly.
func countRanks(calls []orders.Call) int {
	ranks := map[int]bool{}
	for _, c := range calls {
		ranks[c.Rank] = true
	}
	return len(ranks)
}

// TestNeedsReadOnlyOfCopyingRanks: ranks that have prepared the map need not be read again
// while others copy.
func TestNeedsReadOnlyOfCopyingRanks(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(begin)
	if c.NeedsRead(begin, 1) {
		t.Error("a rank needs to be read without an attempt")
	}
	c.Propose(begin, testMap, 0)
	version := c.Next(begin)[0].Order.(orders.Prepare).Version
	c.Observe(begin, 1, orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version})
	if c.NeedsRead(begin, 1) || !c.NeedsRead(begin, 2) {
		t.Errorf("NeedsRead of rank 1: %v, want false; of rank 2: %v, want true", c.NeedsRead(begin, 1), c.NeedsRead(begin, 2))
	}
}

// proposePrepared proposes a map and reports every rank as having prepared it, rank r by a
// read ago[r] before now. It returns the version of the map.
func proposePrepared(c *orders.Coordinator, now time.Time, ago ...time.Duration) orders.Version {
	c.Propose(now.Add(-time.Second), testMap, 0)
	version := c.Next(now.Add(-time.Second))[0].Order.(orders.Prepare).Version
	for r := range modelRanks {
		c.Observe(now.Add(-ago[r]), r, orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version})
	}
	return version
}

// TestHoldRequiresFreshStates: the group must not be held while a rank does not respond: that
// rank could not be armed, and the group would stay held.
func TestHoldRequiresFreshStates(t *testing.T) {
	ms := time.Millisecond
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		ago  []time.Duration
		held bool
	}{
		{"all ranks were read just now", []time.Duration{0, 10 * ms, 40 * ms}, true},
		{"one rank was read 60 ms ago", []time.Duration{0, 10 * ms, 60 * ms}, false},
	}
	for _, tc := range tests {
		c := idleCoordinator(now.Add(-time.Second))
		version := proposePrepared(c, now, tc.ago...)
		_, held := findOrder[orders.Hold](c.Next(now))
		if held != tc.held || c.NeedsRead(now, 2) == tc.held {
			t.Errorf("%s: held: %v, NeedsRead of the last rank: %v", tc.name, held, c.NeedsRead(now, 2))
		}
		if tc.held {
			continue
		}
		c.Observe(now, 2, orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version})
		if _, held := findOrder[orders.Hold](c.Next(now)); !held {
			t.Errorf("%s: not held after the rank was read again", tc.name)
		}
	}
}

// findOrder returns the first order of type O.
func findOrder[O orders.Order](calls []orders.Call) (O, bool) {
	for _, c := range calls {
		if o, ok := c.Order.(O); ok {
			return o, true
		}
	}
	var none O
	return none, false
}

// TestResendsBackOffForUnreachableRank: a lost order is sent again soon, but a rank that
// does not respond for seconds does not get an order fifty times a second.
func TestResendsBackOffForUnreachableRank(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := idleCoordinator(now.Add(-time.Second))
	proposePrepared(c, now, 0, 0, 0)
	hold := c.Next(now)
	c.HandleResult(now, hold[0], orders.Done)
	var sent []time.Duration
	for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
		for _, call := range c.Next(now.Add(at)) {
			if call.Rank == 2 && (len(sent) == 0 || sent[len(sent)-1] != at) {
				sent = append(sent, at)
			}
			if call.Rank != 2 {
				c.HandleResult(now.Add(at), call, orders.Done)
			}
		}
	}
	if len(sent) > 20 || sent[3] > 100*time.Millisecond {
		t.Errorf("sent %d times in 2 s, want at most 20; the fourth time after %v, want at most 100 ms", len(sent), sent[3])
	}
}
