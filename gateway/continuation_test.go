package gateway_test

import (
	"fmt"
	"testing"
	"time"
)

// TestStreamIsNotContinuedWithoutPosition guards against a stream that begins again in the middle of a response: after an event
// without an ID no target can tell where to go on.
func TestStreamIsNotContinuedWithoutPosition(t *testing.T) {
	const plain = "data: a\n\n"
	again := secondHead + eventChunk(plain+plain) + lastChunk
	for _, tc := range []struct {
		name    string
		first   string
		body    string
		headers []string
	}{
		{"no event has an ID", plain, plain, nil},
		{"the last event has no ID", eventOne + plain, eventOne + plain, nil},
		{"no event has an ID, continued for the caller", plain, plain, []string{"After: 7"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", streamHead+eventChunk(tc.first)), newTarget(t, "b", again)
			r := newFixture(t, a, b)
			got := r.request("POST", "/stream/", "p", tc.headers...)
			if got.status != 200 || got.body != tc.body || !got.broken || len(b.requests()) != 0 {
				t.Errorf("status %d, broken %v, body %q, %d requests to the second target", got.status, got.broken, got.body, len(b.requests()))
			}
		})
	}
}

// TestStreamWithoutPositionIsNotMoved guards the same when a stream is moved from a straggler.
func TestStreamWithoutPositionIsNotMoved(t *testing.T) {
	const plain = "data: a\n\n"
	a := newTarget(t, "a", streamHead+eventChunk(eventOne)+wait+eventChunk(plain)+lastChunk)
	b := newTarget(t, "b", secondHead+eventChunk(eventTwo)+lastChunk)
	r := newFixture(t, a, b)
	a.proceed, a.straggler = r.fleet.began, true
	if got := r.request("POST", "/paced/", "p"); got.body != eventOne+plain || got.broken || len(b.requests()) != 0 {
		t.Errorf("broken %v, body %q, %d requests to the second target", got.broken, got.body, len(b.requests()))
	}
}

// TestStreamIsContinuedByStreamOnly guards against other responses that end a stream as if they were its rest.
func TestStreamIsContinuedByStreamOnly(t *testing.T) {
	for name, second := range map[string]string{
		"not found":  "HTTP/1.1 404 Gone\nSigned: two\nId: 1\nContent-Length: 4\n\nnope",
		"no content": "HTTP/1.1 204 None\nSigned: two\nId: 1\nContent-Length: 0\n\n",
		"long":       "HTTP/1.1 400 Bad\nSigned: two\nId: 1\n\n" + longBody,
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", streamHead+eventChunk(eventOne)), newTarget(t, "b", second))
			got := r.request("POST", "/stream/", "p")
			if got.status != 200 || got.body != eventOne || !got.broken || got.header.Get("Signed") != "one" {
				t.Errorf("status %d, signed %q, broken %v, body %.80q", got.status, got.header.Get("Signed"), got.broken, got.body)
			}
		})
	}
}

// TestNoContentCompletesStreamThatMayBeComplete guards against breaking off a stream that was moved after its last event.
func TestNoContentCompletesStreamThatMayBeComplete(t *testing.T) {
	a := newTarget(t, "a", streamHead+eventChunk(eventOne)+wait+eventChunk(eventTwo)+hang)
	b := newTarget(t, "b", "HTTP/1.1 204 None\nSigned: two\nId: 1\nContent-Length: 0\n\n")
	r := newFixture(t, a, b)
	a.proceed, a.straggler = r.fleet.began, true
	if got := r.request("POST", "/paced/", "p"); got.body != eventOne+eventTwo || got.broken || len(b.requests()) != 1 {
		t.Errorf("broken %v, body %q, %d requests to the second target", got.broken, got.body, len(b.requests()))
	}
}

// TestLengthOfFirstRunDoesNotEndStream guards against a stream that ends as complete at the length that its first target stated,
// although the rest from another target is longer.
func TestLengthOfFirstRunDoesNotEndStream(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\nSigned: one\nId: 1\nContent-Length: %d\n\n", len(eventOne+eventTwo))
	a := newTarget(t, "a", head+marked(eventOne)+hangUp)
	b := newTarget(t, "b", secondHead+eventChunk(eventTwo)+wait+eventChunk(eventThree)+lastChunk)
	proceed := make(chan struct{})
	b.proceed = proceed
	r := newFixture(t, a, b)
	time.AfterFunc(50*time.Millisecond, func() { close(proceed) })
	if got := r.request("POST", "/stream/", "p"); got.body != eventOne+eventTwo+eventThree || got.broken {
		t.Errorf("broken %v, body %q", got.broken, got.body)
	}
}
