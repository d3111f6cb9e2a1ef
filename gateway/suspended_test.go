package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"clovertrail.dev/core/clock"
)

// TestADeadlineHoldsThroughASuspension: the caller's time goes on while the box's machine is
// suspended. What is under way then ends as it wakes, not so much later.
func TestADeadlineHoldsThroughASuspension(t *testing.T) {
	const patient = 15 * time.Second // under the 20 s that the route allows by the steady clock
	a := newTarget(t, "a", hang)
	r := newRig(t, a)
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	go func() {
		for len(a.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		clock.Suspended(time.Minute)
	}()
	resp, err := r.send(ctx, "/once/")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("answered %d", resp.StatusCode)
	}
}
