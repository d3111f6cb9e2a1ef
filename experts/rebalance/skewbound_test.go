package rebalance_test

import (
	"math"
	"testing"

	"clovertrail.dev/experts/rebalance"
)

func TestSkewLowerBound(t *testing.T) {
	for name, tt := range map[string]struct {
		slots int
		load  []float64
		want  float64
	}{
		"even":                         {2, []float64{1, 1, 1, 1}, 1},
		"one hot expert, no free slot": {2, []float64{7, 1, 1, 1}, 1.4}, // 4 experts in 2 x 2 slots: a copy with 7 tokens, and 5 per rank
		"one hot expert on every rank": {4, []float64{7, 1, 1, 1}, 1},
		"no load":                      {2, []float64{0, 0, 0, 0}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := rebalance.Shape{Ranks: 2, Layers: 1, Experts: 4, Slots: tt.slots}
			if name == "one hot expert, no free slot" {
				s.Slots = 2
			}
			if got := rebalance.SkewLowerBound(s, rebalance.Load{tt.load}); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestPlansRespectSkewLowerBound plans until no change reduces the skew any more.
func TestPlansRespectSkewLowerBound(t *testing.T) {
	p := planner(usualShape)
	p.MinSaving, p.MaxCopies = 0, 4
	for seed := range uint64(5) {
		load, m := zipf(usualShape, seed), dealt(usualShape)
		for range 30 {
			m = p.Plan(m, load).Map
		}
		if skew, bound := p.Plan(m, load).SkewBefore, rebalance.SkewLowerBound(usualShape, load); skew < bound-1e-9 {
			t.Errorf("seed %d: skew %v, below the bound %v", seed, skew, bound)
		}
	}
}
