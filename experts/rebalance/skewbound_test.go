package rebalance_test

import (
	"math"
	"testing"

	"clovertrail.dev/experts/rebalance"
)

func TestBound(t *testing.T) {
	for name, tt := range map[string]struct {
		places int
		load   []float64
		want   float64
	}{
		"even":                         {2, []float64{1, 1, 1, 1}, 1},
		"one hot expert, no places":    {2, []float64{7, 1, 1, 1}, 1.4}, // 4 free places: 7 is split in 2 by then
		"one hot expert on every rank": {4, []float64{7, 1, 1, 1}, 1},
		"no load":                      {2, []float64{0, 0, 0, 0}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := rebalance.Shape{Ranks: 2, Layers: 1, Experts: 4, Slots: tt.places}
			if name == "one hot expert, no places" {
				s.Slots = 2
			}
			if got := rebalance.SkewLowerBound(s, rebalance.Load{tt.load}); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestNoPlanBeatsTheBound plans on until nothing helps any more.
func TestNoPlanBeatsTheBound(t *testing.T) {
	p := planner(usual)
	p.MinSaving, p.MaxCopies = 0, 4
	for seed := range uint64(5) {
		load, m := zipf(usual, seed), dealt(usual)
		for range 30 {
			m = p.Plan(m, load).Map
		}
		if reached, bound := p.Plan(m, load).SkewBefore, rebalance.SkewLowerBound(usual, load); reached < bound-1e-9 {
			t.Errorf("seed %d: reached %v, under the bound %v", seed, reached, bound)
		}
	}
}
