package node

import (
	"context"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/gateway"
	"clovertrail.dev/node/process"
)

const (
	// unreadyNoticeTime is how long the platform takes to send no new callers to a box that
	// reports that it is not ready: two questions, a second apart, and their answers.
	unreadyNoticeTime = 3 * time.Second
)

// stop is a planned stop: the box reports that it is not ready and goes on serving
// callers that still come until the platform has noticed. Then it takes no new
// connection, closes those that rest, and ends once nothing is in flight, or at the
// latest shortly before it would be killed.
func (e *Entry) stop(callers *gateway.Listener) error {
	began := clock.Now()
	end := began.Add(e.settings().Bounds.Stop.Std() - process.StopMargin)
	e.ready.leaving.Store(true)
	e.gateway.BeginStop(end)
	e.peering.notify() // others look for another issuer of permits
	e.common.Log.Info("leaving", "in_flight", e.gateway.InFlight(), "until", end)
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	defer cancel()
	clock.SleepUntil(ctx, began.Add(min(unreadyNoticeTime, clock.Until(end)/2)))
	err := callers.Stop(ctx)
	e.common.Log.Info("stopped", "in_flight", e.gateway.InFlight(), "after", clock.Since(began))
	return err
}
