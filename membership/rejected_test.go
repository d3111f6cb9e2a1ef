package membership_test

import (
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/membership"
)

// TestRejectionsInARowDoubleTheSuspectTime: each further rejection in a row doubles the time for
// which a target is suspect. Rejections of attempts that were already under way do not double the
// time, and a served attempt resets it.
func TestRejectionsInARowDoubleTheSuspectTime(t *testing.T) {
	const first, longest = 250 * time.Millisecond, 4 * time.Second
	r := newRoster()
	for i := range 4 {
		r.ApplyUpdate(start, ready(fmt.Sprintf("t-%d", i), 1))
	}
	suspectFor := func(now time.Time) time.Duration {
		d := time.Duration(0)
		for standings(r, now.Add(d))["t-3"] == membership.Suspect {
			d += time.Millisecond
		}
		return d
	}
	now := start
	for i, want := range []time.Duration{first, 2 * first, 4 * first, 8 * first, longest, longest} {
		r.Rejected(now, "t-3")
		r.Rejected(now.Add(time.Millisecond), "t-3")
		if got := suspectFor(now); got != want {
			t.Errorf("rejection %d: suspect for %v, want %v", i, got, want)
		}
		now = now.Add(want)
	}
	r.Succeeded(now, "t-3")
	r.Rejected(now, "t-3")
	if got := suspectFor(now); got != first {
		t.Errorf("after a served attempt: suspect for %v, want %v", got, first)
	}
}

// TestHalfOfTargetsStayInUseWhenAllReject: only the targets themselves can tell which of them has
// capacity, so callers must not be refused for as long as all targets would be suspect.
func TestHalfOfTargetsStayInUseWhenAllReject(t *testing.T) {
	const targets = 6
	r := newRoster()
	for i := range targets {
		r.ApplyUpdate(start, ready(fmt.Sprintf("t-%d", i), 1))
		r.Rejected(start, ready(fmt.Sprintf("t-%d", i), 1).ID)
	}
	good := 0
	for _, s := range standings(r, start) {
		if s == membership.Good {
			good++
		}
	}
	if good != targets/2 {
		t.Errorf("%d of %d targets are in use, want half", good, targets)
	}
}
