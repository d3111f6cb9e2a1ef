package ending_test

import (
	"testing"
	"time"

	"clovertrail.dev/ending"
)

const (
	ms    = time.Millisecond
	stall = 1500 * ms // for which a group stands still before it cuts its streams
)

// arrival is a read of a stream: how long the caller was waited for before it, how long the target, and how many events came.
type arrival struct {
	blocked, waited time.Duration
	events          int
}

// TestStreamDoubt guards against streams that were cut between two events and count as complete, and against complete ones that
// count as cut.
func TestStreamDoubt(t *testing.T) {
	steps := []arrival{{0, 200 * ms, 1}, {0, 30 * ms, 1}, {0, 40 * ms, 2}}
	then := func(list ...arrival) []arrival { return append(append([]arrival(nil), steps...), list...) }
	for _, tc := range []struct {
		name        string
		arrivals    []arrival // the last one is the end of the connection
		interrupted bool      // whether the group was
		objective   time.Duration
		left        time.Duration // until the deadline; 0 for long
		want        ending.Doubt
	}{
		{"complete", then(arrival{0, 0, 0}), false, 120 * ms, 0, ending.None},
		{"ends one step after its last event", then(arrival{0, 40 * ms, 0}), false, 120 * ms, 0, ending.None},
		{"packet with the end lost once", then(arrival{0, 230 * ms, 0}), false, 0, 0, ending.None},
		{"ends one slow step after its last event", []arrival{{0, 400 * ms, 1}, {0, 320 * ms, 1}, {0, 330 * ms, 0}}, false, 120 * ms, 0, ending.None},
		{"complete before its group stopped", then(arrival{0, 5 * ms, 0}), true, 120 * ms, 0, ending.None},
		{"complete, caller read slowly", then(arrival{2 * stall, 0, 1}, arrival{0, 0, 0}), false, 120 * ms, 0, ending.None},
		{"complete, first event late", []arrival{{0, 2 * stall, 1}, {0, 0, 0}}, false, 120 * ms, 0, ending.None},
		{"complete long after a stall", then(arrival{0, stall, 1}, arrival{0, 200 * ms, 1}, arrival{0, 150 * ms, 1}, arrival{0, 0, 0}), false, 120 * ms, 0, ending.None},
		{"no event", []arrival{{0, 10 * ms, 0}}, false, 120 * ms, 0, ending.NoEvent},
		{"cut after a stall", then(arrival{0, stall, 0}), false, 120 * ms, 0, ending.Silence},
		{"cut after a stall, one event", []arrival{{0, 10 * ms, 1}, {0, stall, 0}}, false, 0, 0, ending.Silence},
		{"cut after a stall, long objective", then(arrival{0, stall, 0}), false, 2 * stall, 0, ending.Silence},
		{"cut after a stall, one long pause before", then(arrival{0, 800 * ms, 1}, arrival{0, 20 * ms, 1}, arrival{0, stall, 0}), false, 120 * ms, 0, ending.Silence},
		{"cut after a stall in several reads", then(arrival{0, stall / 3, 0}, arrival{0, stall / 3, 0}, arrival{0, stall / 3, 0}), false, 120 * ms, 0, ending.Silence},
		{"cut while the box was frozen", then(arrival{0, 2 * stall, 3}, arrival{0, 0, 0}), false, 120 * ms, 0, ending.Silence},
		{"cut while the box was frozen, several reads", then(arrival{0, 2 * stall, 3}, arrival{0, 0, 2}, arrival{0, 0, 0}), false, 120 * ms, 0, ending.Silence},
		{"cut while the caller did not read", then(arrival{stall, 0, 0}), true, 120 * ms, 0, ending.GroupStopped},
		{"cut before the first event was read", []arrival{{stall, 0, 1}, {0, 0, 0}}, true, 120 * ms, 0, ending.GroupStopped},
		{"ends at its deadline", then(arrival{0, 0, 0}), false, 120 * ms, 2 * ms, ending.Deadline},
		{"ends after its deadline", then(arrival{0, 0, 0}), false, 120 * ms, -ms, ending.Deadline},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := ending.NewArrivals(now)
			for _, x := range tc.arrivals {
				now = now.Add(x.blocked + x.waited)
				a.Waited(x.waited, time.Time{})
				if x.events > 0 {
					a.Arrived(now, x.events)
				}
			}
			s := a.Ended(now)
			s.PauseObjective, s.GroupInterrupted, s.Left = tc.objective, tc.interrupted, tc.left
			if tc.left == 0 {
				s.Left = time.Minute
			}
			if tc.interrupted && !s.Paused() && tc.want == ending.GroupStopped {
				t.Error("whether the group was interrupted is not asked")
			}
			if got := s.Doubt(); got != tc.want {
				t.Errorf("doubt %q, want %q; %+v", got, tc.want, s)
			}
		})
	}
}

// TestEmptyContinuationIsNotDoubted guards against a complete stream that is broken off although another target confirms that
// nothing follows.
func TestEmptyContinuationIsNotDoubted(t *testing.T) {
	for _, tc := range []struct {
		continues, interrupted bool
		waited                 time.Duration
		want                   ending.Doubt
	}{
		{true, false, 50 * ms, ending.None},
		{true, false, 2 * stall, ending.None},
		{true, true, 2 * stall, ending.GroupStopped},
		{false, false, 50 * ms, ending.NoEvent},
	} {
		start := time.Unix(1000, 0)
		a := ending.NewArrivals(start)
		a.Waited(tc.waited, time.Time{})
		s := a.Ended(start.Add(tc.waited))
		s.Continues, s.GroupInterrupted, s.Left = tc.continues, tc.interrupted, time.Minute
		if got := s.Doubt(); got != tc.want {
			t.Errorf("continues %v, group interrupted %v, after %v: doubt %q, want %q", tc.continues, tc.interrupted, tc.waited, got, tc.want)
		}
	}
}

// TestPlainDoubt guards against a part of a body that counts as whole because its target stopped at its deadline, or with its group.
func TestPlainDoubt(t *testing.T) {
	for _, tc := range []struct {
		waited, left time.Duration
		want         ending.Doubt
	}{
		{5 * ms, time.Second, ending.None}, {300 * ms, time.Second, ending.None}, {stall, time.Second, ending.Silence},
		{5 * ms, ms, ending.Deadline}, {5 * ms, -ms, ending.Deadline},
	} {
		if got := (ending.Plain{Waited: tc.waited, Left: tc.left}).Doubt(); got != tc.want {
			t.Errorf("waited %v, %v left: doubt %q, want %q", tc.waited, tc.left, got, tc.want)
		}
	}
}
