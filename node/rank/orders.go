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
func giveOrder(ctx context.Context, c telemetry.Common, e *platform.Engine, call orders.Call) (orders.Result, error) {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, engineWithin)
	defer cancel()
	res, err := e.SendOrder(ctx, call.Epoch, call.Fence, call.Order)
	c.Metrics.Observe(telemetry.OrderTime, orders.Name(call.Order)+" "+res.String(), clock.Since(began))
	return res, err
}

// HandOn gives an order to the engine that the call names, for another group's
// coordinator.
func HandOn(ctx context.Context, c telemetry.Common, client *http.Client, call *mesh.OrderCall) (*mesh.OrderReply, error) {
	o := call.Order()
	if o == nil || call.Engine == "" {
		return nil, fault.New(fault.BadRequest, "a call without an order or an engine")
	}
	res, err := giveOrder(ctx, c, platform.NewEngine(call.Engine, client), orders.Call{Epoch: call.Epoch, Fence: call.Fence, Order: o})
	if err != nil {
		return nil, err
	}
	return &mesh.OrderReply{Result: res}, nil
}

// through gives an order to a rank's engine by way of a helper. A box that stops dead in
// the moment in which it gives an order under a hold leaves in doubt what its own engine
// was told, and until it is back the group is held; a box without a rank of the group
// leaves no doubt, since every engine can still be asked.
func (a *Agent) through(ctx context.Context, helper string, m mesh.Member, c orders.Call) (orders.Result, error) {
	call := mesh.CallOf(c)
	call.Engine = m.Target
	reply, err := mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, a.mesh, helper, mesh.Command, call)
	if err != nil {
		a.helpers.Failed(helper)
		return orders.Lost, err
	}
	return reply.Result, nil
}

// holdLook is the time between two looks whether the own engine holds.
const holdLook = 8 * time.Millisecond

// holdThrough has the own engine hold a step by way of a helper. The hold is seen at the
// own engine even if the helper ends before it answers. If the helper cannot be reached,
// this agent gives the order itself.
func (a *Agent) holdThrough(ctx context.Context, helper string, own mesh.Member, c orders.Call) (orders.Result, error) {
	answer := make(chan orderDone, 1)
	go func() {
		res, err := a.through(ctx, helper, own, c)
		answer <- orderDone{result: res, err: err}
	}()
	look := time.NewTicker(holdLook)
	defer look.Stop()
	for {
		select {
		case d := <-answer:
			if d.err != nil && ctx.Err() == nil {
				return a.give(ctx, a.engine, c)
			}
			return d.result, d.err
		case <-look.C:
			if a.holds(ctx, c) {
				return orders.Done, nil
			}
		}
	}
}

// holds reports whether the own engine holds the step of the call.
func (a *Agent) holds(ctx context.Context, c orders.Call) bool {
	r, err := a.look(ctx, 0)
	h, ok := c.Order.(orders.Hold)
	return err == nil && ok && r.State.Epoch == c.Epoch && r.State.Held != nil && *r.State.Held == h.Step
}
