package rank

import (
	"context"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/distribution"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
)

// fanOutTimeoutShare is the share of the coordinator's timeout for a reply within which a relay or
// forwarder replies, so that engines that do not respond do not cost the results of the others.
const fanOutTimeoutShare = 0.8

// fanOut sends an order to n engines in parallel, and returns their results by index. Results of
// engines that are late (distribution.Lateness) are orders.Lost; the orders to them continue until the
// coordinator's timeout.
func fanOut(ctx context.Context, n int, timeout time.Duration, send func(ctx context.Context, i int) mesh.FanOutResult) []mesh.FanOutResult {
	type indexed struct {
		i      int
		result mesh.FanOutResult
	}
	startedAt := clock.Now()
	sending, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	responses := make(chan indexed, n)
	results := make([]mesh.FanOutResult, n)
	var sends sync.WaitGroup
	for i := range n {
		results[i].Result = orders.Lost
		sends.Go(func() { responses <- indexed{i, send(sending, i)} })
	}
	go func() {
		sends.Wait()
		cancel()
	}()
	late := time.NewTimer(time.Duration(fanOutTimeoutShare * float64(timeout)))
	defer late.Stop()
	lateness := distribution.NewLateness(n)
	for range n {
		select {
		case r := <-responses:
			results[r.i] = r.result
			lateness.Received(clock.Since(startedAt))
			if limit, ok := lateness.Limit(); ok {
				late.Reset(limit - clock.Since(startedAt))
			}
		case <-late.C:
			return results
		}
	}
	return results
}
