package routing_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/routing"
)

var start = time.Unix(1_800_000_000, 0)

func newBalancer() *routing.Balancer { return routing.NewBalancer(rand.New(rand.NewPCG(1, 2))) }

func option(id, hall, group string) routing.Option {
	return routing.Option{ID: domain.InstanceID(id), Hall: domain.HallName(hall), Group: domain.GroupName(group), Slots: 4}
}

func ungrouped() []routing.Option {
	return []routing.Option{option("a", "near", ""), option("b", "far", ""), option("c", "far", "")}
}

// spread sends n requests and returns how many of them each target got.
func spread(b *routing.Balancer, options []routing.Option, n int) map[domain.InstanceID]int {
	got := map[domain.InstanceID]int{}
	for range n {
		o, ok := b.Pick(start, "near", options)
		if !ok {
			return got
		}
		b.Sent(start, o)
		got[o.ID]++
	}
	return got
}

func TestPickBalancesByLeastLoad(t *testing.T) {
	got := spread(newBalancer(), ungrouped(), 30)
	for id, n := range got {
		if n != 10 {
			t.Errorf("%s got %d of 30", id, n)
		}
	}
}

func TestPickPrefersIdleTargetOfSameHall(t *testing.T) {
	b := newBalancer()
	for range 20 {
		if o, _ := b.Pick(start, "near", ungrouped()); o.ID != "a" {
			t.Fatalf("picked %s instead of an idle target of the same hall", o.ID)
		}
	}
}

func TestReportedLoadCountsAndDecays(t *testing.T) {
	b := newBalancer()
	b.Report(start, "a", routing.Report{Running: 4, Waiting: 8})
	if o, _ := b.Pick(start, "near", ungrouped()); o.ID == "a" {
		t.Error("picked a target whose slots are full")
	}
	if o, _ := b.Pick(start.Add(20*time.Second), "near", ungrouped()); o.ID != "a" {
		t.Error("a report still counts after 20 s")
	}
}

func TestReportExcludesOwnRequests(t *testing.T) {
	b := newBalancer()
	o := option("a", "near", "")
	for range 3 {
		b.Sent(start, o)
	}
	b.Report(start, "a", routing.Report{Running: 3})
	if fill := b.Utilisation(start, []routing.Option{o}); fill != 0.75 {
		t.Errorf("utilisation is %v, want 0.75", fill)
	}
}

func TestPickUsesLowestTierOnly(t *testing.T) {
	options := ungrouped()
	options[0].Tier = 1
	if got := spread(newBalancer(), options, 40); got["a"] != 0 {
		t.Errorf("requests by target: %v", got)
	}
	options[1].Tier, options[2].Tier = 2, 2
	if got := spread(newBalancer(), options, 40); got["a"] != 40 {
		t.Errorf("requests by target: %v", got)
	}
}

func TestPickComparesLoadOfWholeGroups(t *testing.T) {
	var options []routing.Option
	for g := range 2 {
		for r := range 4 {
			options = append(options, option(fmt.Sprintf("g%d-%d", g, r), "near", fmt.Sprintf("g%d", g)))
		}
	}
	b := newBalancer()
	for r := range 4 { // all ranks of group g0 but the first are busy
		if r > 0 {
			b.Report(start, domain.InstanceID(fmt.Sprintf("g0-%d", r)), routing.Report{Running: 4})
		}
	}
	for range 8 {
		o, _ := b.Pick(start, "near", options)
		if o.Group != "g1" {
			t.Fatalf("picked the idle rank %s of the busy group", o.ID)
		}
		b.Sent(start, o)
	}
}

func TestSlowGroupGetsFewerRequests(t *testing.T) {
	var options []routing.Option
	for g := range 2 {
		for r := range 4 {
			options = append(options, option(fmt.Sprintf("g%d-%d", g, r), "near", fmt.Sprintf("g%d", g)))
		}
	}
	b := newBalancer()
	for r := range 4 { // a single slow rank would get nothing: TestPickSkipsSlowRanks
		b.Report(start, domain.InstanceID(fmt.Sprintf("g0-%d", r)), routing.Report{Slowdown: 3})
	}
	n := 0
	for id, k := range spread(b, options, 16) {
		if id[:2] == "g0" {
			n += k
		}
	}
	if n < 2 || n > 6 {
		t.Errorf("a group with a slowdown of 3 got %d of 16 requests", n)
	}
}

func TestEstimateFirstByteGrowsOnceSlotsAreFull(t *testing.T) {
	b := newBalancer()
	o := option("a", "near", "")
	_, wait := b.EstimateFirstByte(start, o)
	if wait != 0 {
		t.Errorf("expected wait at an idle target is %v, want 0", wait)
	}
	for range 4 {
		b.Sent(start, o)
	}
	total, wait := b.EstimateFirstByte(start, o)
	if wait <= 0 || total <= wait {
		t.Errorf("full target: first byte expected after %v, including a wait of %v", total, wait)
	}
}

func TestEstimateFirstByteFollowsSamples(t *testing.T) {
	b := newBalancer()
	o := option("a", "near", "")
	for range 60 {
		k := b.Sent(start, o)
		b.Began(start.Add(400*time.Millisecond), k)
		b.Began(start.Add(9*time.Second), k) // only the first call counts
		b.Ended(start.Add(500*time.Millisecond), k)
		b.Ended(start.Add(500*time.Millisecond), k) // counted once
	}
	if total, _ := b.EstimateFirstByte(start, o); total < 380*time.Millisecond || total > 420*time.Millisecond {
		t.Errorf("first byte expected after %v, want about 400ms", total)
	}
	if b.InFlight("a") != 0 {
		t.Errorf("%d requests are still in flight, want 0", b.InFlight("a"))
	}
}

func TestPickWithoutOptions(t *testing.T) {
	if _, ok := newBalancer().Pick(start, "near", nil); ok {
		t.Error("picked a target without options")
	}
}

func ExampleBalancer() {
	b := newBalancer()
	b.Report(start, "busy", routing.Report{Running: 4, Waiting: 2})
	o, _ := b.Pick(start, "near", []routing.Option{option("busy", "near", ""), option("idle", "far", "")})
	fmt.Println(o.ID)
	// Output: idle
}

// TestManyBoxesSpreadOverTargets guards against herding: between two reports, all boxes see the same
// target as the least loaded, and would all pick it.
func TestManyBoxesSpreadOverTargets(t *testing.T) {
	const targets = 32
	most := func(boxes int) int {
		taken := map[domain.InstanceID]int{}
		for box := range boxes {
			b := routing.NewBalancer(rand.New(rand.NewPCG(uint64(box), 3)))
			b.SetBoxes(boxes)
			var options []routing.Option
			for i := range targets {
				id := domain.InstanceID(fmt.Sprintf("t-%d", i))
				options = append(options, routing.Option{ID: id, Group: "g", Slots: 10})
				b.Report(start, id, routing.Report{Running: 5 + i%4})
			}
			b.Report(start, "t-7", routing.Report{Running: 1}) // the least loaded
			o, _ := b.Pick(start, "h", options)
			taken[o.ID]++
		}
		return slices.Max(slices.Collect(maps.Values(taken)))
	}
	if n := most(4); n != 4 {
		t.Errorf("%d of 4 boxes picked the least loaded target, want all", n)
	}
	if n := most(40); n > 40/2 {
		t.Errorf("%d of 40 boxes picked the same target, want at most 20", n)
	}
}

// TestPickStaysInHallWhileItsGroupHasCapacity: traffic between halls has a cost, and a group with
// spare capacity serves in time.
func TestPickStaysInHallWhileItsGroupHasCapacity(t *testing.T) {
	ms := time.Millisecond
	for name, tt := range map[string]struct {
		running int // at each rank of the group in the own hall
		pause   time.Duration
		want    domain.GroupName
	}{
		"spare capacity": {4, 50 * ms, "own"},
		"many requests":  {7, 50 * ms, "other"},
		"long steps":     {4, 100 * ms, "other"},
		"idle group":     {0, 50 * ms, "own"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer()
			var options []routing.Option
			for _, o := range []routing.Option{option("n1", "near", "own"), option("n2", "near", "own"), option("f1", "far", "other"), option("f2", "far", "other")} {
				o.Slots = 10
				options = append(options, o)
				r := routing.Report{Running: tt.running, Slowdown: 1}
				if o.Group == "other" {
					r.Running = 1
				}
				b.Report(start, o.ID, r)
			}
			for _, o := range options {
				pause := tt.pause
				if o.Group == "other" {
					pause = 40 * ms
				}
				b.RecordPause(start, o, pause, longestPause)
			}
			if got, _ := b.Pick(start, "near", options); got.Group != tt.want {
				t.Errorf("picked group %s, want %s", got.Group, tt.want)
			}
		})
	}
}
