package ending_test

import (
	"testing"
	"time"

	"clovertrail.dev/ending"
)

// TestStreamDoubt guards against streams that were cut between two events and count as complete, and against complete ones
// that count as cut because their targets are slow.
func TestStreamDoubt(t *testing.T) {
	const ms = time.Millisecond
	complete := ending.Stream{Events: 26, Silence: 5 * ms, Waited: 5 * ms, LongestPause: 40 * ms, PauseObjective: 120 * ms, Left: 5 * time.Second}
	for _, tc := range []struct {
		name   string
		change func(*ending.Stream)
		want   ending.Doubt
	}{
		{"complete", func(*ending.Stream) {}, ending.None},
		{"ends one step after its last event", func(s *ending.Stream) { s.Silence, s.Waited = 40*ms, 40*ms }, ending.None},
		{"ends one step after its last event, slow steps", func(s *ending.Stream) { s.Silence, s.Waited, s.LongestPause = 400*ms, 400*ms, 300*ms }, ending.None},
		{"complete before its group stopped", func(s *ending.Stream) { s.GroupInterrupted = true }, ending.None},
		{"one event, no objective", func(s *ending.Stream) { s.Events, s.LongestPause, s.PauseObjective = 1, 0, 0 }, ending.None},
		{"caller reads slowly, group steps", func(s *ending.Stream) { s.Silence = 2 * time.Second }, ending.None},
		{"no event", func(s *ending.Stream) { s.Events = 0 }, ending.NoEvent},
		{"cut after its group stood still", func(s *ending.Stream) { s.Silence, s.Waited = 1500*ms, 1500*ms }, ending.Silence},
		{"cut after its group stood still, slow steps", func(s *ending.Stream) { s.Silence, s.Waited, s.LongestPause = 1500*ms, 1500*ms, 300*ms }, ending.Silence},
		{"cut after one event, no objective", func(s *ending.Stream) {
			s.Events, s.LongestPause, s.PauseObjective, s.Silence, s.Waited = 1, 0, 0, 1500*ms, 1500*ms
		}, ending.Silence},
		{"cut while the caller did not read", func(s *ending.Stream) { s.Silence, s.GroupInterrupted = 2*time.Second, true }, ending.GroupStopped},
		{"ends at its deadline", func(s *ending.Stream) { s.Left = 2 * ms }, ending.Deadline},
		{"ends after its deadline", func(s *ending.Stream) { s.Left = -ms }, ending.Deadline},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := complete
			tc.change(&s)
			if got := s.Doubt(); got != tc.want {
				t.Errorf("doubt %q, want %q", got, tc.want)
			}
		})
	}
}

// TestPlainDoubt guards against a part of a body that counts as whole because its target stopped at its deadline.
func TestPlainDoubt(t *testing.T) {
	for left, want := range map[time.Duration]ending.Doubt{
		time.Second: ending.None, time.Millisecond: ending.Deadline, -time.Millisecond: ending.Deadline,
	} {
		if got := (ending.Plain{Left: left}).Doubt(); got != want {
			t.Errorf("%v left: doubt %q, want %q", left, got, want)
		}
	}
}
