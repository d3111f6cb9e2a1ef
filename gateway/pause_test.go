package gateway_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/clock"
)

// TestResponsesThatEndDuringPauseAreNotComplete guards against parts of responses that count as whole: the box was paused while the target sent
// them, crashed and started again, or fell silent and cut them. The target runs, so that a check of its process shows nothing.
func TestResponsesThatEndDuringPauseAreNotComplete(t *testing.T) {
	event := "id: 1\ndata: x\n\n"
	for _, tc := range []struct {
		name, path, head, body string
		paused                 bool
		status                 int
		broken                 bool
	}{
		{"plain, no pause", "/once/", unframed, "hello", false, 200, false},
		{"plain", "/once/", unframed, "hel", true, 502, false},
		{"stream, no pause", "/stream-once/", unframedStream, event, false, 200, false},
		{"stream", "/stream-once/", unframedStream, event, true, 200, true},
		{"with a length", "/once/", ok, "", true, 200, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, partsTarget(t, tc.head, part{text: tc.body}))
			if tc.paused {
				at := clock.Now().Add(time.Hour) // after the request is sent
				r.pausedAt.Store(&at)
			}
			if got := r.request("POST", tc.path, "body"); got.status != tc.status || got.broken != tc.broken {
				t.Errorf("status %d, body %q, broken %v, want %d, broken %v", got.status, got.body, got.broken, tc.status, tc.broken)
			}
		})
	}
}
