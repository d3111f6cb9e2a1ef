package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// settledCoordinator returns one that may propose a map.
func settledCoordinator(now time.Time) *orders.Coordinator {
	c := orders.NewCoordinator(0, modelRanks, 1, orders.NewNumberGenerator(7))
	for r := range modelRanks {
		c.Observe(now, r, orders.State{Epoch: 1, Open: true, Step: 5})
	}
	return c
}

// TestAMapThatTakesLongToTellIsToldOnce: to give it again while it is on its way
// fills the link, so that it comes later still.
func TestAMapThatTakesLongToTellIsToldOnce(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		name    string
		telling time.Duration
		after   time.Duration
		want    int
	}{
		{"short, soon after", 0, orders.ResendAfter / 2, 0},
		{"short, given again", 0, orders.ResendAfter, modelRanks},
		{"long, on its way", 200 * time.Millisecond, 10 * orders.ResendAfter, 0},
		{"long, given again", 200 * time.Millisecond, 420 * time.Millisecond, modelRanks},
	} {
		c := settledCoordinator(begin)
		if !c.Propose(begin, place, 0) {
			t.Fatalf("%s: nothing may be proposed", tc.name)
		}
		c.SetDistributionTime(tc.telling)
		if got := ranksOf(c.Next(begin)); got != modelRanks {
			t.Errorf("%s: orders to %d ranks at first", tc.name, got)
		}
		if got := ranksOf(c.Next(begin.Add(tc.after))); got != tc.want {
			t.Errorf("%s: orders to %d ranks, want %d", tc.name, got, tc.want)
		}
	}
}

// ranksOf counts the ranks that are given orders, some of them in copies.
func ranksOf(calls []orders.Call) int {
	ranks := map[int]bool{}
	for _, c := range calls {
		ranks[c.Rank] = true
	}
	return len(ranks)
}

// TestOnlyRanksThatCopyAreAwaited: the others need not be read again.
func TestOnlyRanksThatCopyAreAwaited(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	c := settledCoordinator(begin)
	if c.NeedsRead(begin, 1) {
		t.Error("a rank is awaited without an attempt")
	}
	c.Propose(begin, place, 0)
	version := c.Next(begin)[0].Order.(orders.Prepare).Version
	c.Observe(begin, 1, orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version})
	if c.NeedsRead(begin, 1) || !c.NeedsRead(begin, 2) {
		t.Errorf("awaits rank 1: %v, rank 2: %v", c.NeedsRead(begin, 1), c.NeedsRead(begin, 2))
	}
}

// copied has all ranks read with the proposed map copied, each so long before now.
func copied(c *orders.Coordinator, now time.Time, ago ...time.Duration) orders.Version {
	c.Propose(now.Add(-time.Second), place, 0)
	version := c.Next(now.Add(-time.Second))[0].Order.(orders.Prepare).Version
	for r := range modelRanks {
		c.Observe(now.Add(-ago[r]), r, orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version})
	}
	return version
}

// TestNoGroupIsHeldForARankThatMayBeSilent: it could not be asked to arm, and the hold
// would have to stay.
func TestNoGroupIsHeldForARankThatMayBeSilent(t *testing.T) {
	ms := time.Millisecond
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		ago  []time.Duration
		held bool
	}{
		{"all were just read", []time.Duration{0, 10 * ms, 40 * ms}, true},
		{"one was read a while ago", []time.Duration{0, 10 * ms, 60 * ms}, false},
	}
	for _, tc := range tests {
		c := settledCoordinator(now.Add(-time.Second))
		version := copied(c, now, tc.ago...)
		_, held := orderOf[orders.Hold](c.Next(now))
		if held != tc.held || c.NeedsRead(now, 2) == tc.held {
			t.Errorf("%s: held %v, awaits the last rank: %v", tc.name, held, c.NeedsRead(now, 2))
		}
		if tc.held {
			continue
		}
		c.Observe(now, 2, orders.State{Epoch: 1, Open: true, Step: 6, Prepared: version})
		if _, held := orderOf[orders.Hold](c.Next(now)); !held {
			t.Errorf("%s: it is not held after the rank was read", tc.name)
		}
	}
}

func orderOf[O orders.Order](calls []orders.Call) (O, bool) {
	for _, c := range calls {
		if o, ok := c.Order.(O); ok {
			return o, true
		}
	}
	var none O
	return none, false
}

// TestARankOutOfReachIsAskedLessAndLessOften: an order that is lost is given again at
// once, but a rank that answers nothing for seconds is not asked fifty times a second.
func TestARankOutOfReachIsAskedLessAndLessOften(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := settledCoordinator(now.Add(-time.Second))
	copied(c, now, 0, 0, 0)
	hold := c.Next(now)
	c.HandleResult(now, hold[0], orders.Done)
	var given []time.Duration
	for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
		for _, call := range c.Next(now.Add(at)) {
			if call.Rank == 2 && (len(given) == 0 || given[len(given)-1] != at) {
				given = append(given, at)
			}
			if call.Rank != 2 {
				c.HandleResult(now.Add(at), call, orders.Done)
			}
		}
	}
	if len(given) > 20 || given[3] > 100*time.Millisecond {
		t.Errorf("asked %d times in 2 s, the fourth time after %v", len(given), given[3])
	}
}
