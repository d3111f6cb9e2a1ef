package rebalance_test

import (
	"testing"
	"time"

	"clovertrail.dev/experts/rebalance"
)

// largeShape is the shape of a group of 96 ranks, each of which has slots for one expert more
// than in the initial map.
var largeShape = rebalance.Shape{
	Ranks: 96, Layers: 16, Experts: 192, Slots: 3, Staging: 2, CopyTime: 18300 * time.Microsecond, ExpertShare: 0.85,
}

// largePlanner returns a planner whose plans copy for at most 150 ms, as in the default
// settings. Its map changes take another 0.3 s: the time to distribute a map of 9 KB to 96
// ranks over 6 Mbit/s.
func largePlanner() rebalance.Planner {
	return rebalance.Planner{
		Shape: largeShape, Horizon: 2 * time.Second, CopySlowdown: 0.15, MaxCopies: 8, MinSaving: 0.08, Overhead: 300 * time.Millisecond,
	}
}

// flatZipf returns a load in which the hottest expert has 4 % of a layer's tokens: the
// initial map of a group has a skew of 4.5 under it.
func flatZipf(s rebalance.Shape, seed uint64) rebalance.Load { return zipfOf(s, seed, 0.53) }

// TestFirstPlanOfLargeGroupRemovesSkew: demand shifts every few seconds, and each map change
// of a large group takes part of that time, so the first one must remove nearly all of the
// skew.
func TestFirstPlanOfLargeGroupRemovesSkew(t *testing.T) {
	p, m := largePlanner(), dealt(largeShape)
	for shift := range uint64(3) {
		load := flatZipf(largeShape, shift)
		first := p.Plan(m, load)
		if first.SkewBefore < 3 || first.SkewAfter > 1.3 {
			t.Errorf("shift %d: the first plan changes the skew from %.2f to %.2f, want from at least 3 to at most 1.3", shift, first.SkewBefore, first.SkewAfter)
		}
		if err := checkMap(largeShape, m, first.Map, p.MaxCopies); err != nil {
			t.Errorf("shift %d: %v", shift, err)
		}
		if again := p.Plan(first.Map, load); again.Worthwhile() {
			t.Errorf("shift %d: a second plan, from a skew of %.2f to %.2f, is worthwhile", shift, again.SkewBefore, again.SkewAfter)
		}
		m = first.Map
	}
}

// TestCopyTimeUnderSteepSkewFollowsOverhead: a plan under a steep skew copies no longer than
// the overhead of its map change, from one copy per rank where that is unknown or short, to
// the limit of the settings where it is long.
func TestCopyTimeUnderSteepSkewFollowsOverhead(t *testing.T) {
	for _, tc := range []struct {
		name     string
		overhead time.Duration
		want     time.Duration
	}{
		{"overhead unknown", 0, largeShape.CopyTime},
		{"short overhead", 40 * time.Millisecond, 2 * largeShape.CopyTime},
		{"long overhead", time.Second, 8 * largeShape.CopyTime},
	} {
		p := largePlanner()
		p.Overhead = tc.overhead
		if plan := p.Plan(dealt(largeShape), flatZipf(largeShape, 1)); plan.CopyTime != tc.want {
			t.Errorf("%s: copies for %v, want %v", tc.name, plan.CopyTime, tc.want)
		}
	}
}

func BenchmarkPlanLargeGroup(b *testing.B) {
	p, m, load := largePlanner(), dealt(largeShape), flatZipf(largeShape, 1)
	for b.Loop() {
		p.Plan(m, load)
	}
}
