package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"clovertrail.dev/core/clock"
)

// TestDeadlineHoldsThroughSuspension guards against deadlines that are delayed by a suspension of
// the box's machine. The caller's clock keeps running during the suspension, so a request in flight
// has to time out when the machine resumes.
func TestDeadlineHoldsThroughSuspension(t *testing.T) {
	const callerTimeout = 15 * time.Second // below the route's 20 s on the monotonic clock
	a := newTarget(t, "a", hang)
	r := newFixture(t, a)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	go func() {
		for len(a.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		clock.AddSuspension(time.Minute)
	}()
	resp, err := r.send(ctx, "/once/")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", resp.StatusCode)
	}
}
