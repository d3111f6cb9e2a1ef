package rebalance_test

import (
	"slices"
	"testing"
	"time"

	"clovertrail.dev/experts/rebalance"
)

// sparseShape is the shape of a group with one free slot for each two experts.
var sparseShape = rebalance.Shape{Ranks: 72, Layers: 12, Experts: 144, Slots: 3, Staging: 2, CopyTime: 36 * time.Millisecond, ExpertShare: 0.85}

// TestSlowRanksOfLargeGroup: ranks become 4.4 times slower, one or up to a third of the group at once.
// The map must relieve them within a few changes, also where a slow rank holds the only copy of its
// experts, and give them their share back once they have recovered.
func TestSlowRanksOfLargeGroup(t *testing.T) {
	for _, tc := range []struct {
		name   string
		slow   int
		settle int     // plans for the load before ranks become slow; 0 leaves each expert with one copy
		want   float64 // skew after three plans, relative to the speed of the ranks
	}{
		{"one rank, with the only copies of its experts", 1, 0, 1.35},
		{"one rank", 1, 6, 1.35},
		{"a twelfth", 6, 6, 1.4},
		{"a third", 24, 6, 2},
	} {
		p := rebalance.Planner{Shape: sparseShape, Horizon: 2 * time.Second, CopySlowdown: 0.15, MaxCopies: 4, MinSaving: 0.08, Overhead: 120 * time.Millisecond}
		m, load := dealt(sparseShape), zipfOf(sparseShape, 4, 0.35)
		for range tc.settle {
			m = p.Plan(m, load).Map
		}
		even := p.Plan(m, load).SkewBefore
		p.Slowdowns = slices.Repeat([]float64{4.4}, tc.slow)
		var skews []float64
		replan := func(times int) {
			for range times {
				plan := p.Plan(m, load)
				if !plan.Worthwhile() {
					break
				}
				if err := checkMap(sparseShape, m, plan.Map, p.MaxCopies); err != nil {
					t.Errorf("%s: %v", tc.name, err)
				}
				m = plan.Map
				skews = append(skews, plan.SkewAfter)
			}
		}
		before := p.Plan(m, load).SkewBefore
		replan(3)
		after := p.Plan(m, load).SkewBefore
		p.Slowdowns = nil
		replan(4)
		recovered := p.Plan(m, load).SkewBefore
		t.Logf("%s: skew %.2f, %.2f as they are slow, then %.2f by plan, %.2f after three; %.2f after the recovery", tc.name, even, before, skews, after, recovered)
		if before < 2 || after > tc.want {
			t.Errorf("%s: skew %.2f, and %.2f after three plans, want at most %.2f", tc.name, before, after, tc.want)
		}
		if remaining := 0.15; recovered > even+remaining { // a plan that removes less than that saves less than MinSaving
			t.Errorf("%s: skew %.2f after the recovery, %.2f before the slowdown", tc.name, recovered, even)
		}
	}
}
