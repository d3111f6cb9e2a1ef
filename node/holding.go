package node

import (
	"context"
	"time"

	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
)

// holdLook is the time between two looks whether the own engine holds.
const holdLook = 8 * time.Millisecond

// holdThrough has the own engine hold a step, by an order that another group's agent
// gives. A box that stops dead in the moment in which it gives the order then leaves
// this group's ranks alone, and the hold is seen at the own engine all the same. If
// no helper answers, this agent gives the order itself.
func (a *Agent) holdThrough(ctx context.Context, helper string, own mesh.Member, c orders.Call) (orders.Result, error) {
	if helper == "" {
		return a.give(ctx, a.engine, c)
	}
	answer := make(chan orderDone, 1)
	go func() {
		call := mesh.CallOf(c)
		call.Engine = own.Target
		reply, err := mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, a.mesh, helper, mesh.Command, call)
		if err != nil {
			answer <- orderDone{result: orders.Lost, err: err}
			return
		}
		answer <- orderDone{result: reply.Result}
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

// holds tells whether the own engine holds the step of the call.
func (a *Agent) holds(ctx context.Context, c orders.Call) bool {
	r, err := a.look(ctx, 0)
	h, ok := c.Order.(orders.Hold)
	return err == nil && ok && r.State.Epoch == c.Epoch && r.State.Held != nil && *r.State.Held == h.Step
}
