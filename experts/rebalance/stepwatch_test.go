package rebalance_test

import (
	"testing"
	"time"

	"clovertrail.dev/experts/rebalance"
)

const ms = time.Millisecond

// phaseOfSteps is a number of successive steps of one length.
type phaseOfSteps struct {
	steps  int
	length time.Duration
	vary   float64 // the length of every third step is larger by this share
	idle   bool    // the engine runs no requests
	freeze bool    // the process makes no observations
	epoch  uint64
}

// watchSteps observes the phases at the interval, and returns how long after the start of each
// phase long steps were reported, by phase.
func watchSteps(phases []phaseOfSteps, every time.Duration) (reports [][]time.Duration) {
	now, step, next := time.Unix(1_800_000_000, 0), uint64(0), time.Unix(1_800_000_000, 0)
	var w rebalance.StepWatch
	reports = make([][]time.Duration, len(phases))
	for i, p := range phases {
		start := now
		for n := range p.steps {
			step++
			end := now.Add(p.length)
			if n%3 == 2 {
				end = end.Add(time.Duration(p.vary * float64(p.length)))
			}
			for ; next.Before(end); next = next.Add(every) {
				if p.freeze {
					continue
				}
				if _, long := w.Observe(next, rebalance.StepObservation{Epoch: p.epoch, Step: step, Busy: !p.idle}); long {
					reports[i] = append(reports[i], next.Sub(start))
				}
			}
			now = end
		}
	}
	return reports
}

// TestStepWatch: a shift that is not detected leaves the group on its old map for up to three
// intervals of reads; each report without a shift costs a read of all ranks.
func TestStepWatch(t *testing.T) {
	usual := phaseOfSteps{steps: 40, length: 60 * ms, vary: 0.2}
	for _, tc := range []struct {
		name   string
		phases []phaseOfSteps
		want   []int         // number of reports, by phase
		within time.Duration // latest first report of the phases with one
	}{
		{"a shift doubles the steps", []phaseOfSteps{usual, {steps: 5, length: 125 * ms}, usual}, []int{0, 1, 0}, 125 * ms},
		{"a shift makes steps 1.65 times as long", []phaseOfSteps{usual, {steps: 5, length: 105 * ms}, usual}, []int{0, 1, 0}, 4 * 105 * ms},
		{"a shift every 40 steps", []phaseOfSteps{usual, {steps: 4, length: 130 * ms}, usual, {steps: 4, length: 130 * ms}}, []int{0, 1, 0, 1}, 130 * ms},
		{"load and prompts", []phaseOfSteps{usual, {steps: 30, length: 70 * ms, vary: 0.15}, usual}, []int{0, 0, 0}, 0},
		{"slow throughout", []phaseOfSteps{{steps: 60, length: 400 * ms, vary: 0.2}}, []int{0}, 0},
		{"becomes slow for good", []phaseOfSteps{usual, {steps: 60, length: 200 * ms, vary: 0.2}}, []int{0, 1}, 200 * ms},
		{"idle, then starts with more load", []phaseOfSteps{usual, {steps: 1, length: 3 * time.Second, idle: true}, {steps: 30, length: 100 * ms}}, []int{0, 0, 0}, 0},
		{"idle for some steps", []phaseOfSteps{usual, {steps: 1, length: 300 * ms, idle: true}, usual}, []int{0, 0, 0}, 0},
		{"the process is frozen during a step", []phaseOfSteps{usual, {steps: 1, length: 2 * time.Second, freeze: true}, usual}, []int{0, 0, 0}, 0},
		{"the process is frozen for many steps", []phaseOfSteps{usual, {steps: 9, length: 70 * ms, freeze: true}, usual}, []int{0, 0, 0}, 0},
		{"another epoch, slower", []phaseOfSteps{usual, {steps: 40, length: 180 * ms, epoch: 2}}, []int{0, 0}, 0},
	} {
		for _, every := range []time.Duration{20 * ms, 23 * ms} {
			reports := watchSteps(tc.phases, every)
			for i, want := range tc.want {
				if got := reports[i]; len(got) != want || want > 0 && got[0] > tc.within {
					t.Errorf("%s, observed every %v: reports in phase %d at %v, want %d within %v", tc.name, every, i, got, want, tc.within)
				}
			}
		}
	}
}
