package shiftmodel_test

import (
	"testing"
	"time"

	"clovertrail.dev/experts/rebalance"
)

const ms = time.Millisecond

// shape has one free slot for each two experts: the initial map has a skew of 2.5 after a shift.
var shape = rebalance.Shape{Ranks: 72, Layers: 12, Experts: 144, Slots: 3, Staging: 2, CopyTime: 36 * ms, ExpertShare: 0.85}

// config is that of a group whose demand shifts every 2.7 s.
func config(seed uint64, countsAtEnd bool, preference float64) Config {
	return Config{
		Planner: rebalance.Planner{Shape: shape, Horizon: 2 * time.Second, CopySlowdown: 0.15, MaxCopies: 4, MinSaving: 0.08, Overhead: 120 * ms},
		Seed:    seed, Length: 28 * time.Second, ShiftEvery: 2730 * ms, StepTime: 60 * ms, CountsAtEnd: countsAtEnd, Preference: preference,
		ReadInterval: 220 * ms, ReadTime: 50 * ms, ChangeTime: 120 * ms,
	}
}

// withoutWatch is an estimator that no long step is reported to.
type withoutWatch struct{ *rebalance.Estimate }

func (e withoutWatch) AddExpected(r rebalance.Load, _ float64) { e.Add(r) }
func (e withoutWatch) ExpectShift()                            {}

// TestShiftsEveryFewSeconds: the demand shifts every 2.7 s, and half of the time is lost until a map
// suits the demand if a shift shows only in the next reads, and if the first plans follow a mixture
// of the demand before and after it. Engines may count the picks of a step at its begin or end.
func TestShiftsEveryFewSeconds(t *testing.T) {
	for _, tc := range []struct {
		name        string
		countsAtEnd bool
		preference  float64
		firstSkew   float64 // of the first map after a shift, at most
	}{
		{"requests are alike, counted at the begin", false, 0.2, 1.35},
		{"requests are alike, counted at the end", true, 0.2, 1.35},
		{"requests differ, counted at the begin", false, 1, 1.55},
		{"requests differ, counted at the end", true, 1, 1.55},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before, after := config(1, tc.countsAtEnd, tc.preference), config(1, tc.countsAtEnd, tc.preference)
			before.Estimator = withoutWatch{rebalance.NewEstimate(shape)}
			after.Estimator, after.Watch, after.SecondRead = rebalance.NewEstimate(shape), true, 100*ms
			b, a := Run(before), Run(after)
			logResult(t, "without the watch", b)
			logResult(t, "with the watch", a)
			if a.LongSteps < a.Shifts-1 || a.LongSteps > a.Shifts+1 {
				t.Errorf("%d long steps reported for %d shifts", a.LongSteps, a.Shifts)
			}
			if a.InUse > 600*ms || a.FirstSkew > tc.firstSkew || a.After(600*ms) > 1.6 || a.Mean > 0.9*b.Mean {
				t.Errorf("map in use after %v at a skew of %.2f, %.2f after 0.6 s, mean %.2f (%.2f without the watch)", a.InUse, a.FirstSkew, a.After(600*ms), a.Mean, b.Mean)
			}
			if a.Reads > b.Reads*11/10 {
				t.Errorf("%d reads, %d without the watch", a.Reads, b.Reads)
			}
		})
	}
}

func logResult(t *testing.T, name string, r Result) {
	t.Logf("%s: mean skew %.2f; first plan %v after a shift, in use after %v at %.2f; skew after 0.2 s %.2f, 0.4 s %.2f, 0.6 s %.2f, 1 s %.2f, 2 s %.2f; %d reads, %d changes, %d copies",
		name, r.Mean, r.Planned, r.InUse, r.FirstSkew, r.After(200*ms), r.After(400*ms), r.After(600*ms), r.After(time.Second), r.After(2*time.Second), r.Reads, r.Changes, r.Copies)
}

// TestLongStepsWithoutShifts: a step can be long for another reason than a shift, such as many
// prompts at once. That costs reads of the counts, but must change no map: copies are paid for, and
// slow down further steps.
func TestLongStepsWithoutShifts(t *testing.T) {
	run := func(longStepEvery time.Duration) Result {
		c := config(2, false, 1)
		c.ShiftEvery, c.LongStepEvery = time.Hour, longStepEvery
		c.Estimator, c.Watch, c.SecondRead = rebalance.NewEstimate(shape), true, 100*ms
		return Run(c)
	}
	calm, long := run(0), run(3*time.Second)
	if calm.LongSteps > 0 || calm.Reads > 55 {
		t.Errorf("without long steps: %d reported, %d reads in 28 s; want none, and at most 55", calm.LongSteps, calm.Reads)
	}
	if long.LongSteps < 7 || long.Copies > calm.Copies || long.Reads > 2*calm.Reads {
		t.Errorf("%d of 9 long steps reported, %d copies and %d reads; want at least 7, and at most %d and %d", long.LongSteps, long.Copies, long.Reads, calm.Copies, 2*calm.Reads)
	}
}
