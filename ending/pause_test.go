package ending_test

import (
	"testing"
	"time"

	"clovertrail.dev/ending"
)

// TestPauseOfBoxCastsDoubt guards against streams that were cut while the box was paused and count as complete, since it reads their last
// events and the end at once.
func TestPauseOfBoxCastsDoubt(t *testing.T) {
	const pause = 2200 * ms
	type read struct {
		waited, blocked time.Duration // for the target, and for the caller before that
		events          int
		paused          bool // the box was paused during the read
	}
	for _, tc := range []struct {
		name  string
		reads []read // the last one is the end of the connection
		want  ending.Doubt
	}{
		{"no pause", []read{{200 * ms, 0, 1, false}, {40 * ms, 0, 4, false}, {0, 0, 0, false}}, ending.None},
		{"paused before the first event", []read{{pause, 0, 5, true}, {0, 0, 0, false}}, ending.BoxPaused},
		{"paused before the first event, several reads", []read{{pause, 0, 2, true}, {ms, 0, 3, false}, {ms, 0, 0, false}}, ending.BoxPaused},
		{"paused for short", []read{{200 * ms, 0, 1, false}, {500 * ms, 0, 3, true}, {0, 0, 0, false}}, ending.BoxPaused},
		{"paused, then the caller reads slowly", []read{{pause, 0, 2, true}, {0, time.Second, 3, false}, {0, time.Second, 0, false}}, ending.BoxPaused},
		{"paused as the connection ended", []read{{200 * ms, 0, 1, false}, {40 * ms, 0, 4, true}, {0, 0, 0, true}}, ending.BoxPaused},
		{"goes on after a pause", []read{{pause, 0, 5, true}, {120 * ms, 0, 1, false}, {120 * ms, 0, 1, false}, {120 * ms, 0, 1, false}, {0, 0, 0, false}}, ending.None},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			lastPause := now.Add(-time.Second) // before the request
			a := ending.NewArrivals(now)
			for _, x := range tc.reads {
				now = now.Add(x.blocked + x.waited)
				if x.paused {
					lastPause = now
				}
				a.Waited(x.waited, lastPause)
				if x.events > 0 {
					a.Arrived(now, x.events)
				}
			}
			s := a.Ended(now)
			s.PauseObjective, s.Left = 120*ms, time.Minute
			if got := s.Doubt(); got != tc.want {
				t.Errorf("doubt %q, want %q; %+v", got, tc.want, s)
			}
		})
	}
	if got := (ending.Plain{Left: time.Second, BoxPaused: true}).Doubt(); got != ending.BoxPaused {
		t.Errorf("doubt %q about a plain response that ended while the box was paused", got)
	}
}
