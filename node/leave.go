package node

import (
	"context"
	"time"
)

const (
	// noticed is how long the platform takes to send no new callers to a box that
	// says it is not ready: two questions, a second apart, and their answers.
	noticed = 3 * time.Second
	// stopMargin is how long before the platform kills the process it ends by itself.
	stopMargin = 500 * time.Millisecond
)

// leave is a planned stop: the box says that it is not ready and goes on serving
// callers that still come until the platform has noticed. Then it takes no new
// connection, closes those that rest, and ends once nothing is in flight, or at the
// latest shortly before it would be killed.
func (e *Entry) leave(s *servers) error {
	began := time.Now()
	end := began.Add(e.settings().Bounds.Stop.Std() - stopMargin)
	e.ready.leaving.Store(true)
	e.gateway.Leave()
	e.common.Log.Info("leaving", "in_flight", e.gateway.InFlight(), "until", end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	sleepUntil(ctx, began.Add(min(noticed, time.Until(end)/2)))
	err := s.callers.Stop(ctx)
	e.common.Log.Info("stopped", "in_flight", e.gateway.InFlight(), "after", time.Since(began))
	return err
}
