package rebalance_test

import (
	"testing"
	"time"

	"clovertrail.dev/experts/rebalance"
)

// broad is the shape of a group of 96 ranks in which each has room for one expert more
// than the map it starts with.
var broad = rebalance.Shape{
	Ranks: 96, Layers: 16, Experts: 192, Slots: 3, Staging: 2, CopyTime: 18300 * time.Microsecond, ExpertShare: 0.85,
}

// broadPlanner copies for 150 ms at the most, as the default settings say, and its
// changes take 0.3 s besides: the time to tell 96 ranks a map of 9 KB over 6 Mbit/s.
func broadPlanner() rebalance.Planner {
	return rebalance.Planner{
		Shape: broad, Horizon: 2 * time.Second, CopySlowdown: 0.15, MaxCopies: 8, MinSaving: 0.08, Overhead: 300 * time.Millisecond,
	}
}

// flatZipf is a load in which the hottest expert has 4 in 100 of a layer's tokens: it
// brings the map that a group starts with to a skew of 4.5.
func flatZipf(s rebalance.Shape, seed uint64) rebalance.Load { return zipfOf(s, seed, 0.53) }

// TestPlansOfLargeGroupsBecomeEven: demand shifts every few seconds, and each change of
// a large group takes part of one, so one change must do nearly all.
func TestPlansOfLargeGroupsBecomeEven(t *testing.T) {
	p, m := broadPlanner(), dealt(broad)
	for shift := range uint64(3) {
		load := flatZipf(broad, shift)
		first := p.Plan(m, load)
		if first.SkewBefore < 3 || first.SkewAfter > 1.3 {
			t.Errorf("shift %d: the first change goes from %.2f to %.2f", shift, first.SkewBefore, first.SkewAfter)
		}
		if err := check(broad, m, first.Map, p.MaxCopies); err != nil {
			t.Errorf("shift %d: %v", shift, err)
		}
		if again := p.Plan(first.Map, load); again.Worthwhile() {
			t.Errorf("shift %d: a second change from %.2f to %.2f is wanted", shift, again.SkewBefore, again.SkewAfter)
		}
		m = first.Map
	}
}

// TestASteepPlanCopiesNoLongerThanItsChangeTakes: where changes are quick, one copy a
// rank comes first, and where they are slow, all that the settings allow.
func TestASteepPlanCopiesNoLongerThanItsChangeTakes(t *testing.T) {
	for _, tc := range []struct {
		name     string
		overhead time.Duration
		want     time.Duration
	}{
		{"nothing is known of it", 0, broad.CopyTime},
		{"quick", 40 * time.Millisecond, 2 * broad.CopyTime},
		{"slow", time.Second, 8 * broad.CopyTime},
	} {
		p := broadPlanner()
		p.Overhead = tc.overhead
		if plan := p.Plan(dealt(broad), flatZipf(broad, 1)); plan.CopyTime != tc.want {
			t.Errorf("%s: copies for %v, want %v", tc.name, plan.CopyTime, tc.want)
		}
	}
}

func BenchmarkPlanOfALargeGroup(b *testing.B) {
	p, m, load := broadPlanner(), dealt(broad), flatZipf(broad, 1)
	for b.Loop() {
		p.Plan(m, load)
	}
}
