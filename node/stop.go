package node

import (
	"context"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/gateway"
	"clovertrail.dev/node/process"
)

// unreadyNoticeTime is how long the platform takes to stop sending new callers to a box that is not
// ready: two readiness checks, one second apart, and their responses.
const unreadyNoticeTime = 3 * time.Second

// stop is a planned stop. The box reports that it is not ready, and goes on serving new callers until
// the platform has noticed. Then it accepts no new connections, closes the idle ones, and returns once
// no request is in flight, or shortly before the platform kills the process.
func (e *Entry) stop(callers *gateway.Listener) error {
	start := clock.Now()
	end := start.Add(e.settings().Bounds.Stop.Std() - process.StopMargin)
	e.ready.leaving.Store(true)
	e.gateway.BeginStop(end)
	e.fleet.waiting.stop()
	e.peering.notify() // other boxes choose another issuer of permits
	e.common.Log.Info("leaving", "in_flight", e.gateway.InFlight(), "until", end)
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	defer cancel()
	clock.SleepUntil(ctx, start.Add(min(unreadyNoticeTime, clock.Until(end)/2)))
	err := callers.Stop(ctx)
	e.common.Log.Info("stopped", "in_flight", e.gateway.InFlight(), "after", clock.Since(start))
	return err
}
