package rebalance_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"clovertrail.dev/experts/rebalance"
)

// report returns a report with the mean number of tokens of each layer and noise of a tenth.
func report(rnd *rand.Rand, load rebalance.Load, tokens float64) rebalance.Load {
	out := make(rebalance.Load, len(load))
	for l := range load {
		total := 0.0
		for _, x := range load[l] {
			total += x
		}
		for _, x := range load[l] {
			out[l] = append(out[l], x/total*tokens*math.Exp(0.1*rnd.NormFloat64()))
		}
	}
	return out
}

// TestExpectedShift: after a long step, a report that contains the demand from before must neither
// hide the shift nor take part in the map for the demand after it, and a step that is long for
// another reason must not replace a settled estimate by a single report.
func TestExpectedShift(t *testing.T) {
	before, after := zipfOf(usualShape, 1, 0.5), zipfOf(usualShape, 2, 0.5)
	for _, tc := range []struct {
		name    string
		parts   []float64 // share of each report from before the long step
		shifted bool
		toOld   float64 // largest distance from the demand before the shift
		toNew   float64 // largest distance from the demand after it
	}{
		{"half of the report is from before", []float64{0.5}, true, 1, 0.08},
		{"most of the report is from before", []float64{0.9}, true, 0.03, 1},
		{"nothing of the first report is from after", []float64{1, 0}, true, 1, 0.05},
		{"no shift", []float64{0.5, 0, 0}, false, 0.02, 1},
	} {
		rnd := rand.New(rand.NewPCG(1, 2))
		e := rebalance.NewEstimate(usualShape)
		for range 40 {
			e.Add(report(rnd, before, 1000))
		}
		e.ExpectShift()
		for _, part := range tc.parts {
			load := report(rnd, before, 1000)
			if tc.shifted {
				load = report(rnd, before, 1000*part)
				for l, added := range report(rnd, after, 1000*(1-part)) {
					for i, x := range added {
						load[l][i] += x
					}
				}
			}
			e.AddExpected(load, part)
		}
		if d := distance(e.Load()[0], before[0]); d > tc.toOld {
			t.Errorf("%s: distance %.3f from the demand before, want at most %.3f", tc.name, d, tc.toOld)
		}
		if d := distance(e.Load()[0], after[0]); d > tc.toNew {
			t.Errorf("%s: distance %.3f from the demand after, want at most %.3f", tc.name, d, tc.toNew)
		}
	}
}
