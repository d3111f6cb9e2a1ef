package membership_test

import (
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/membership"
)

// TestWhoTurnsAttemptsAwayIsSuspectForLonger: each further attempt in a row that a target turns
// away doubles the time, what was under way meanwhile does not, and one that it serves ends that.
func TestWhoTurnsAttemptsAwayIsSuspectForLonger(t *testing.T) {
	const first, most = 250 * time.Millisecond, 4 * time.Second
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
	for i, want := range []time.Duration{first, 2 * first, 4 * first, 8 * first, most, most} {
		r.Rejected(now, "t-3")
		r.Rejected(now.Add(time.Millisecond), "t-3")
		if got := suspectFor(now); got != want {
			t.Errorf("time %d: %v, want %v", i, got, want)
		}
		now = now.Add(want)
	}
	r.Succeeded(now, "t-3")
	r.Rejected(now, "t-3")
	if got := suspectFor(now); got != first {
		t.Errorf("after it served: %v, want %v", got, first)
	}
}

// TestWhereAllTurnAwayHalfStayInUse: nobody knows better than they which has room, so callers are
// not refused for as long as all would be suspect.
func TestWhereAllTurnAwayHalfStayInUse(t *testing.T) {
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
		t.Errorf("%d of %d are in use", good, targets)
	}
}
