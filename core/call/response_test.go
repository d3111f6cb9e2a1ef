package call_test

import (
	"net/http"
	"testing"
	"time"

	"clovertrail.dev/core/call"
)

// TestResponseRestAndCapacity checks that only a 503 is about the target that sent it, and that
// a 503 that names another target as the one at fault is no sign of a full target but of a stopped group.
func TestResponseRestAndCapacity(t *testing.T) {
	retryAt := time.Date(2026, 5, 31, 6, 24, 3, 0, time.UTC)
	for _, tc := range []struct {
		name       string
		response   call.Response
		rests      bool
		atCapacity bool
		stopped    bool
	}{
		{"target full", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable}, false, true, false},
		{"target full, names itself", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable, AtFault: "i-1"}, false, true, false},
		{"another target at fault", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable, AtFault: "i-2"}, false, false, true},
		{"failed, another target at fault", call.Response{Outcome: call.Failed, Status: http.StatusServiceUnavailable, AtFault: "i-2"}, false, false, false},
		{"declined with rest", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable, RetryAt: retryAt}, true, false, false},
		{"failed with rest", call.Response{Outcome: call.Failed, Status: http.StatusServiceUnavailable, RetryAt: retryAt}, true, false, false},
		{"organisation over its share", call.Response{Outcome: call.Declined, Status: http.StatusTooManyRequests, RetryAt: retryAt}, false, false, false},
		{"organisation over its share, no retry time", call.Response{Outcome: call.Declined, Status: http.StatusTooManyRequests}, false, false, false},
		{"failed", call.Response{Outcome: call.Failed, Status: http.StatusServiceUnavailable}, false, false, false},
		{"served", call.Response{Outcome: call.Served, Status: http.StatusOK}, false, false, false},
	} {
		if got := !tc.response.RestUntil().IsZero(); got != tc.rests {
			t.Errorf("%s: RestUntil is set: %v, want %v", tc.name, got, tc.rests)
		}
		if got := tc.response.AtCapacity("i-1"); got != tc.atCapacity {
			t.Errorf("%s: AtCapacity = %v, want %v", tc.name, got, tc.atCapacity)
		}
		if got := tc.response.GroupStopped("i-1"); got != tc.stopped {
			t.Errorf("%s: GroupStopped = %v, want %v", tc.name, got, tc.stopped)
		}
	}
}
