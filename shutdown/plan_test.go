package shutdown_test

import (
	"testing"
	"time"

	"clovertrail.dev/shutdown"
)

// TestAcceptsOnlyWhatEndsInTime guards against requests that a stopping box accepts, by what others took, and cuts off.
func TestAcceptsOnlyWhatEndsInTime(t *testing.T) {
	start := time.Unix(0, 0)
	p := shutdown.NewPlan(start, start.Add(7500*time.Millisecond))
	for _, tc := range []struct {
		name    string
		at      time.Duration // since the start of the stop
		left    time.Duration // until the deadline of the request
		longest time.Duration
		want    bool
	}{
		{"recent responses were short", time.Second, 8 * time.Second, 2 * time.Second, true},
		{"no recent response", time.Second, 8 * time.Second, 0, true},
		{"recent responses were longer than the time left", time.Second, 8 * time.Second, 7 * time.Second, false},
		{"deadline within the time left, recent responses were longer", time.Second, 6 * time.Second, 7 * time.Second, true},
		{"noticed, recent responses were short", 4500 * time.Millisecond, 8 * time.Second, time.Second, false},
		{"noticed, no recent response", 3 * time.Second, 8 * time.Second, 0, false},
		{"noticed, deadline within the time left", 4500 * time.Millisecond, 3 * time.Second, time.Second, true},
		{"noticed, deadline just after the end", 4500 * time.Millisecond, 3*time.Second + time.Millisecond, time.Second, false},
		{"after the end", 8 * time.Second, time.Second, 0, false},
	} {
		now := start.Add(tc.at)
		if got := p.Accepts(now, shutdown.Request{Deadline: now.Add(tc.left), Longest: tc.longest}); got != tc.want {
			t.Errorf("%s: accepted %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestShortStopIsNoticedInTime guards against a stop that accepts connections until its end, and has no time for their requests.
func TestShortStopIsNoticedInTime(t *testing.T) {
	start := time.Unix(0, 0)
	for _, tc := range []struct{ length, want time.Duration }{{7500 * time.Millisecond, 3 * time.Second}, {2 * time.Second, time.Second}, {0, 0}} {
		p := shutdown.NewPlan(start, start.Add(tc.length))
		if got := p.NoticedAt().Sub(start); got != tc.want {
			t.Errorf("stop of %v: connections are accepted for %v, want %v", tc.length, got, tc.want)
		}
		if got := p.End().Sub(start); got != tc.length {
			t.Errorf("stop of %v ends after %v", tc.length, got)
		}
	}
}
