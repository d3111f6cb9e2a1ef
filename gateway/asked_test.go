package gateway_test

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// What targets ask of the box with their answers.
const (
	restBusy   = "HTTP/1.1 503 Busy\nNot-Run: 1\nRetry-After: 3\nContent-Length: 0\n\n"
	restFailed = "HTTP/1.1 503 Oops\nSigned: 1\nRetry-After: 3\nContent-Length: 4\n\noops"
	limited    = "HTTP/1.1 429 Limited\nNot-Run: 1\nRetry-After: 3\nContent-Length: 0\n\n"
	leavingOK  = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nLeaving: 1\nContent-Length: 5\n\nhello"
	leavingOut = "HTTP/1.1 503 Busy\nNot-Run: 1\nLeaving: 1\nContent-Length: 0\n\n"
	otherOne   = "HTTP/1.1 421 Misdirected\nLeaving: 1\nRetry-After: 3\nContent-Length: 0\n\n"
	notItsOwn  = "HTTP/1.1 200 OK\nId: 1\nLeaving: 1\nContent-Length: 5\n\nwrong"
)

// TestWhatTargetsAskIsHeard: with whatever answer they ask it, but not what somebody else says
// at their address.
func TestWhatTargetsAskIsHeard(t *testing.T) {
	for _, tc := range []struct {
		name  string
		path  string
		first string
		heard []string
	}{
		{"nothing", "/once/", busy, nil},
		{"rest", "/once/", restBusy, []string{"a rests 3s"}},
		{"rest, from one that has run it", "/repeat/", restFailed, []string{"a rests 3s"}},
		{"a caller has had its share", "/once/", limited, nil},
		{"leaving, and served", "/once/", leavingOK, []string{"a leaving"}},
		{"leaving, in the head of a stream", "/stream-once/", "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nLeaving: 1\nTransfer-Encoding: chunked\n\n0\n\n", []string{"a leaving"}},
		{"leaving, and turned away", "/once/", leavingOut, []string{"a leaving"}},
		{"another instance is leaving", "/once/", otherOne, nil},
		{"an answer that is not the target's", "/repeat/", notItsOwn, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, newTarget(t, "a", tc.first), newTarget(t, "b", ok))
			r.ask("POST", tc.path, "body")
			if !slices.Equal(r.fleet.heard, tc.heard) {
				t.Errorf("heard %q, want %q", r.fleet.heard, tc.heard)
			}
		})
	}
}

// TestATargetThatSpokeMeanwhileIsNotSentTheRequest: it was chosen before it asked for rest, or
// reported that it is leaving; nothing of the request reaches it, and another gets it.
func TestATargetThatSpokeMeanwhileIsNotSentTheRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/repeat/"} {
		a, b := newTarget(t, "a", ok), newTarget(t, "b", ok)
		r := newRig(t, a, b)
		r.fleet.unwanted = []string{"a"}
		got := r.ask("POST", path, "body")
		if got.status != 200 || len(a.requests()) != 0 || len(b.requests()) != 1 {
			t.Errorf("%s: status %d, %d requests at the first target, %d at the other", path, got.status, len(a.requests()), len(b.requests()))
		}
		if want := []string{"a neutral", "b good"}; !slices.Equal(r.fleet.verdicts, want) {
			t.Errorf("%s: verdicts %v", path, r.fleet.verdicts)
		}
	}
}

// TestCallersComeBackWhenATargetTakesRequests: not when those that turned them away do.
func TestCallersComeBackWhenATargetTakesRequests(t *testing.T) {
	for _, tc := range []struct {
		name     string
		answer   string
		takes    time.Duration // from now; negative for not known
		from, to time.Duration
	}{
		{"another takes some now", restBusy, 0, 0, 20 * time.Millisecond},
		{"the first takes some later", restBusy, time.Minute, 30 * time.Second, time.Minute},
		{"nothing is known", restBusy, -1, time.Second, 3 * time.Second},
		{"they asked for nothing", busy, 0, 0, 250 * time.Millisecond},
		{"the caller has had its share", limited, 0, time.Second, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, newTarget(t, "a", tc.answer), newTarget(t, "b", tc.answer))
			if tc.takes >= 0 {
				r.fleet.takesAt = time.Now().Add(tc.takes)
			}
			got := r.ask("POST", "/once/", "body")
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			rest := time.Duration(seconds * float64(time.Second))
			if got.status != 503 || err != nil || rest < tc.from || rest > tc.to {
				t.Errorf("status %d, to come back in %q", got.status, got.header.Get("Retry-After"))
			}
		})
	}
}
