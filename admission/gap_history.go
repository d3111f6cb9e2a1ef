package admission

import (
	"slices"
	"time"
)

// gapHistory holds the recent event gaps of a group. All streams of a group see the same steps, so the median
// of the gaps within a short interval is the length of a step; a stream that was delayed on its way does not
// change it. Intervals without a gap do not count.
type gapHistory struct {
	start   time.Time // of the open interval
	load    float64   // at the last gap of the open interval
	samples []float64 // gaps of the open interval in seconds
	recent  []step    // of the closed intervals, the oldest first
	peaks   []step    // the longest of each peakResolution, the oldest first
	shifts  shifts
}

// step is a step of a group.
type step struct {
	at     time.Time
	load   float64
	length float64 // in seconds
	base   float64 // its length without load
}

const (
	// intervalLength is about the duration of a step whose length is near an objective.
	intervalLength = 100 * time.Millisecond
	// maxSamples bounds the samples of an interval; more hardly change a median.
	maxSamples = 64
	// usualWindow is the time whose median is the usual step: more than twice as long as steps stay long after
	// a shift of demand. A lasting change counts after half of it.
	usualWindow = 2 * time.Second
	// peakHold is how long a peak counts in full: demand shifts every few seconds, and the next shift is to
	// find room. Over peakFade after it the peak falls to the usual step.
	peakHold, peakFade = 5 * time.Second, 5 * time.Second
	peakResolution     = 500 * time.Millisecond
)

// add adds a gap that ended now, in seconds. It returns the step of the interval that closes with it, if any.
func (h *gapHistory) add(now time.Time, gap, load float64) (step, bool) {
	closes := len(h.samples) > 0 && now.Sub(h.start) >= intervalLength
	var closed step
	if closes {
		slices.Sort(h.samples)
		closed = step{at: h.start, load: h.load, length: h.samples[(len(h.samples)-1)/2]}
		h.samples = h.samples[:0]
	}
	if len(h.samples) == 0 {
		h.start = now
	}
	if h.load = load; len(h.samples) < maxSamples {
		h.samples = append(h.samples, gap)
	}
	return closed, closes
}

// keep stores a step and drops those that no longer count.
func (h *gapHistory) keep(s step) {
	if usual, ok := h.usual(s.at); ok {
		h.shifts.observe(s, usual)
	}
	h.recent = append(dropBefore(h.recent, s.at.Add(-usualWindow)), s)
	h.peaks = dropBefore(h.peaks, s.at.Add(-peakHold-peakFade))
	last := len(h.peaks) - 1
	switch {
	case last < 0 || s.at.Sub(h.peaks[last].at) >= peakResolution:
		h.peaks = append(h.peaks, s)
	case s.base > h.peaks[last].base:
		h.peaks[last].base = s.base
	}
}

// dropBefore removes the steps before the time.
func dropBefore(list []step, t time.Time) []step {
	n := 0
	for n < len(list) && list[n].at.Before(t) {
		n++
	}
	return slices.Delete(list, 0, n)
}

// usual returns the base of the usual step; false if there are no recent ones.
func (h *gapHistory) usual(now time.Time) (float64, bool) {
	list := make([]float64, 0, len(h.recent))
	for _, s := range h.recent {
		if now.Sub(s.at) <= usualWindow {
			list = append(list, s.base)
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	slices.Sort(list)
	return list[len(list)/2], true
}

// peak returns the base of the longest of the last steps, without those longer than most, and at least usual.
// If no shift of demand is due, it is usual.
func (h *gapHistory) peak(now time.Time, usual, most float64) float64 {
	if !h.shifts.due(now) {
		return usual
	}
	peak := usual
	for _, s := range h.peaks {
		if s.base > most {
			continue
		}
		faded := min(max(float64(now.Sub(s.at)-peakHold)/float64(peakFade), 0), 1)
		peak = max(peak, usual+(s.base-usual)*(1-faded))
	}
	return peak
}
