package node

import (
	"context"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/node/process"
	"clovertrail.dev/shutdown"
)

// stop is a planned stop. The box reports that it is not ready, and goes on serving new callers until
// the platform has noticed. Then it accepts no new connections, closes the idle ones, and returns once
// no request is in flight, or shortly before the platform kills the process.
func (e *Entry) stop(signal shutdown.Signal) error {
	plan := shutdown.NewPlan(signal, e.settings().Bounds.Stop.Std()-process.StopMargin)
	e.ready.leaving.Store(true)
	e.gateway.BeginStop(plan)
	e.fleet.waiting.stop()
	e.peering.notify() // other boxes choose another issuer of permits
	e.common.Log.Info("leaving", "in_flight", e.gateway.InFlight(), "until", plan.End(), "signal_sent_after", signal.SentAfter)
	ctx, cancel := clock.WithDeadline(context.Background(), plan.End())
	defer cancel()
	clock.SleepUntil(ctx, plan.NoticedAt())
	err := e.callers.Stop(ctx)
	e.common.Log.Info("stopped", "in_flight", e.gateway.InFlight(), "after", clock.Since(signal.ReceivedAt))
	return err
}
