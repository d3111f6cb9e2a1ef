package rebalance_test

import (
	"testing"
	"time"

	"clovertrail.dev/experts/rebalance"
)

// afterLongStep returns a response to step 31, which is long, observed up to 100 ms after its begin;
// the counts were read during step 21.
func afterLongStep(t *testing.T) (*rebalance.ShiftResponse, time.Time) {
	t.Helper()
	var s rebalance.ShiftResponse
	now := time.Unix(1_800_000_000, 0)
	for step := range uint64(31) {
		for range 3 {
			s.Observe(now, rebalance.StepObservation{Step: step, Busy: true})
			now = now.Add(20 * ms)
		}
		if step == 21 {
			s.CountsRead(now)
		}
	}
	for range 6 {
		if _, long := s.Observe(now, rebalance.StepObservation{Step: 31, Busy: true}); long {
			return &s, now
		}
		now = now.Add(20 * ms)
	}
	t.Fatal("no long step reported")
	return nil, now
}

// TestLongStepCausesTwoReads: the counts are read at once, and once more when they have more of the
// demand after the shift, but not again and again: each read is paid for.
func TestLongStepCausesTwoReads(t *testing.T) {
	s, now := afterLongStep(t)
	if !s.ReadDue(now) {
		t.Fatal("no read is due at the long step")
	}
	s.CountsRead(now)
	if got := s.Before(); got < 0.85 || got > 0.95 {
		t.Errorf("%.2f of the counts of 10 steps are from before the last of them, want 0.9", got)
	}
	for _, tc := range []struct {
		after time.Duration
		due   bool
	}{{50 * ms, false}, {100 * ms, true}} {
		if got := s.ReadDue(now.Add(tc.after)); got != tc.due {
			t.Errorf("read due %v after the first: %v, want %v", tc.after, got, tc.due)
		}
	}
	s.Observe(now.Add(100*ms), rebalance.StepObservation{Step: 32, Busy: true})
	s.CountsRead(now.Add(100 * ms))
	if s.ReadDue(now.Add(time.Second)) || s.Before() != 0 {
		t.Errorf("after the second read: read due %v, share from before %.2f; want no read, and 0", s.ReadDue(now.Add(time.Second)), s.Before())
	}
}

// TestResponseEnds: a map that is in use long after a step was long, or a second map, is no response
// to that step, and must not appear in the response times.
func TestResponseEnds(t *testing.T) {
	s, now := afterLongStep(t)
	if took, ok := s.MapInUse(now.Add(300 * ms)); !ok || took < 350*ms || took > 450*ms {
		t.Errorf("response after %v, %v; want 300 ms and the length of the step", took, ok)
	}
	if _, ok := s.MapInUse(now.Add(400 * ms)); ok {
		t.Error("a second map is a response to the same step")
	}
	s, now = afterLongStep(t)
	s.Observe(now.Add(3*time.Second), rebalance.StepObservation{Step: 60, Busy: true})
	if _, ok := s.MapInUse(now.Add(3 * time.Second)); ok || s.ReadDue(now.Add(3*time.Second)) {
		t.Errorf("a map 3 s after the step is a response: %v, a read is due: %v", ok, s.ReadDue(now.Add(3*time.Second)))
	}
}
