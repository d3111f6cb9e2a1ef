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

// giveOrder gives an order to an engine, counts it and times it.
func issueOrder(ctx context.Context, c telemetry.Common, e *platform.Engine, call orders.Call) (orders.Result, error) {
	startedAt := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	res, err := e.Order(ctx, call.Epoch, call.Fence, call.Order)
	c.Metrics.Observe(telemetry.OrderTime, orders.Name(call.Order)+" "+res.String(), clock.Since(startedAt))
	return res, err
}

// ForwardOrder gives an order to the engine that the call names, for another group's
// coordinator.
func ForwardOrder(ctx context.Context, c telemetry.Common, client *http.Client, call *mesh.OrderCall) (*mesh.OrderReply, error) {
	o := call.Order()
	if o == nil || call.Engine == "" {
		return nil, fault.New(fault.BadRequest, "a call without an order or an engine")
	}
	res, err := issueOrder(ctx, c, platform.NewEngine(call.Engine, client), orders.Call{Epoch: call.Epoch, Fence: call.Fence, Order: o})
	if err != nil {
		return nil, err
	}
	return &mesh.OrderReply{Result: res}, nil
}

// through gives an order to a rank's engine by way of a helper. A box that stops dead in
// the moment in which it gives an order under a hold leaves in doubt what its own engine
// was told, and until it is back the group is held; a box without a rank of the group
// leaves no doubt, since every engine can still be asked.
func (a *Agent) sendViaForwarder(ctx context.Context, forwarder string, m mesh.Member, c orders.Call) (orders.Result, error) {
	call := mesh.CallOf(c)
	call.Engine = m.Target
	reply, err := mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, a.mesh, forwarder, mesh.Command, call)
	if err != nil {
		a.forwarders.ReportFailure(forwarder)
		return orders.Lost, err
	}
	return reply.Result, nil
}

// holdLook is the time between two looks whether the own engine holds.
const holdPollInterval = 8 * time.Millisecond

// holdThrough has the own engine hold a step by way of a helper. The hold is seen at the
// own engine even if the helper ends before it answers. If the helper cannot be reached,
// this agent gives the order itself.
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

// holds reports whether the own engine holds the step of the call.
func (a *Agent) engineHolds(ctx context.Context, c orders.Call) bool {
	r, err := a.engineReport(ctx, 0)
	h, ok := c.Order.(orders.Hold)
	return err == nil && ok && r.State.Epoch == c.Epoch && r.State.Held != nil && *r.State.Held == h.Step
}
