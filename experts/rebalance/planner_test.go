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

// usualShape is the shape of a typical group.
var usualShape = rebalance.Shape{Ranks: 8, Layers: 6, Experts: 64, Slots: 11, Staging: 4, CopyTime: 150 * time.Millisecond, ExpertShare: 0.85}

func planner(s rebalance.Shape) rebalance.Planner {
	return rebalance.Planner{Shape: s, Horizon: 2 * time.Second, CopySlowdown: 0.15, MaxCopies: 1, MinSaving: 0.05}
}

// dealt returns the initial map: expert e of each layer is held by rank e modulo the ranks.
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

// zipf returns a load with a few hot experts, in a different order in each layer.
func zipf(s rebalance.Shape, seed uint64) rebalance.Load { return zipfOf(s, seed, 1.6) }

// zipfOf returns a load whose i-th hottest expert has i^-exponent times the tokens of the
// hottest, in a different order in each layer.
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

// checkMap returns an error if the map after does not fit the shape or lacks an expert, or if
// changing to it from the map before takes more copies per rank than staging or maxCopies allow.
func checkMap(s rebalance.Shape, before, after rebalance.Map, maxCopies int) error {
	copies := make([]int, s.Ranks)
	for l := range after {
		holders := make([]int, s.Experts)
		for r, list := range after[l] {
			if len(list) > s.Slots {
				return fmt.Errorf("layer %d: rank %d holds %d experts, more than its slots", l, r, len(list))
			}
			copied := 0
			seen := map[int]bool{}
			for _, e := range list {
				if seen[e] {
					return fmt.Errorf("layer %d: rank %d holds expert %d twice", l, r, e)
				}
				seen[e] = true
				holders[e]++
				if !slices.Contains(before[l][r], e) {
					copied++
				}
			}
			copies[r] += copied
			if copied > s.Staging {
				return fmt.Errorf("layer %d: rank %d copies %d experts, more than staging allows", l, r, copied)
			}
		}
		if e := slices.Index(holders, 0); e >= 0 {
			return fmt.Errorf("layer %d: no rank holds expert %d", l, e)
		}
	}
	if slices.Max(copies) > maxCopies {
		return fmt.Errorf("a rank copies %d experts, want at most %d", slices.Max(copies), maxCopies)
	}
	return nil
}

func TestPlansFitShapeAndLimits(t *testing.T) {
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
			if err := checkMap(s, m, plan.Map, p.MaxCopies); err != nil {
				rt.Fatal(err)
			}
			if plan.SkewAfter > plan.SkewBefore+1e-9 {
				rt.Fatalf("the plan increases the skew from %.3f to %.3f", plan.SkewBefore, plan.SkewAfter)
			}
			m = plan.Map
		}
	})
}

func TestFewPlansRemoveSkew(t *testing.T) {
	p := planner(usualShape)
	for seed := range uint64(10) {
		m, load := dealt(usualShape), zipf(usualShape, seed)
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
			t.Errorf("seed %d: skew %.2f after %d plans, want at most 1.35 after at most 8", seed, last.SkewBefore, changes)
		}
	}
}

func TestFirstPlanAfterShiftReducesSkew(t *testing.T) {
	p := planner(usualShape)
	m := dealt(usualShape)
	for range 8 {
		m = p.Plan(m, zipf(usualShape, 1)).Map
	}
	shifted := p.Plan(m, zipf(usualShape, 2))
	if shifted.SkewBefore < 2 || shifted.SkewAfter > 0.7*shifted.SkewBefore {
		t.Errorf("the plan changes the skew from %.2f to %.2f, want from at least 2 to at most 0.7 times that", shifted.SkewBefore, shifted.SkewAfter)
	}
}

func TestPlanNotWorthwhileForSmallSaving(t *testing.T) {
	flat := zipf(usualShape, 1)
	for _, l := range flat {
		for e := range l {
			l[e] = 1 + 0.05*float64(e%7)
		}
	}
	empty := make(rebalance.Load, usualShape.Layers)
	for l := range empty {
		empty[l] = make([]float64, usualShape.Experts)
	}
	for name, load := range map[string]rebalance.Load{"even": flat, "none": empty} {
		if plan := planner(usualShape).Plan(dealt(usualShape), load); plan.Worthwhile() {
			t.Errorf("%s load: a plan of %d copies that saves %.3f is worthwhile", name, plan.Copies, plan.Saving())
		}
	}
}

func TestPlanNotWorthwhileIfCopiesOutlastHorizon(t *testing.T) {
	p := planner(usualShape)
	p.Shape.CopyTime = 3 * time.Second
	if plan := p.Plan(dealt(usualShape), zipf(usualShape, 1)); plan.Worthwhile() {
		t.Errorf("a plan of %d copies that take longer than the horizon is worthwhile", plan.Copies)
	}
}

func TestEstimateFollowsShiftsAndIgnoresNoise(t *testing.T) {
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
	e := rebalance.NewEstimate(usualShape)
	before, after := zipf(usualShape, 1), zipf(usualShape, 2)
	for range 30 {
		e.Add(noisy(before))
	}
	if !e.Stable() {
		t.Error("noise counts as a shift")
	}
	if d := distance(e.Load()[0], before[0]); d > 0.08 {
		t.Errorf("distance %.3f from a steady load after 30 reports, want at most 0.08", d)
	}
	e.Add(noisy(after))
	if e.Stable() {
		t.Error("a shift counts as noise")
	}
	e.Add(noisy(after))
	if d := distance(e.Load()[0], after[0]); d > 0.15 {
		t.Errorf("distance %.3f from the new load after two reports, want at most 0.15", d)
	}
}

// distance returns half of the sum of the differences between the shares and those of load.
func distance(shares, load []float64) float64 {
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
	p, m, load := planner(usualShape), dealt(usualShape), zipf(usualShape, 1)
	for b.Loop() {
		p.Plan(m, load)
	}
}

func TestSlowRanksGetLessLoad(t *testing.T) {
	grown := rebalance.Shape{Ranks: 32, Layers: 12, Experts: 128, Slots: 5, Staging: 2, CopyTime: 36 * time.Millisecond, ExpertShare: 0.85}
	tests := []struct {
		name      string
		shape     rebalance.Shape
		slowdown  float64
		slowRanks int
	}{
		{"eight ranks, one a little slow", usualShape, 1.6, 1},
		{"eight ranks, one very slow", usualShape, 4.76, 1},
		{"eight ranks, half of them slow", usualShape, 2, 4},
		{"32 ranks, one very slow", grown, 4.76, 1},
	}
	for _, tc := range tests {
		p := planner(tc.shape)
		p.MaxCopies = 4
		m, load := dealt(tc.shape), zipf(tc.shape, 3)
		for range 6 {
			m = p.Plan(m, load).Map
		}
		p.Slowdowns = slices.Repeat([]float64{tc.slowdown}, tc.slowRanks)
		p.MinSaving = 0.01
		first := p.Plan(m, load)
		before, after := first.SkewBefore, first.SkewAfter
		m = first.Map
		for range 8 {
			plan := p.Plan(m, load)
			m, after = plan.Map, plan.SkewAfter
		}
		if before < 0.75*tc.slowdown || after > 1.35 {
			t.Errorf("%s: skew %.2f before and %.2f after the plans", tc.name, before, after)
		}
		p.Slowdowns = nil
		for range 8 {
			plan := p.Plan(m, load)
			m, after = plan.Map, plan.SkewAfter
		}
		if after > 1.35 {
			t.Errorf("%s: skew %.2f after the slowdown ended, want at most 1.35", tc.name, after)
		}
	}
}

func TestSteepSkewIsFirstReducedByOneCopyPerRank(t *testing.T) {
	p := planner(usualShape)
	p.MaxCopies, p.MinSaving = 4, 0.01
	m, load := dealt(usualShape), zipf(usualShape, 5)
	first := p.Plan(m, load)
	if first.SkewBefore < 2 || first.CopyTime != usualShape.CopyTime || first.SkewAfter > first.SkewBefore*2/3 {
		t.Errorf("skew %.2f, then %.2f after copying for %v", first.SkewBefore, first.SkewAfter, first.CopyTime)
	}
	for range 9 {
		plan := p.Plan(m, load)
		if plan.SkewBefore <= 2 {
			if plan.Copies > 0 && plan.CopyTime <= usualShape.CopyTime {
				t.Errorf("skew %.2f, and copying for %v only", plan.SkewBefore, plan.CopyTime)
			}
			return
		}
		m = plan.Map
	}
	t.Error("the skew is still steep after 9 plans")
}
