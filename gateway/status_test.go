package gateway_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"clovertrail.dev/core/clock"
)

// Responses in which targets report a status, and some that do not come from the target itself.
const (
	declinedRest    = "HTTP/1.1 503 Busy\nNot-Run: 1\nRetry-After: 3\nContent-Length: 0\n\n"
	failedRest      = "HTTP/1.1 503 Oops\nSigned: 1\nRetry-After: 3\nContent-Length: 4\n\noops"
	declinedStopped = "HTTP/1.1 503 Busy\nNot-Run: 1\nAt-Fault: c\nContent-Length: 0\n\n"
	declinedLimited = "HTTP/1.1 429 Limited\nNot-Run: 1\nRetry-After: 3\nContent-Length: 0\n\n"
	servedLeaving   = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nLeaving: 1\nContent-Length: 5\n\nhello"
	declinedLeaving = "HTTP/1.1 503 Busy\nNot-Run: 1\nLeaving: 1\nContent-Length: 0\n\n"
	otherInstance   = "HTTP/1.1 421 Misdirected\nLeaving: 1\nRetry-After: 3\nContent-Length: 0\n\n"
	unsignedLeaving = "HTTP/1.1 200 OK\nId: 1\nLeaving: 1\nContent-Length: 5\n\nwrong"
)

// TestStatusInResponsesIsRecorded guards against statuses that are lost, whatever the kind of the
// response, and against those taken from responses of another process at the target's address.
func TestStatusInResponsesIsRecorded(t *testing.T) {
	for _, tc := range []struct {
		name          string
		path          string
		first         string
		statusReports []string
	}{
		{"nothing", "/once/", busy, nil},
		{"rest", "/once/", declinedRest, []string{"a rests 3s"}},
		{"rest, with a failure response", "/repeat/", failedRest, []string{"a rests 3s"}},
		{"limit of one caller", "/once/", declinedLimited, nil},
		{"leaving, served", "/once/", servedLeaving, []string{"a leaving"}},
		{"leaving, in the head of a stream", "/stream-once/", "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nLeaving: 1\nTransfer-Encoding: chunked\n\n0\n\n", []string{"a leaving"}},
		{"leaving, declined", "/once/", declinedLeaving, []string{"a leaving"}},
		{"leaving, from another instance", "/once/", otherInstance, nil},
		{"leaving, in an unsigned response", "/repeat/", unsignedLeaving, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", tc.first), newTarget(t, "b", ok))
			r.request("POST", tc.path, "body")
			if !slices.Equal(r.fleet.statusReports, tc.statusReports) {
				t.Errorf("recorded status reports %q, want %q", r.fleet.statusReports, tc.statusReports)
			}
		})
	}
}

// TestTargetThatBecameUnavailableIsNotSentTheRequest guards against sending a request to a target
// that was chosen before it asked for rest or reported that it is leaving. Nothing of the request
// may reach it, and another target serves it.
func TestTargetThatBecameUnavailableIsNotSentTheRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/repeat/"} {
		a, b := newTarget(t, "a", ok), newTarget(t, "b", ok)
		r := newFixture(t, a, b)
		r.fleet.unavailable = []string{"a"}
		got := r.request("POST", path, "body")
		if got.status != 200 || len(a.requests()) != 0 || len(b.requests()) != 1 {
			t.Errorf("%s: status %d, %d requests at the first target, %d at the other", path, got.status, len(a.requests()), len(b.requests()))
		}
		if want := []string{"a neutral", "b good"}; !slices.Equal(r.fleet.verdicts, want) {
			t.Errorf("%s: verdicts %v, want %v", path, r.fleet.verdicts, want)
		}
	}
}

// TestRetryAfterFollowsTargetAvailability checks that callers are asked to retry when the first
// target of the service accepts requests, and not when the targets that declined the request do so
// again.
func TestRetryAfterFollowsTargetAvailability(t *testing.T) {
	for _, tc := range []struct {
		name      string
		response  string
		available time.Duration // from now; negative if unknown
		from, to  time.Duration
	}{
		{"another target accepts requests now", declinedRest, 0, 0, 20 * time.Millisecond},
		{"first target accepts requests later", declinedRest, time.Minute, 30 * time.Second, time.Minute},
		{"availability unknown", declinedRest, -1, time.Second, 3 * time.Second},
		{"no rest requested", busy, 0, 0, 250 * time.Millisecond},
		{"a stopped group, availability unknown", declinedStopped, -1, 6 * time.Second, 20 * time.Second / 3},
		{"a stopped group, another target accepts requests now", declinedStopped, 0, 0, 250 * time.Millisecond},
		{"limit of one caller", declinedLimited, 0, time.Second, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", tc.response), newTarget(t, "b", tc.response))
			if tc.available >= 0 {
				r.fleet.availableAt = clock.Now().Add(tc.available)
			}
			got := r.request("POST", "/once/", "body")
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			retryAfter := time.Duration(seconds * float64(time.Second))
			if got.status != 503 || err != nil || retryAfter < tc.from || retryAfter > tc.to {
				t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
			}
		})
	}
}
