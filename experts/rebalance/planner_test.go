package rebalance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/experts/rebalance"
)

// usual is the shape of a group of today.
var usual = rebalance.Shape{Ranks: 8, Layers: 6, Experts: 64, Slots: 11, Staging: 4, CopyTime: 150 * time.Millisecond, ExpertShare: 0.85}

func planner(s rebalance.Shape) rebalance.Planner {
	return rebalance.Planner{Shape: s, Horizon: 2 * time.Second, CopySlowdown: 0.15, MaxCopies: 1, MinSaving: 0.05}
}

// dealt deals the experts in turn.
func dealt(s rebalance.Shape) rebalance.Map {
	m := make(rebalance.Map, s.Layers)
	for l := range m {
		m[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			m[l][e%s.Ranks] = append(m[l][e%s.Ranks], e)
		}
	}
	return m
}

// zipf is a load with a few hot experts, another order in each layer.
func zipf(s rebalance.Shape, seed uint64) rebalance.Load { return zipfOf(s, seed, 1.6) }

// zipfOf is the same with the exponent by which experts get less, one after another.
func zipfOf(s rebalance.Shape, seed uint64, exponent float64) rebalance.Load {
	rnd := rand.New(rand.NewPCG(seed, 1))
	load := make(rebalance.Load, s.Layers)
	for l := range load {
		load[l] = make([]float64, s.Experts)
		for i, e := range rnd.Perm(s.Experts) {
			load[l][e] = math.Pow(float64(i+1), -exponent)
		}
	}
	return load
}

// check reports what is wrong with a map that follows another.
func check(s rebalance.Shape, before, after rebalance.Map, mostCopies int) error {
	copies := make([]int, s.Ranks)
	for l := range after {
		held := make([]int, s.Experts)
		for r, list := range after[l] {
			if len(list) > s.Slots {
				return fmt.Errorf("layer %d: rank %d holds %d experts", l, r, len(list))
			}
			fresh := 0
			seen := map[int]bool{}
			for _, e := range list {
				if seen[e] {
					return fmt.Errorf("layer %d: rank %d holds expert %d twice", l, r, e)
				}
				seen[e] = true
				held[e]++
				if !slices.Contains(before[l][r], e) {
					fresh++
				}
			}
			copies[r] += fresh
			if fresh > s.Staging {
				return fmt.Errorf("layer %d: rank %d copies %d at once", l, r, fresh)
			}
		}
		if e := slices.Index(held, 0); e >= 0 {
			return fmt.Errorf("layer %d: nobody holds expert %d", l, e)
		}
	}
	if slices.Max(copies) > mostCopies {
		return fmt.Errorf("a rank copies %d", slices.Max(copies))
	}
	return nil
}

func TestPlansAreMapsThatRanksCanTake(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := rebalance.Shape{
			Ranks: rapid.IntRange(2, 9).Draw(rt, "ranks"), Layers: rapid.IntRange(1, 4).Draw(rt, "layers"),
			Experts: rapid.IntRange(4, 40).Draw(rt, "experts"), Staging: rapid.IntRange(1, 4).Draw(rt, "staging"),
			CopyTime: 100 * time.Millisecond, ExpertShare: 0.85,
		}
		s.Slots = (s.Experts+s.Ranks-1)/s.Ranks + rapid.IntRange(0, 3).Draw(rt, "free")
		p := planner(s)
		p.MaxCopies = rapid.IntRange(1, 4).Draw(rt, "copies")
		p.MinSaving = 0
		m := dealt(s)
		for range 5 {
			plan := p.Plan(m, zipf(s, rapid.Uint64().Draw(rt, "seed")))
			if err := check(s, m, plan.Map, p.MaxCopies); err != nil {
				rt.Fatal(err)
			}
			if plan.SkewAfter > plan.SkewBefore+1e-9 {
				rt.Fatalf("uneven by %.3f before and %.3f after", plan.SkewBefore, plan.SkewAfter)
			}
			m = plan.Map
		}
	})
}

func TestAFewChangesMakeAGroupEven(t *testing.T) {
	p := planner(usual)
	for seed := range uint64(10) {
		m, load := dealt(usual), zipf(usual, seed)
		var last rebalance.Plan
		changes := 0
		for ; changes < 12; changes++ {
			last = p.Plan(m, load)
			if !last.Worthwhile() {
				break
			}
			m = last.Map
		}
		if last.SkewBefore > 1.35 || changes > 8 {
			t.Errorf("seed %d: %.2f times the mean after %d changes", seed, last.SkewBefore, changes)
		}
	}
}

func TestTheFirstChangeAfterAShiftHelpsMost(t *testing.T) {
	p := planner(usual)
	m := dealt(usual)
	for range 8 {
		m = p.Plan(m, zipf(usual, 1)).Map
	}
	shifted := p.Plan(m, zipf(usual, 2))
	if shifted.SkewBefore < 2 || shifted.SkewAfter > 0.7*shifted.SkewBefore {
		t.Errorf("from %.2f to %.2f", shifted.SkewBefore, shifted.SkewAfter)
	}
}

func TestNothingIsChangedForLittle(t *testing.T) {
	flat := zipf(usual, 1)
	for _, l := range flat {
		for e := range l {
			l[e] = 1 + 0.05*float64(e%7)
		}
	}
	empty := make(rebalance.Load, usual.Layers)
	for l := range empty {
		empty[l] = make([]float64, usual.Experts)
	}
	for name, load := range map[string]rebalance.Load{"even": flat, "none": empty} {
		if plan := planner(usual).Plan(dealt(usual), load); plan.Worthwhile() {
			t.Errorf("%s load: %d moves for %.3f", name, plan.Copies, plan.Saving())
		}
	}
}

func TestSlowCopiesAreNotWorthAShortHorizon(t *testing.T) {
	p := planner(usual)
	p.Shape.CopyTime = 3 * time.Second
	if plan := p.Plan(dealt(usual), zipf(usual, 1)); plan.Worthwhile() {
		t.Errorf("%d moves that take longer than the load is taken to last", plan.Copies)
	}
}

func TestEstimateFollowsAShiftAtOnceAndIgnoresNoise(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	noisy := func(load rebalance.Load) rebalance.Load {
		out := make(rebalance.Load, len(load))
		for l := range load {
			for _, x := range load[l] {
				out[l] = append(out[l], x*math.Exp(0.3*rnd.NormFloat64()))
			}
		}
		return out
	}
	e := rebalance.NewEstimate(usual)
	before, after := zipf(usual, 1), zipf(usual, 2)
	for range 30 {
		e.Add(noisy(before))
	}
	if !e.Stable() {
		t.Error("noise is taken for a shift")
	}
	if d := apart(e.Load()[0], before[0]); d > 0.08 {
		t.Errorf("%.3f away from a steady load", d)
	}
	e.Add(noisy(after))
	if e.Stable() {
		t.Error("a shift is taken for noise")
	}
	e.Add(noisy(after))
	if d := apart(e.Load()[0], after[0]); d > 0.15 {
		t.Errorf("%.3f away from the new load after two reports", d)
	}
}

// apart is half of the sum of the differences between shares.
func apart(shares, load []float64) float64 {
	total, d := 0.0, 0.0
	for _, x := range load {
		total += x
	}
	for e, x := range load {
		d += math.Abs(shares[e]-x/total) / 2
	}
	return d
}

func ExamplePlanner_Plan() {
	s := rebalance.Shape{Ranks: 2, Layers: 1, Experts: 2, Slots: 2, Staging: 1, CopyTime: 10 * time.Millisecond, ExpertShare: 1}
	p := rebalance.Planner{Shape: s, Horizon: time.Second, MaxCopies: 1}
	plan := p.Plan(rebalance.Map{{{0}, {1}}}, rebalance.Load{{9, 1}})
	fmt.Println(plan.Map, plan.Worthwhile())
	// Output: [[[0 1] [0 1]]] true
}

func BenchmarkPlan(b *testing.B) {
	p, m, load := planner(usual), dealt(usual), zipf(usual, 1)
	for b.Loop() {
		p.Plan(m, load)
	}
}

func TestASlowRankGetsLess(t *testing.T) {
	grown := rebalance.Shape{Ranks: 32, Layers: 12, Experts: 128, Slots: 5, Staging: 2, CopyTime: 36 * time.Millisecond, ExpertShare: 0.85}
	tests := []struct {
		name  string
		shape rebalance.Shape
		pace  float64
		slow  int // ranks
	}{
		{"eight ranks, one a little slow", usual, 1.6, 1},
		{"eight ranks, one very slow", usual, 4.76, 1},
		{"eight ranks, half of them slow", usual, 2, 4},
		{"32 ranks, one very slow", grown, 4.76, 1},
	}
	for _, tc := range tests {
		p := planner(tc.shape)
		p.MaxCopies = 4
		m, load := dealt(tc.shape), zipf(tc.shape, 3)
		for range 6 {
			m = p.Plan(m, load).Map
		}
		p.Slowdowns = slices.Repeat([]float64{tc.pace}, tc.slow)
		p.MinSaving = 0.01
		first := p.Plan(m, load)
		before, after := first.SkewBefore, first.SkewAfter
		m = first.Map
		for range 8 {
			plan := p.Plan(m, load)
			m, after = plan.Map, plan.SkewAfter
		}
		if before < 0.75*tc.pace || after > 1.35 {
			t.Errorf("%s: uneven by %.2f before and %.2f after", tc.name, before, after)
		}
		p.Slowdowns = nil
		for range 8 {
			plan := p.Plan(m, load)
			m, after = plan.Map, plan.SkewAfter
		}
		if after > 1.35 {
			t.Errorf("%s: at the usual pace again uneven by %.2f", tc.name, after)
		}
	}
}

func TestASteepSkewIsFirstMendedWithOneCopyARank(t *testing.T) {
	p := planner(usual)
	p.MaxCopies, p.MinSaving = 4, 0.01
	m, load := dealt(usual), zipf(usual, 5)
	first := p.Plan(m, load)
	if first.SkewBefore < 2 || first.CopyTime != usual.CopyTime || first.SkewAfter > first.SkewBefore*2/3 {
		t.Errorf("uneven by %.2f, then %.2f after copying for %v", first.SkewBefore, first.SkewAfter, first.CopyTime)
	}
	for range 9 {
		plan := p.Plan(m, load)
		if plan.SkewBefore <= 2 {
			if plan.Copies > 0 && plan.CopyTime <= usual.CopyTime {
				t.Errorf("uneven by %.2f, and copying for %v only", plan.SkewBefore, plan.CopyTime)
			}
			return
		}
		m = plan.Map
	}
	t.Error("the skew stays steep")
}
