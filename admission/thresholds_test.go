package admission_test

import (
	"math"
	"testing"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/urgency"
)

func class(rank, n int) urgency.Class {
	var list []urgency.Priorities
	for i := range n {
		list = append(list, urgency.Priorities{Route: i})
	}
	return urgency.NewClasses(list).Of(urgency.Priorities{Route: rank})
}

// TestThresholdsFollowUrgency guards against a class that is refused before a less urgent one, entirely, or
// below half of the slots.
func TestThresholdsFollowUrgency(t *testing.T) {
	for _, n := range []int{1, 2, 3, 12} {
		for _, limit := range []float64{0.2, 0.5, 0.8, 1.3, math.NaN()} {
			x := admission.NewThresholds(limit)
			for load := 0.0; load < 2; load += 0.01 {
				before := 0.0
				for rank := range n {
					share := x.RefusedShare(class(rank, n), load)
					if share < before || share > 0.95 || share > 0 && load < 0.5 || rank == 0 && share > 0 && load < limit-0.051 {
						t.Fatalf("limit %v, load %.2f: %v of class %d of %d are refused", limit, load, share, rank, n)
					}
					before = share
				}
			}
			if share := x.RefusedShare(class(0, n), 2); share != 0.95 && !math.IsNaN(limit) {
				t.Errorf("limit %v: %v are refused at twice the slots", limit, share)
			}
		}
	}
}

// TestRampsOfClasses guards against boxes that all refuse and then all admit, and against classes that are refused
// alike.
func TestRampsOfClasses(t *testing.T) {
	x := admission.NewThresholds(0.8)
	if x.Start(class(1, 2)) > x.Start(class(0, 2))-0.02 {
		t.Error("two classes are refused from the same load on")
	}
	if share := x.RefusedShare(urgency.Class{}, 0.8); share < 0.3 || share > 0.7 {
		t.Errorf("%v are refused at the limit", share)
	}
	if share := x.RefusedShare(urgency.Class{}, math.NaN()); share != 0 {
		t.Errorf("%v are refused at an unknown load", share)
	}
}
