package distribution_test

import (
	"testing"
	"time"

	"clovertrail.dev/distribution"
)

// TestLateness: one engine in ten leaves an order unanswered, and the coordinator must receive the
// responses of the other nine within a few round trips; but engines behind a narrow link are not late.
func TestLateness(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		sent  int
		after []time.Duration // of the responses
		known bool
		want  time.Duration
	}{
		{"no responses", 10, nil, false, 0},
		{"less than half", 10, []time.Duration{ms, ms, ms, ms}, false, 0},
		{"nine of ten, fast", 10, []time.Duration{2 * ms, 2 * ms, 3 * ms, 3 * ms, 4 * ms, 5 * ms, 5 * ms, 6 * ms, 6 * ms}, true, 24 * ms},
		{"half, over a narrow link", 10, []time.Duration{10 * ms, 20 * ms, 30 * ms, 40 * ms, 50 * ms}, true, 150 * ms},
		{"one of two", 2, []time.Duration{5 * ms}, true, 25 * ms},
	} {
		l := distribution.NewLateness(tc.sent)
		for _, after := range tc.after {
			l.Received(after)
		}
		if got, known := l.Limit(); known != tc.known || known && got != tc.want {
			t.Errorf("%s: limit %v, known: %v; want %v, %v", tc.name, got, known, tc.want, tc.known)
		}
	}
}
