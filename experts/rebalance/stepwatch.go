package rebalance

import (
	"slices"
	"time"
)

// StepWatch detects a shift of the demand by the length of a group's steps, from observations of
// one engine. A shift makes steps last 1.5 to 2.5 times as long as before, whereas load and the
// processing of prompts vary them by up to a fifth. It judges a step that has not ended yet, so
// that the detection takes little longer than a usual step. The zero StepWatch has no
// observations. It is not safe for concurrent use.
type StepWatch struct {
	epoch     uint64
	latest    uint64    // highest step observed
	begun     []begin   // first observations of the latest steps, the last one that of latest
	last      time.Time // last observation; zero before the first
	idleSince time.Time // start of the time without running requests; zero if there are some
	long      bool      // the last judged step is long
	lengths   []time.Duration
}

// begin is the first observation of a step, at or after its begin.
type begin struct {
	step uint64
	at   time.Time
}

// StepObservation is the state of an engine at the time of an observation.
type StepObservation struct {
	Epoch uint64
	Step  uint64 // the last step that has begun
	// Busy reports whether the engine runs requests. While it does not, the group may run no
	// steps at all, and the time since the last one is no evidence of a long step.
	Busy bool
}

// LongStep describes the step, or two successive ones, that exceeded the usual length.
type LongStep struct {
	Step  uint64        // the step; the first of two
	Since time.Time     // first observation of that step
	Took  time.Duration // length so far, of one step
	Usual time.Duration
}

const (
	// longStepFactor is how many times longer than usual a long step lasts at least: more than
	// load and prompts explain (1.2), less than a shift causes (1.5).
	longStepFactor = 1.4
	// ordinaryFactor is how many times longer than usual the steps of an undisturbed group last.
	ordinaryFactor = 1.2
	// usualSteps is the number of steps whose lengths give the usual one: between two shifts a few
	// seconds apart, fewer than half of the steps are long.
	usualSteps = 24
	// leastUsualSteps is the number of steps that must have been measured before one is judged.
	leastUsualSteps = 8
	// maxObservationGap is the longest time between two observations of an undisturbed process,
	// several times the interval of observations. After a longer one, the process or its machine
	// may have stood still, and the step observed before it is not judged.
	maxObservationGap = 120 * time.Millisecond
	// observationsPerStep is the number of observations in a usual step: with fewer, the error of
	// the times at which steps are observed hides a step that is half longer than usual.
	observationsPerStep = 4
	// minObservationInterval and maxObservationInterval bound the time between two observations.
	// Each costs a call to the engine of the same box.
	minObservationInterval, maxObservationInterval = 20 * time.Millisecond, 40 * time.Millisecond
	// idleObservationInterval is the time between two observations of an engine without requests.
	idleObservationInterval = 100 * time.Millisecond
	// idleAfter is the time without running requests after which the usual length is unknown: the
	// first requests after it change the load of a group too much for a comparison.
	idleAfter = time.Second
	// judgedSteps is the largest number of successive steps that are judged together: with each
	// further one, the error of the times at which steps are observed matters less.
	judgedSteps = 4
)

// Observe processes an observation and reports a step that lasts much longer than usual. It
// reports no further one until a step has ended that was not long.
func (w *StepWatch) Observe(now time.Time, o StepObservation) (LongStep, bool) {
	gap := now.Sub(w.last)
	if w.last.IsZero() || o.Epoch != w.epoch || o.Step < w.latest {
		*w = StepWatch{epoch: o.Epoch, latest: o.Step, last: now}
		return LongStep{}, false
	}
	w.last = now
	w.recordIdle(now, o.Busy)
	if !o.Busy || gap > maxObservationGap {
		w.begun, w.latest = w.begun[:0], o.Step
		return LongStep{}, false
	}
	if o.Step > w.latest {
		w.begin(now, o.Step)
	}
	return w.judge(now)
}

// Interval returns the time between two observations.
func (w *StepWatch) Interval() time.Duration {
	if !w.idleSince.IsZero() {
		return idleObservationInterval
	}
	usual, _ := w.Usual()
	return min(max(usual/observationsPerStep, minObservationInterval), maxObservationInterval)
}

// recordIdle forgets the usual length once the engine has been without requests for idleAfter.
func (w *StepWatch) recordIdle(now time.Time, busy bool) {
	switch {
	case busy:
		w.idleSince = time.Time{}
	case w.idleSince.IsZero():
		w.idleSince = now
	case now.Sub(w.idleSince) > idleAfter:
		w.lengths, w.long = nil, false
	}
}

// begin records the first observation of a step, and the length of those since the previous one.
func (w *StepWatch) begin(now time.Time, step uint64) {
	if n := len(w.begun); n > 0 {
		before := w.begun[n-1]
		w.addLength(now.Sub(before.at) / time.Duration(step-before.step))
	}
	w.latest = step
	w.begun = append(w.begun, begin{step: step, at: now})
	if len(w.begun) > judgedSteps {
		w.begun = slices.Delete(w.begun, 0, 1)
	}
}

func (w *StepWatch) addLength(length time.Duration) {
	if usual, known := w.Usual(); known && w.long && !exceeds(length, usual, ordinaryFactor) {
		w.long, w.begun = false, w.begun[:0]
	}
	w.lengths = append(w.lengths, length)
	if len(w.lengths) > usualSteps {
		w.lengths = slices.Delete(w.lengths, 0, 1)
	}
}

func exceeds(length, usual time.Duration, factor float64) bool {
	return float64(length) > factor*float64(usual)
}

// judge compares the latest steps with the usual length. The first observation of a step is at or
// after its begin, and now is at or before its end, so that the compared length is at most the
// true one, however rare the observations are.
func (w *StepWatch) judge(now time.Time) (LongStep, bool) {
	usual, known := w.Usual()
	if !known || w.long {
		return LongStep{}, false
	}
	for _, b := range w.begun {
		took := now.Sub(b.at) / time.Duration(w.latest-b.step+1)
		if exceeds(took, usual, longStepFactor) {
			w.long = true
			return LongStep{Step: b.step, Since: b.at, Took: took, Usual: usual}, true
		}
	}
	return LongStep{}, false
}

// Usual returns the usual length of a step: the mean of the lengths without long ones; false until
// enough steps were measured. A mean, in place of a median, cancels the errors of the observations.
func (w *StepWatch) Usual() (time.Duration, bool) {
	if len(w.lengths) < leastUsualSteps {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(w.lengths))
	median, sum, n := sorted[len(sorted)/2], time.Duration(0), 0
	for _, length := range sorted {
		if !exceeds(length, median, longStepFactor) {
			sum += length
			n++
		}
	}
	return sum / time.Duration(n), true
}
