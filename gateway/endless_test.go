package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Responses without end.
const (
	endlessHead    = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\n" + endless + "Data: x\n"
	endlessLine    = "HTTP/1.1 200 OK\nData: " + endless + "x"
	endlessInterim = endless + "HTTP/1.1 100 Continue\n\n"
	endlessOther   = "HTTP/1.1 200 OK\nId: 0\nContent-Length: 1099511627776\n\n" + endless + "x"
	endlessBody    = "HTTP/1.1 200 OK\nId: 1\n\n" + endless + "x"
	endlessBusy    = "HTTP/1.1 503 Busy\nNot-Run: 1\n\n" + endless + "x"
	endlessFailure = "HTTP/1.1 500 Oops\nSigned: 1\nId: 1\n\n" + endless + "x"
	endlessEvent   = unframedStream + "id: 1" + lineFeed + "data: " + endless + "x"
	endlessAnswer  = unframed + endless + "x"
)

func TestResponsesWithoutEnd(t *testing.T) {
	event := rawChunk(marked("id: 1\ndata: a\n\n"))
	tests := []struct {
		name, path string
		response   string // of the first target
		second     string
		status     int
		body       string // of a complete response of the second target
		verdicts   []string
		checks     int // health checks that the first target gets
	}{
		{"head, repeated", "/repeat/", endlessHead, ok, 200, "hello", []string{"a bad", "b good"}, 0},
		{"head, not repeatable", "/once/", endlessHead, ok, 502, "", []string{"a bad"}, 0},
		{"head of a stream", "/stream/", endlessHead, streamHead + event + lastChunk, 200, "id: 1\ndata: a\n\n", []string{"a bad", "b good"}, 0},
		{"head without a line break", "/repeat/", endlessLine, ok, 200, "hello", []string{"a bad", "b good"}, 0},
		{"interim responses", "/repeat/", endlessInterim, ok, 200, "hello", []string{"a bad", "b good"}, 0},
		{"response to another request", "/repeat/", endlessOther, ok, 200, "hello", []string{"a bad", "b good"}, 0},
		{"unsigned body", "/repeat/", endlessBody, ok, 200, "hello", []string{"a bad", "b good"}, 1},
		{"unsigned body, not repeatable", "/once/", endlessBody, ok, 502, "", []string{"a bad"}, 1},
		{"body of a target that did not run the request", "/once/", endlessBusy, ok, 200, "hello", []string{"a full", "b good"}, 0},
		{"body of a failure", "/repeat/", endlessFailure, ok, 200, "hello", []string{"a bad", "b good"}, 0},
		{"event", "/stream/", endlessEvent, streamHead + event + lastChunk, 200, "id: 1\ndata: a\n\n", []string{"a bad", "b good"}, 0},
		{"event, not resumable", "/stream-once/", endlessEvent, ok, 502, "", []string{"a bad"}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.response), newTarget(t, "b", tc.second)
			r := newFixture(t, a, b)
			got := r.request("POST", tc.path, "body")
			r.server.Close()
			if signed := got.header.Get("Signed") != ""; got.broken || got.status != tc.status || signed != (tc.body != "") || signed && got.body != tc.body {
				t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
			}
			if tc.status == 502 && got.header.Get("Retry-After") != "" {
				t.Error("reported as not run, although it may have run")
			}
			if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
				t.Errorf("verdicts %v, want %v", r.fleet.verdicts, tc.verdicts)
			}
			if n := a.endlessBytes(t, 1)[0]; n >= maxEndlessBytes {
				t.Errorf("%d bytes were read before the connection was closed", n)
			}
			if n := a.healthChecks(); n != tc.checks {
				t.Errorf("%d health checks, want %d", n, tc.checks)
			}
		})
	}
}

// TestAnswersWithoutEndEndAtDeadline checks that a body without end of a target that signed it is sent on as it arrives, is
// closed on both sides at the request's deadline, and is not complete.
func TestAnswersWithoutEndEndAtDeadline(t *testing.T) {
	tests := []struct{ name, path, response, begin string }{
		{"plain body", "/repeat/", endlessAnswer, "xx"},
		{"events", "/stream-once/", unframedStream + endless + "id: 1" + lineFeed + "data: a" + lineFeed + lineFeed, "id: 1\ndata: a\n\n"},
		{"comments", "/stream-once/", unframedStream + endless + ": a" + lineFeed + lineFeed, ": a\n\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := newTarget(t, "a", tc.response)
			got := newFixture(t, a).request("POST", tc.path, "body", "Left: 2s")
			if got.status != 200 || !got.broken || !strings.HasPrefix(got.body, tc.begin) {
				t.Errorf("status %d, broken %v, body %.40q", got.status, got.broken, got.body)
			}
			a.endlessBytes(t, 1)
		})
	}
}

// TestOtherCallersAreServedBesideResponsesWithoutEnd sends requests of many callers at once, each of which gets a response
// without end first.
func TestOtherCallersAreServedBesideResponsesWithoutEnd(t *testing.T) {
	const callers, each = 40, 3
	kinds := []string{endlessHead, endlessLine, endlessInterim, endlessOther, endlessBody}
	var broken, sound []string
	for n := range callers * each {
		broken, sound = append(broken, kinds[n%len(kinds)]), append(sound, ok)
	}
	a, b := newTarget(t, "a", broken...), newTarget(t, "b", sound...)
	r := newFixture(t, a, b)
	var wg sync.WaitGroup
	failures := make(chan string, callers*each)
	for range callers {
		wg.Go(func() {
			for range each {
				if got := r.request("POST", "/repeat/", "body"); got.status != 200 || got.broken || got.body != "hello" {
					failures <- fmt.Sprintf("status %d, broken %v, body %q", got.status, got.broken, got.body)
				}
			}
		})
	}
	wg.Wait()
	close(failures)
	for text := range failures {
		t.Error(text)
	}
	for _, n := range a.endlessBytes(t, callers*each) {
		if n >= maxEndlessBytes {
			t.Errorf("%d bytes were read before a connection was closed", n)
		}
	}
}
