package rank

import (
	"context"
	"net/http"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/platform"
	"clovertrail.dev/telemetry"
)

// issueOrder sends an order to an engine, and records its duration by order and result.
func issueOrder(ctx context.Context, c telemetry.Common, e *platform.Engine, call orders.Call) (orders.Result, error) {
	startedAt := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	res, err := e.SendOrder(ctx, call.Epoch, call.Fence, call.Order)
	c.Metrics.Observe(telemetry.OrderTime, orders.Name(call.Order)+" "+res.String(), clock.Since(startedAt))
	return res, err
}

// ForwardOrder sends an order to the engine that the call names, on behalf of another group's
// coordinator.
func ForwardOrder(ctx context.Context, c telemetry.Common, client *http.Client, call *mesh.OrderCall) (*mesh.OrderReply, error) {
	o := call.Order()
	if o == nil || call.Engine == "" {
		return nil, fault.New(fault.BadRequest, "command to forward has no order or no engine")
	}
	res, err := issueOrder(ctx, c, platform.NewEngine(call.Engine, client), orders.Call{Epoch: call.Epoch, Fence: call.Fence, Order: o})
	if err != nil {
		return nil, err
	}
	return &mesh.OrderReply{Result: res}, nil
}

// sendViaForwarder sends an order to a rank's engine through a forwarder. If a box fails at
// the moment it sends an order under a hold, the other ranks cannot tell which orders the engine
// on that box received, and the group stays held until the box is back. If the failed box has no
// rank of the group, every engine can still be read, and shows which orders it received.
func (a *Agent) sendViaForwarder(ctx context.Context, forwarder string, m mesh.Member, c orders.Call) (orders.Result, error) {
	call := mesh.NewOrderCall(c)
	call.Engine = m.Target
	reply, err := mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, a.mesh, forwarder, mesh.SendOrder, call)
	if err != nil {
		a.forwarders.ReportFailure(forwarder)
		return orders.Lost, err
	}
	return reply.Result, nil
}

// holdPollInterval is the time between two checks whether the own engine holds.
const holdPollInterval = 8 * time.Millisecond

// holdViaForwarder sends a Hold to the own engine through a forwarder. It polls the own engine
// meanwhile, which shows the hold even if the forwarder ends before it responds. If the
// forwarder cannot be reached, the agent sends the order itself.
func (a *Agent) holdViaForwarder(ctx context.Context, forwarder string, own mesh.Member, c orders.Call) (orders.Result, error) {
	response := make(chan orderDone, 1)
	go func() {
		res, err := a.sendViaForwarder(ctx, forwarder, own, c)
		response <- orderDone{result: res, err: err}
	}()
	poll := time.NewTicker(holdPollInterval)
	defer poll.Stop()
	for {
		select {
		case done := <-response:
			if done.err != nil && ctx.Err() == nil {
				return a.sendToEngine(ctx, a.engine, c)
			}
			return done.result, done.err
		case <-poll.C:
			if a.engineHolds(ctx, c) {
				return orders.Done, nil
			}
		}
	}
}

// engineHolds reports whether the own engine holds the step of the call.
func (a *Agent) engineHolds(ctx context.Context, c orders.Call) bool {
	r, err := a.engineReport(ctx, 0)
	h, ok := c.Order.(orders.Hold)
	return err == nil && ok && r.State.Epoch == c.Epoch && r.State.Held != nil && *r.State.Held == h.Step
}
