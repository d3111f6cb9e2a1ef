package gateway_test

import "testing"

// TestStreamIsResumedOnlyAfterEventWithID guards against events that a caller gets twice: where the last event has no id, a target
// that resumes the stream after an earlier one, or from its beginning, sends it again.
func TestStreamIsResumedOnlyAfterEventWithID(t *testing.T) {
	one, two, plain := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "data: c\n\n"
	for _, tc := range []struct {
		name   string
		first  string // events before the stream breaks off
		second string // events of the second target, if it is asked
		body   string
		broken bool
	}{
		{"no ids", plain, plain + plain, plain, true},
		{"no id in the last event", one + plain, plain + two, one + plain, true},
		{"an id in the last event", plain + one, two, plain + one + two, false},
		{"a comment after the last event", one + ": ping\n\n", two, one + ": ping\n\n" + two, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newTarget(t, "a", streamHead+rawChunk(marked(tc.first)))
			b := newTarget(t, "b", secondHead+rawChunk(marked(tc.second))+lastChunk)
			got := newFixture(t, a, b).request("POST", "/stream/", "p")
			if got.body != tc.body || got.broken != tc.broken {
				t.Errorf("broken %v, body %q; want %v, %q", got.broken, got.body, tc.broken, tc.body)
			}
		})
	}
}
