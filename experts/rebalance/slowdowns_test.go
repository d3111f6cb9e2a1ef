package rebalance_test

import (
	"math"
	"testing"
	"time"

	"clovertrail.dev/experts/rebalance"
)

// TestSlowdownsThatAreNone: a broken report must neither make a rank infinitely slow, so that all its
// experts are moved, nor break the arithmetic of plans.
func TestSlowdownsThatAreNone(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := rebalance.NewSlowdowns(2)
	s.Record(now, 1, 1.5)
	for _, x := range []float64{0, -3, math.Inf(1), math.Inf(-1), math.NaN()} {
		if _, valid := s.Record(now, 1, x); valid || s.Values()[1] != 1.5 {
			t.Errorf("slowdown %v: valid: %v, the rank's is %v; want it ignored", x, valid, s.Values()[1])
		}
		p := planner(usualShape)
		load := zipf(usualShape, 1)
		want := p.Plan(dealt(usualShape), load)
		p.Slowdowns = []float64{x}
		if got := p.Plan(dealt(usualShape), load); got.SkewBefore != want.SkewBefore || got.SkewAfter != want.SkewAfter {
			t.Errorf("a planner with slowdown %v plans from %.2f to %.2f, want %.2f to %.2f", x, got.SkewBefore, got.SkewAfter, want.SkewBefore, want.SkewAfter)
		}
	}
	for _, rank := range []int{-1, 2} {
		if _, valid := s.Record(now, rank, 1); valid {
			t.Errorf("rank %d of 2 has a slowdown", rank)
		}
	}
}

// TestChangedSlowdownCausesPlan: a rank that turns slow makes each step of its group long until a map
// gives it less, and one that recovers is left without load; small changes are not worth a plan.
func TestChangedSlowdownCausesPlan(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		name    string
		reports []float64
		due     bool
	}{
		{"slow at once", []float64{4.4}, true},
		{"slow step by step", []float64{1.1, 1.15, 1.22}, true},
		{"a little slow", []float64{1.1, 1.15, 1.1}, false},
		{"faster than usual", []float64{0.7}, false},
		{"not reported", []float64{0}, false},
	} {
		s := rebalance.NewSlowdowns(3)
		for _, x := range tc.reports {
			s.Record(now, 1, x)
		}
		if s.PlanDue(now) || s.PlanDue(now.Add(100*ms)) != tc.due {
			t.Errorf("%s: plan due at once: %v, want false; after 100 ms: %v, want %v", tc.name, s.PlanDue(now), s.PlanDue(now.Add(100*ms)), tc.due)
		}
		s.Planned()
		s.Record(now, 1, 1)
		if s.PlanDue(now.Add(100*ms)) != tc.due {
			t.Errorf("%s: plan due after the recovery: %v, want %v", tc.name, !tc.due, tc.due)
		}
	}
}

// TestSlowRanksAreDescribed: operators see which ranks are slow and since when.
func TestSlowRanksAreDescribed(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := rebalance.NewSlowdowns(3)
	s.Record(now, 2, 4.4)
	s.Record(now.Add(time.Second), 2, 4.2)
	if got, want := s.Describe(now.Add(2*time.Second)), "2:4.2 for 2s"; got != want || s.Slow() != 1 {
		t.Errorf("%d slow: %q, want 1: %q", s.Slow(), got, want)
	}
	s.Record(now, 2, 1)
	if got := s.Describe(now); got != "" || s.Slow() != 0 {
		t.Errorf("%d slow after the recovery: %q, want none", s.Slow(), got)
	}
}
