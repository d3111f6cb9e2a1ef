package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestStreamIsNotContinuedWithoutPosition guards against a stream that begins again in the middle of a response: after an event
// without an ID no target can determine where to go on.
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

// notFoundHead is the head of a response that a target signed although it could not continue the stream.
const notFoundHead = "HTTP/1.1 404 Not Found\nSigned: two\nId: 1\nContent-Length: 7\n\nunknown"

// TestResumedStreamsHoldOnlyEventsOfTheStream guards against streams that end as complete although what followed the first part
// was not its continuation.
func TestResumedStreamsHoldOnlyEventsOfTheStream(t *testing.T) {
	one, three := "id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n"
	bare, bareTwo := "data: a\n\n", "data: b\n\n"
	raw := marked
	for _, tc := range []struct {
		name, path, first, second string
		headers                   []string
		body                      string
	}{
		{"next target answers 404", "/stream/", streamHead + rawChunk(raw(one)), notFoundHead, nil, one},
		{"next target answers 204", "/stream/", streamHead + rawChunk(raw(one)), "HTTP/1.1 204 No Content\nSigned: two\nId: 1\nContent-Length: 0\n\n", nil, one},
		{"events without ids", "/stream/", streamHead + rawChunk(raw(bare)), secondHead + rawChunk(raw(bare+bareTwo)) + lastChunk, nil, bare},
		{"events without ids, caller resumes", "/stream/", streamHead + rawChunk(raw(bare)), secondHead + rawChunk(raw(bare+bareTwo)) + lastChunk, []string{"After: 5"}, bare},
		{"last event without id", "/stream/", streamHead + rawChunk(raw(one+bareTwo)), secondHead + rawChunk(raw(bareTwo+three)) + lastChunk, nil, one + bareTwo},
		{"empty id, caller resumes", "/stream/", streamHead + rawChunk(raw("id: 6\ndata: a\n\nid:\ndata: b\n\n")), secondHead + rawChunk(raw("id: 6\ndata: a\n\n")) + lastChunk, []string{"After: 5"}, "id: 6\ndata: a\n\nid:\ndata: b\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.first), newTarget(t, "b", tc.second)
			r := newFixture(t, a, b)
			got := r.request("POST", tc.path, "p", tc.headers...)
			if got.status != 200 || got.body != tc.body || !got.broken {
				t.Errorf("status %d, broken %v, body %q, want %q and a broken response", got.status, got.broken, got.body, tc.body)
			}
			for _, q := range b.requests() {
				t.Logf("the second target was asked to resume after %q", q.Header.Values("After"))
			}
		})
	}
}

// TestCompleteStreamIsConfirmedByEmptyContinuation guards against complete streams that are broken off: all events were sent, the
// end is in doubt, and the next target confirms that nothing follows.
func TestCompleteStreamIsConfirmedByEmptyContinuation(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	const silence = 400 * time.Millisecond
	for _, tc := range []struct {
		name, path, first, second string
		straggler                 bool
	}{
		{"late end, chunks", "/stream/", unframedStream + marked(one+two) + wait, secondHead + lastChunk, false},
		{"late end, ends with its connection", "/stream/", unframedStream + marked(one+two) + wait, strings.Replace(unframedStream, "one", "two", 1), false},
		{"moved, chunks", "/paced/", streamHead + rawChunk(marked(one)) + wait + rawChunk(marked(two)) + hang, secondHead + lastChunk, true},
		{"moved, ends with its connection", "/paced/", streamHead + rawChunk(marked(one)) + wait + rawChunk(marked(two)) + hang, strings.Replace(unframedStream, "one", "two", 1), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.first), newTarget(t, "b", tc.second)
			r := newFixture(t, a, b)
			proceed := make(chan struct{})
			a.proceed, a.straggler = proceed, tc.straggler
			time.AfterFunc(silence, func() { close(proceed) })
			got := r.request("POST", tc.path, "p")
			if got.status != 200 || got.body != one+two || got.broken {
				t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
			}
		})
	}
}

// TestCompleteStreamIsNotMoved guards against a stream whose end the box has read already, but that is run on at another target.
func TestCompleteStreamIsNotMoved(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	a := newTarget(t, "a", fmt.Sprintf(lengthHead, len(one+two))+marked(one)+wait+marked(two))
	b := newTarget(t, "b", failed)
	r := newFixture(t, a, b)
	a.proceed, a.straggler = r.fleet.began, true
	got := r.request("POST", "/paced/", "p")
	if got.status != 200 || got.body != one+two || got.broken {
		t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("%d requests reached the second target", n)
	}
}

// TestContinuationWithoutEventsAfterMove guards against a stream that was moved in its middle and counts as complete without the rest.
func TestContinuationWithoutEventsAfterMove(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	a := newTarget(t, "a", fmt.Sprintf(lengthHead, 3*len(one))+marked(one)+wait+marked(two)+hang) // an event is missing by the length
	b := newTarget(t, "b", secondHead+lastChunk)
	r := newFixture(t, a, b)
	a.proceed, a.straggler = r.fleet.began, true
	if got := r.request("POST", "/paced/", "p"); !got.broken {
		t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
	}
}

// lateBudget allows retries from the second time on that it is asked.
type lateBudget struct{ asked int }

func (*lateBudget) AddRequest(time.Time) {}

func (b *lateBudget) SpendRetry(time.Time) bool {
	b.asked++
	return b.asked > 1
}

// TestBrokenFailureIsNotContinuedByEvents guards against a failure response that broke off in the middle and is followed by the
// events of another target.
func TestBrokenFailureIsNotContinuedByEvents(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 500 Oops\nSigned: one\nId: 1\nTransfer-Encoding: chunked\n\n" + rawChunk(longBody), strings.Replace(unframed, "200 OK", "201 Created", 1) + longBody + crash} {
		a, b := newTarget(t, "a", head), newTarget(t, "b", secondHead+rawChunk(marked("id: 1\ndata: a\n\n"))+lastChunk)
		r := newBudgetedFixture(t, &lateBudget{}, 0, a, b)
		got := r.request("POST", "/stream/", "p")
		if strings.Contains(got.body, "id: 1") || !got.broken && got.body != "" {
			t.Errorf("status %d, broken %v, %d bytes, the last ones %q", got.status, got.broken, len(got.body), got.body[max(0, len(got.body)-40):])
		}
	}
}
