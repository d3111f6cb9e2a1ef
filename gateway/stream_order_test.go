package gateway_test

import (
	"slices"
	"testing"
)

const (
	eventOne   = "id: 1\ndata: a\n\n"
	eventTwo   = "id: 2\ndata: b\n\n"
	eventThree = "id: 3\ndata: c\n\n"
)

// eventChunk formats events as one chunk of a scripted response.
func eventChunk(events string) string { return rawChunk(marked(events)) }

// TestStreamContinuesAfterEventOfCaller guards against a target that begins again although the caller has asked for what follows
// the events that it got from an earlier request.
func TestStreamContinuesAfterEventOfCaller(t *testing.T) {
	again := streamHead + eventChunk(eventOne+eventTwo+eventThree) + lastChunk
	for _, tc := range []struct {
		name     string
		path     string
		second   string
		status   int
		body     string // of a response with status 200
		verdicts []string
	}{
		{"continued by the next target", "/stream/", secondHead + eventChunk(eventThree) + lastChunk, 200, eventThree, []string{"a bad", "b good"}},
		{"continued by no target", "/stream/", again, 502, "", []string{"a bad", "b bad"}},
		{"not resumable, so that the event has no meaning", "/stream-once/", "", 200, eventOne + eventTwo + eventThree, []string{"a good"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", again), newTarget(t, "b", tc.second)
			r := newFixture(t, a, b)
			got := r.request("POST", tc.path, "p", "After: 2")
			if got.status != tc.status || got.broken || got.status == 200 && got.body != tc.body {
				t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
			}
			for _, x := range []*target{a, b} {
				if n := len(x.requests()); n > 0 && x.requests()[0].Header.Get("After") != "2" {
					t.Errorf("%s: continued after %q", x.name, x.requests()[0].Header.Get("After"))
				}
			}
			r.server.Close() // waits for the handler
			if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
				t.Errorf("verdicts %v, want %v", r.fleet.verdicts, tc.verdicts)
			}
		})
	}
}

// TestEventsBeforeOneOutOfOrderAreForwarded guards against events that are dropped since they arrive with one out of order, and
// against what follows that one.
func TestEventsBeforeOneOutOfOrderAreForwarded(t *testing.T) {
	first := streamHead + eventChunk(eventOne+eventTwo+eventOne+eventThree) + lastChunk
	for _, tc := range []struct {
		name     string
		path     string
		body     string
		broken   bool
		verdicts []string
	}{
		{"resumed", "/stream/", eventOne + eventTwo + eventThree, false, []string{"a bad", "b good"}},
		{"not resumable", "/stream-once/", eventOne + eventTwo, true, []string{"a bad"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", first), newTarget(t, "b", secondHead+eventChunk(eventThree)+lastChunk))
			got := r.request("POST", tc.path, "p")
			if got.status != 200 || got.body != tc.body || got.broken != tc.broken {
				t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
			}
			r.server.Close() // waits for the handler
			if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
				t.Errorf("verdicts %v, want %v", r.fleet.verdicts, tc.verdicts)
			}
		})
	}
}

// TestCommentsAreNoEvents guards against comments, which targets send to keep connections alive, that pass for the events of a
// stream: without an event it is not known to be complete.
func TestCommentsAreNoEvents(t *testing.T) {
	const ping = ": ping\n\n"
	for _, tc := range []struct {
		name   string
		path   string
		first  string
		second string
		body   string
		broken bool
	}{
		{"resumed at a target that sends comments only", "/stream/", streamHead + eventChunk(eventOne), secondHead + eventChunk(ping) + lastChunk, eventOne + ping, true},
		{"resumed at a target that sends a comment first", "/stream/", streamHead + eventChunk(eventOne), secondHead + eventChunk(ping+eventTwo) + lastChunk, eventOne + ping + eventTwo, false},
		{"ends with its connection after a comment", "/stream-once/", unframedStream + marked(ping), "", ping, true},
		{"breaks off after a comment", "/stream/", streamHead + eventChunk(ping), secondHead + eventChunk(eventOne) + lastChunk, ping + eventOne, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", tc.first), newTarget(t, "b", tc.second))
			got := r.request("POST", tc.path, "p")
			if got.status != 200 || got.body != tc.body || got.broken != tc.broken {
				t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
			}
		})
	}
}
