package shutdown_test

import (
	"testing"
	"time"

	"clovertrail.dev/shutdown"
)

// TestAcceptsOnlyWhatEndsInTime guards against requests that a stopping box accepts, by what others took, and cuts off.
func TestAcceptsOnlyWhatEndsInTime(t *testing.T) {
	start := time.Unix(0, 0)
	p := shutdown.NewPlan(shutdown.SignalAt(start), 7500*time.Millisecond)
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
		p := shutdown.NewPlan(shutdown.SignalAt(start), tc.length)
		if got := p.NoticedAt().Sub(start); got != tc.want {
			t.Errorf("stop of %v: connections are accepted for %v, want %v", tc.length, got, tc.want)
		}
		if got := p.End().Sub(start); got != tc.length {
			t.Errorf("stop of %v ends after %v", tc.length, got)
		}
	}
}

// TestLateSignalShortensPromises guards against requests that a box accepts by the time at which it received its stop signal, and that
// are cut as the platform kills it, since the signal had been pending while the process was not scheduled.
func TestLateSignalShortensPromises(t *testing.T) {
	sent := time.Unix(0, 0)
	const interval, length, late = 250 * time.Millisecond, 7500 * time.Millisecond, 1800 * time.Millisecond
	received := sent.Add(late)
	m := shutdown.NewSignalMonitor(sent.Add(-interval), interval)
	m.NonePending(sent)
	p := shutdown.NewPlan(m.Receive(received), length)
	for _, tc := range []struct {
		name    string
		at      time.Duration // since the signal was sent
		left    time.Duration // until the deadline of the request
		longest time.Duration
		want    bool
	}{
		{"deadline before the end counted from the signal", late, length - late, length, true},
		{"deadline after it", 3 * time.Second, length - 3*time.Second + time.Millisecond, 0, false},
		{"before the platform has noticed, recent responses fit", 2900 * time.Millisecond, 8 * time.Second, 4600 * time.Millisecond, true},
		{"before the platform has noticed, recent responses were too long", 2900 * time.Millisecond, 8 * time.Second, 4700 * time.Millisecond, false},
		{"the platform may have noticed", 3 * time.Second, 8 * time.Second, 0, false},
	} {
		now := sent.Add(tc.at)
		if got := p.Accepts(now, shutdown.Request{Deadline: now.Add(tc.left), Longest: tc.longest}); got != tc.want {
			t.Errorf("%s: accepted %v, want %v", tc.name, got, tc.want)
		}
	}
	if got := p.NoticedAt(); !got.Equal(received.Add(3 * time.Second)) {
		t.Errorf("connections are accepted until %v after the signal was sent, want 3s after it was received", got.Sub(sent))
	}
	if got := p.End(); !got.Equal(received.Add(length)) {
		t.Errorf("responses go on until %v after the signal was sent, want %v after it was received", got.Sub(sent), length)
	}
}

// TestLateCheckProvesNothing guards against a stop that counts from the end of a pause, as the check that was due in it comes before the
// signal that was sent in it.
func TestLateCheckProvesNothing(t *testing.T) {
	const interval = 250 * time.Millisecond
	start := time.Unix(0, 0)
	for _, tc := range []struct {
		name   string
		checks []time.Duration // since the start, the last one is the receipt
		want   time.Duration
	}{
		{"received between checks", []time.Duration{interval, 2 * interval, 2*interval + 100*time.Millisecond}, 2 * interval},
		{"checks a little late", []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 900 * time.Millisecond}, 800 * time.Millisecond},
		{"check after a pause", []time.Duration{interval, 1500 * time.Millisecond, 1501 * time.Millisecond}, interval},
		{"received in the next pause", []time.Duration{interval, 1500 * time.Millisecond, 1750 * time.Millisecond, 4 * time.Second}, 1750 * time.Millisecond},
		{"two pauses", []time.Duration{interval, 1500 * time.Millisecond, 3 * time.Second, 3001 * time.Millisecond}, interval},
	} {
		m := shutdown.NewSignalMonitor(start, interval)
		last := len(tc.checks) - 1
		for _, at := range tc.checks[:last] {
			m.NonePending(start.Add(at))
		}
		if got := m.Receive(start.Add(tc.checks[last])).SentAfter.Sub(start); got != tc.want {
			t.Errorf("%s: sent after %v, want %v", tc.name, got, tc.want)
		}
	}
}
