package call_test

import (
	"net/http"
	"testing"
	"time"

	"clovertrail.dev/core/call"
)

// TestForWhomATargetTurnsAway: only a 503 speaks of the target that gave it, and not where it
// names another as the one at fault.
func TestForWhomATargetTurnsAway(t *testing.T) {
	again := time.Date(2026, 5, 31, 6, 24, 3, 0, time.UTC)
	for _, tc := range []struct {
		name   string
		answer call.Response
		rests  bool
		noRoom bool
	}{
		{"it is full", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable}, false, true},
		{"it is full and names itself", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable, AtFault: "i-1"}, false, true},
		{"another is at fault", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable, AtFault: "i-2"}, false, false},
		{"it asks for rest", call.Response{Outcome: call.Declined, Status: http.StatusServiceUnavailable, RetryAt: again}, true, false},
		{"it has run the request and asks for rest", call.Response{Outcome: call.Failed, Status: http.StatusServiceUnavailable, RetryAt: again}, true, false},
		{"the organisation has had its share", call.Response{Outcome: call.Declined, Status: http.StatusTooManyRequests, RetryAt: again}, false, false},
		{"the organisation has had its share, it is not said until when", call.Response{Outcome: call.Declined, Status: http.StatusTooManyRequests}, false, false},
		{"it failed", call.Response{Outcome: call.Failed, Status: http.StatusServiceUnavailable}, false, false},
		{"it served", call.Response{Outcome: call.Served, Status: http.StatusOK}, false, false},
	} {
		if got := !tc.answer.RestUntil().IsZero(); got != tc.rests {
			t.Errorf("%s: asks for rest: %v", tc.name, got)
		}
		if got := tc.answer.AtCapacity("i-1"); got != tc.noRoom {
			t.Errorf("%s: has no room: %v", tc.name, got)
		}
	}
}
