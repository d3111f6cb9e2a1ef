package rank

import (
	"context"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/distribution"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/telemetry"
)

// This file contains the sending of a coordinator's orders: one call per rank, or in a large
// group one call for many ranks, through relays and forwarders.

// forwarderBatch is the number of engines that one forwarder sends an order to: a few
// forwarders in parallel reach a group of a hundred ranks.
const forwarderBatch = 10

// issueOrders sends the orders that are due, and handles the outcomes of ended attempts.
func (g *groupCoordinator) issueOrders(ctx context.Context) {
	distributionTime := g.distributionTime()
	g.coord.SetDistributionTime(distributionTime)
	calls := g.coord.Next(clock.Now())
	if g.relays != nil {
		calls = g.sendBatches(ctx, calls, distributionTime)
	}
	for _, c := range calls {
		call := mesh.NewOrderCall(c)
		if c.Rank != g.rank && !g.unresponsive.contains(c.Rank) {
			call = g.sentMaps.Shorten(c.Rank, call)
		}
		go g.sendOrder(ctx, c, call, g.members[c.Rank], orderTimeout+distributionTime, g.mapSends)
	}
	for _, o := range g.coord.TakeOutcomes() {
		g.handleOutcome(o)
	}
}

// handleOutcome counts and logs the outcome of an attempt, and makes a read of all ranks due.
func (g *groupCoordinator) handleOutcome(o orders.Outcome) {
	g.lastAttemptEnd = clock.Now()
	g.lastFullRead = time.Time{} // another change needs a read of all ranks first
	g.agent.common.Metrics.Count(telemetry.MapSwitches, string(o.Reason), 1)
	took, held := clock.Since(o.StartedAt), time.Duration(0)
	if !o.HeldFrom.IsZero() {
		held = clock.Since(o.HeldFrom)
	}
	if o.Reason == orders.Committed {
		g.updateOverhead(took)
		g.change.version = o.Version
	}
	attrs := []any{"version", o.Version, "end", o.Reason, "rank", o.Rank, "copying", o.PrepareTime, "held", held, "after", took}
	g.log("map change ended", append(attrs, g.causeAttrs(clock.Now())...)...)
}

// overheadWeight is the weight of the latest map change in overhead, which is a moving average.
const overheadWeight = 0.3

// updateOverhead adds a map change that took the given time to overhead, the moving average of the
// time that map changes take in addition to their copies.
func (g *groupCoordinator) updateOverhead(took time.Duration) {
	g.overhead += time.Duration(overheadWeight * float64(max(took-g.copyTime, 0)-g.overhead))
}

// sendBatches sends the orders that can be sent in one call for many ranks, and returns the
// other calls.
func (g *groupCoordinator) sendBatches(ctx context.Context, calls []orders.Call, distributionTime time.Duration) []orders.Call {
	maps := map[orders.Version][]orders.Call{} // Prepare calls, by the version of the map that the changed rows are based on
	var underHoldCalls, rest []orders.Call
	for _, c := range calls {
		_, prepares := c.Order.(orders.Prepare)
		switch {
		case c.Rank == g.rank || !prepares && g.unresponsive.contains(c.Rank):
			rest = append(rest, c)
		case !prepares:
			underHoldCalls = append(underHoldCalls, c)
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
	for _, batch := range groupByOrder(underHoldCalls) {
		rest = append(rest, g.sendViaForwarders(ctx, batch)...)
	}
	return rest
}

// groupByOrder splits the calls into lists that have the same order and contain each rank at
// most once.
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

// sendViaRelays sends a map to ranks through their relays, and returns the calls of ranks that
// have no relay.
func (g *groupCoordinator) sendViaRelays(ctx context.Context, calls []orders.Call, timeout time.Duration) []orders.Call {
	byRank := map[int]orders.Call{}
	var ranks []int
	for _, c := range calls {
		byRank[c.Rank] = c
		ranks = append(ranks, c.Rank)
	}
	order := g.sentMaps.Shorten(calls[0].Rank, mesh.NewOrderCall(calls[0]))
	var rest []orders.Call
	for _, a := range g.relays.Assign(ranks, g.usesRelay) {
		var assigned []orders.Call
		for _, r := range a.Ranks {
			assigned = append(assigned, byRank[r])
		}
		if a.Relay == distribution.NoRelay {
			rest = append(rest, assigned...)
			continue
		}
		call := &mesh.FanOutCall{Ranks: a.Ranks, Order: *order, Timeout: timeout}
		go g.sendBatch(ctx, g.members[a.Relay].Agent, call, assigned, timeout)
	}
	return rest
}

// sendViaForwarders sends an order under a hold to engines through forwarders. It returns the
// calls that are left when no forwarder is available.
func (g *groupCoordinator) sendViaForwarders(ctx context.Context, calls []orders.Call) []orders.Call {
	for len(calls) > 0 {
		forwarder := g.agent.forwarders.Next(clock.Now())
		if forwarder == "" {
			return calls
		}
		batch := calls[:min(forwarderBatch, len(calls))]
		calls = calls[len(batch):]
		call := &mesh.FanOutCall{Order: *mesh.NewOrderCall(batch[0]), Timeout: orderTimeout}
		for _, c := range batch {
			call.Engines = append(call.Engines, g.members[c.Rank].Target)
		}
		go g.sendBatch(ctx, forwarder, call, batch, orderTimeout)
	}
	return nil
}

// sendBatch sends an order for several ranks to the process at the address. Unlike whole maps for
// single ranks, whole maps for relays are not limited by mapSends. There are ten relays, and each
// responds only after all its ranks have responded: sent to two relays at a time, a map took a
// second to reach all ranks.
func (g *groupCoordinator) sendBatch(ctx context.Context, address string, call *mesh.FanOutCall, calls []orders.Call, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := mesh.Call[mesh.FanOutCall, mesh.FanOutReply](ctx, g.agent.mesh, address, mesh.FanOut, call)
	if err == nil && len(reply.Results) != len(calls) {
		err = fault.New(fault.BadRequest, "batch response has %d results for %d orders", len(reply.Results), len(calls))
	}
	if err != nil && len(call.Engines) > 0 {
		g.agent.forwarders.ReportFailure(address)
	}
	g.results <- batchResults(calls, call, reply, err)
}

// batchResults converts the response to a batch into the outcome of each call.
func batchResults(calls []orders.Call, call *mesh.FanOutCall, reply *mesh.FanOutReply, err error) batchDone {
	var all batchDone
	for i, c := range calls {
		done := orderDone{call: c, viaAgent: len(call.Ranks) > 0, result: orders.Lost, err: err}
		if err == nil {
			done.result = reply.Results[i].Result
			switch {
			case reply.Results[i].UnknownBase:
				done.err = mesh.UnknownBase(call.Order.Base)
			case done.result == orders.Lost:
				done.err = errNotRelayed
			}
		}
		all.orders = append(all.orders, done)
	}
	return all
}

// sendOrder sends an order to the agent of its rank, or directly to the engine while that agent
// is unresponsive. An order under a hold goes through a forwarder if one is available.
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
		reply, done.err = mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, g.agent.mesh, m.Agent, mesh.SendOrder, call)
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

// underHold reports whether the order holds the group or is sent while the group is held: all
// orders except Prepare, which only copies experts and does not change the map in use.
func underHold(o orders.Order) bool {
	_, copies := o.(orders.Prepare)
	return !copies
}

// handleOrder passes the result of an order to the coordinator, unless the call belongs to an
// earlier epoch.
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
	g.log("order not carried out", "rank", e.call.Rank, "order", orders.Name(e.call.Order), "result", e.result, "err", e.err)
}

// recordMapReply records whether the agent of a rank received a map. Calls of an earlier epoch
// are ignored.
func (g *groupCoordinator) recordMapReply(e orderDone) {
	if p, ok := e.call.Order.(orders.Prepare); ok && e.viaAgent && g.coord != nil && e.call.Epoch == g.coord.Epoch() {
		g.sentMaps.RecordReply(e.call.Rank, p, e.err)
	}
}

// distributionTime returns the time to send the proposed map to all ranks. It is shorter if all
// ranks have a base and need only the changed rows, and if relays forward the map.
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

// wholeMapSendTime returns the time to send a whole map to one rank.
func (g *groupCoordinator) wholeMapSendTime() time.Duration {
	return g.transferTime(g.shape.Layers*g.size*g.shape.Slots*bytesPerSlot, 1)
}
