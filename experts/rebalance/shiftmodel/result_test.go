package shiftmodel_test

import (
	"slices"
	"time"
)

// Result is the outcome of a run.
type Result struct {
	Shifts, LongSteps, Reads, Changes, Copies int
	// Mean is the skew averaged over time, from the first shift on.
	Mean float64
	// Planned, InUse and FirstSkew are medians over the shifts: the times from a shift to the first
	// plan and to the use of its map, and the skew of that map under the demand.
	Planned, InUse time.Duration
	FirstSkew      float64
	planned, inUse []time.Duration
	firstSkews     []float64
	samples        []sample
}

// sample is one step.
type sample struct {
	at, sinceShift, length time.Duration
	skew                   float64
}

func (r *Result) add(at, since, length time.Duration, skew float64) {
	r.samples = append(r.samples, sample{at: at, sinceShift: since, length: length, skew: skew})
}

// After returns the mean skew over the steps that began in the 100 ms from the time after a shift.
func (r *Result) After(since time.Duration) float64 {
	return r.meanOf(func(s sample) bool {
		return s.sinceShift < s.at && s.sinceShift >= since && s.sinceShift < since+100*time.Millisecond
	})
}

// Between returns the mean skew over the steps that began in a period of the run.
func (r *Result) Between(from, to time.Duration) float64 {
	return r.meanOf(func(s sample) bool { return s.at >= from && s.at < to })
}

func (r *Result) meanOf(wanted func(sample) bool) float64 {
	sum, total := 0.0, 0.0
	for _, s := range r.samples {
		if wanted(s) {
			sum += s.skew * s.length.Seconds()
			total += s.length.Seconds()
		}
	}
	return sum / total
}

func (r *Result) finish() {
	r.Mean = r.meanOf(func(s sample) bool { return s.sinceShift < s.at })
	r.Planned, r.InUse, r.FirstSkew = median(r.planned), median(r.inUse), median(r.firstSkews)
}

func median[T float64 | time.Duration](list []T) T {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[len(list)/2]
}
