package rank

import (
	"context"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/distribution"
	"clovertrail.dev/telemetry"
)

// How a coordinator gives the orders of a change: each by itself, or in a large group
// many at once by way of relays and helpers.

// helperBatch is how many engines one helper gives an order to: a few helpers at once
// reach a group of a hundred ranks.
const forwarderBatch = 10

// next gives the orders that are due, and logs what ended.
func (g *groupCoordinator) issueOrders(ctx context.Context) {
	distributionTime := g.distributionTime()
	g.coord.SetDistributionTime(distributionTime)
	calls := g.coord.Next(clock.Now())
	if g.relays != nil {
		calls = g.sendBatches(ctx, calls, distributionTime)
	}
	for _, c := range calls {
		call := mesh.CallOf(c)
		if c.Rank != g.rank && !g.unresponsive.contains(c.Rank) {
			call = g.sentMaps.Shorten(c.Rank, call)
		}
		go g.sendOrder(ctx, c, call, g.members[c.Rank], orderTimeout+distributionTime, g.mapSends)
	}
	for _, o := range g.coord.TakeOutcomes() {
		g.handleOutcome(o)
	}
}

// ended takes the end of an attempt.
func (g *groupCoordinator) handleOutcome(o orders.Outcome) {
	g.lastAttemptEnd = clock.Now()
	g.lastFullRead = time.Time{} // at once: before another change all ranks are to be read
	g.agent.common.Metrics.Count(telemetry.MapSwitches, string(o.Reason), 1)
	took, held := clock.Since(o.StartedAt), time.Duration(0)
	if !o.HeldFrom.IsZero() {
		held = clock.Since(o.HeldFrom)
	}
	if o.Reason == orders.Committed {
		g.updateOverhead(took)
	}
	g.log("map change ended", "version", o.Version, "end", o.Reason, "rank", o.Rank,
		"copying", o.PrepareTime, "held", held, "after", took)
}

// overheadWeight is the weight of one more change in what changes take beside copies.
const overheadWeight = 0.3

// noteOverhead learns what a change takes beside its copies.
func (g *groupCoordinator) updateOverhead(took time.Duration) {
	g.overhead += time.Duration(overheadWeight * float64(max(took-g.copyTime, 0)-g.overhead))
}

// giveMany gives what can be given many at once, and returns the rest.
func (g *groupCoordinator) sendBatches(ctx context.Context, calls []orders.Call, distributionTime time.Duration) []orders.Call {
	maps := map[orders.Version][]orders.Call{} // by the version from which they are told
	var underHold, rest []orders.Call
	for _, c := range calls {
		_, prepares := c.Order.(orders.Prepare)
		switch {
		case c.Rank == g.rank || !prepares && g.unresponsive.contains(c.Rank):
			rest = append(rest, c)
		case !prepares:
			underHold = append(underHold, c)
		case g.usesRelay(c.Rank):
			base := g.sentMaps.BaseVersion(c.Rank)
			maps[base] = append(maps[base], c)
		default:
			rest = append(rest, c)
		}
	}
	for _, list := range maps {
		for _, batch := range groupByOrder(list) {
			rest = append(rest, g.sendViaRelays(ctx, batch, orderTimeout+distributionTime)...)
		}
	}
	for _, batch := range groupByOrder(underHold) {
		rest = append(rest, g.sendViaForwarders(ctx, batch)...)
	}
	return rest
}

// alike parts calls into lists of one order for ranks that are each in the list once.
func groupByOrder(calls []orders.Call) [][]orders.Call {
	type key struct {
		order string
		copy  int
	}
	seen := map[int]int{}
	at := map[key]int{}
	var lists [][]orders.Call
	for _, c := range calls {
		k := key{order: orders.Describe(c.Order), copy: seen[c.Rank]}
		seen[c.Rank]++
		i, ok := at[k]
		if !ok {
			i = len(lists)
			at[k] = i
			lists = append(lists, nil)
		}
		lists[i] = append(lists[i], c)
	}
	return lists
}

// giveThroughRelays sends ranks a map by way of relays; the calls of ranks without one
// come back.
func (g *groupCoordinator) sendViaRelays(ctx context.Context, calls []orders.Call, timeout time.Duration) []orders.Call {
	byRank := map[int]orders.Call{}
	var ranks []int
	for _, c := range calls {
		byRank[c.Rank] = c
		ranks = append(ranks, c.Rank)
	}
	order := g.sentMaps.Shorten(calls[0].Rank, mesh.CallOf(calls[0]))
	var rest []orders.Call
	for _, p := range g.relays.Assign(ranks, g.usesRelay) {
		var assigned []orders.Call
		for _, r := range p.Ranks {
			assigned = append(assigned, byRank[r])
		}
		if p.Relay == distribution.NoRelay {
			rest = append(rest, assigned...)
			continue
		}
		call := &mesh.DealCall{Ranks: p.Ranks, Order: *order, Left: timeout}
		go g.sendBatch(ctx, g.members[p.Relay].Agent, call, assigned, timeout)
	}
	return rest
}

// giveThroughHelpers gives an order under a hold to engines by way of processes outside
// the group; the calls come back if none is known.
func (g *groupCoordinator) sendViaForwarders(ctx context.Context, calls []orders.Call) []orders.Call {
	for len(calls) > 0 {
		forwarder := g.agent.forwarders.Next(clock.Now())
		if forwarder == "" {
			return calls
		}
		batch := calls[:min(forwarderBatch, len(calls))]
		calls = calls[len(batch):]
		call := &mesh.DealCall{Order: *mesh.CallOf(batch[0]), Left: orderTimeout}
		for _, c := range batch {
			call.Engines = append(call.Engines, g.members[c.Rank].Target)
		}
		go g.sendBatch(ctx, forwarder, call, batch, orderTimeout)
	}
	return nil
}

// deal hands an order for many to the process at the address. Whole maps for relays do not
// wait for each other, as those for single ranks do: there are ten of them, and a relay
// answers only once all its ranks have, so that two at a time took a second.
func (g *groupCoordinator) sendBatch(ctx context.Context, address string, call *mesh.DealCall, calls []orders.Call, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := mesh.Call[mesh.DealCall, mesh.DealReply](ctx, g.agent.mesh, address, mesh.Deal, call)
	if err == nil && len(reply.Dealt) != len(calls) {
		err = fault.New(fault.BadRequest, "%d results for %d orders", len(reply.Dealt), len(calls))
	}
	if err != nil && len(call.Engines) > 0 {
		g.agent.forwarders.ReportFailure(address)
	}
	g.results <- batchResults(calls, call, reply, err)
}

// dealt turns an answer for many into what became of each call.
func batchResults(calls []orders.Call, call *mesh.DealCall, reply *mesh.DealReply, err error) batchDone {
	var all batchDone
	for i, c := range calls {
		done := orderDone{call: c, viaAgent: len(call.Ranks) > 0, result: orders.Lost, err: err}
		if err == nil {
			done.result = reply.Dealt[i].Result
			switch {
			case reply.Dealt[i].UnknownBase:
				done.err = mesh.UnknownBase(call.Order.Base)
			case done.result == orders.Lost:
				done.err = errNotRelayed
			}
		}
		all.orders = append(all.orders, done)
	}
	return all
}

// order gives an order through the agent of its rank, or to the engine itself where
// that agent cannot be reached.
func (g *groupCoordinator) sendOrder(ctx context.Context, c orders.Call, call *mesh.OrderCall, m mesh.Member, timeout time.Duration, mapSends chan struct{}) {
	if p, ok := c.Order.(orders.Prepare); ok && c.Rank != g.rank && call.Base == 0 && p.Map != nil {
		mapSends <- struct{}{}
		defer func() { <-mapSends }()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := orderDone{call: c}
	forwarder := g.agent.forwarders.Next(clock.Now())
	switch {
	case underHold(c.Order) && forwarder != "" && c.Rank == g.rank && isHold(c.Order):
		done.result, done.err = g.agent.holdViaForwarder(ctx, forwarder, m, c)
	case underHold(c.Order) && forwarder != "":
		done.result, done.err = g.agent.sendViaForwarder(ctx, forwarder, m, c)
	case c.Rank == g.rank:
		done.result, done.err = g.agent.sendToEngine(ctx, g.agent.engine, c)
	case g.unresponsive.contains(c.Rank):
		done.result, done.err = g.agent.sendToEngine(ctx, g.agent.engineAt(m), c)
	default:
		var reply *mesh.OrderReply
		done.viaAgent = true
		reply, done.err = mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, g.agent.mesh, m.Agent, mesh.Command, call)
		if done.err == nil {
			done.result = reply.Result
		}
	}
	if done.err != nil {
		done.result = orders.Lost
	}
	g.results <- done
}

func isHold(o orders.Order) bool {
	_, ok := o.(orders.Hold)
	return ok
}

// underHold reports an order that is given while the group is held or that holds it:
// all but those that copy, which change nothing yet.
func underHold(o orders.Order) bool {
	_, copies := o.(orders.Prepare)
	return !copies
}

// tookOrder takes what became of an order.
func (g *groupCoordinator) handleOrder(now time.Time, e orderDone) {
	g.logOrder(e)
	g.recordMapReply(e)
	if g.coord != nil && e.call.Epoch == g.coord.Epoch() {
		g.coord.HandleResult(now, e.call, e.result)
	}
}

func (g *groupCoordinator) logOrder(e orderDone) {
	if e.result == orders.Done {
		return
	}
	g.log("order not done", "rank", e.call.Rank, "order", orders.Name(e.call.Order), "result", e.result, "err", e.err)
}

// noteTold notes whether the agent of a rank has a map. Calls of an earlier
// formation report nothing.
func (g *groupCoordinator) recordMapReply(e orderDone) {
	if p, ok := e.call.Order.(orders.Prepare); ok && e.viaAgent && g.coord != nil && e.call.Epoch == g.coord.Epoch() {
		g.sentMaps.RecordReply(e.call.Rank, p, e.err)
	}
}

// telling is how long it takes to send all ranks the map that is proposed: less where
// changes of one that they have are enough, and where relays pass it on.
func (g *groupCoordinator) distributionTime() time.Duration {
	each := g.wholeMapSendTime()
	if g.sentMaps.CoversAll(g.size) {
		each = min(each, g.transferTime(g.changedRows*(g.shape.Slots+rowHeaderSlots)*bytesPerSlot, 1))
	}
	if g.relays != nil {
		partitions := max(g.relays.Partitions(), 1)
		return each * time.Duration(partitions+g.size/partitions)
	}
	return each * time.Duration(g.size)
}

// tellingOne is how long it takes to send one rank a whole map.
func (g *groupCoordinator) wholeMapSendTime() time.Duration {
	return g.transferTime(g.shape.Layers*g.size*g.shape.Slots*bytesPerSlot, 1)
}
