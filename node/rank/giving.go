package rank

import (
	"context"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/telling"
	"clovertrail.dev/telemetry"
)

// How a coordinator gives the orders of a change: each by itself, or in a large group
// many at once by way of relays and helpers.

// helperBatch is how many engines one helper gives an order to: a few helpers at once
// reach a group of a hundred ranks.
const helperBatch = 10

// next gives the orders that are due, and logs what ended.
func (d *groupDuty) next(ctx context.Context) {
	long := d.telling()
	d.coord.SetDistributionTime(long)
	calls := d.coord.Next(clock.Now())
	if d.relays != nil {
		calls = d.giveMany(ctx, calls, long)
	}
	for _, c := range calls {
		call := mesh.NewOrderCall(c)
		if c.Rank != d.rank && !d.mute.is(c.Rank) {
			call = d.told.Shorten(c.Rank, call)
		}
		go d.order(ctx, c, call, d.members[c.Rank], orderWithin+long, d.tellers)
	}
	for _, o := range d.coord.TakeOutcomes() {
		d.ended(o)
	}
}

// ended takes the end of an attempt.
func (d *groupDuty) ended(o orders.Outcome) {
	d.endedAt = clock.Now()
	d.readAt = time.Time{} // at once: before another change all ranks are to be read
	d.agent.common.Metrics.Count(telemetry.MapSwitches, string(o.Reason), 1)
	took, held := clock.Since(o.StartedAt), time.Duration(0)
	if !o.HeldFrom.IsZero() {
		held = clock.Since(o.HeldFrom)
	}
	if o.Reason == orders.Committed {
		d.noteOverhead(took)
	}
	d.log("map change ended", "version", o.Version, "end", o.Reason, "rank", o.Rank,
		"copying", o.PrepareTime, "held", held, "after", took)
}

// overheadWeight is the weight of one more change in what changes take beside copies.
const overheadWeight = 0.3

// noteOverhead learns what a change takes beside its copies.
func (d *groupDuty) noteOverhead(took time.Duration) {
	d.overhead += time.Duration(overheadWeight * float64(max(took-d.copying, 0)-d.overhead))
}

// giveMany gives what can be given many at once, and returns the rest.
func (d *groupDuty) giveMany(ctx context.Context, calls []orders.Call, long time.Duration) []orders.Call {
	maps := map[orders.Version][]orders.Call{} // by the version from which they are told
	var held, rest []orders.Call
	for _, c := range calls {
		_, prepares := c.Order.(orders.Prepare)
		switch {
		case c.Rank == d.rank || !prepares && d.mute.is(c.Rank):
			rest = append(rest, c)
		case !prepares:
			held = append(held, c)
		case d.relayed(c.Rank):
			base := d.told.Has(c.Rank)
			maps[base] = append(maps[base], c)
		default:
			rest = append(rest, c)
		}
	}
	for _, list := range maps {
		for _, batch := range alike(list) {
			rest = append(rest, d.giveThroughRelays(ctx, batch, orderWithin+long)...)
		}
	}
	for _, batch := range alike(held) {
		rest = append(rest, d.giveThroughHelpers(ctx, batch)...)
	}
	return rest
}

// alike parts calls into lists of one order for ranks that are each in the list once.
func alike(calls []orders.Call) [][]orders.Call {
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
func (d *groupDuty) giveThroughRelays(ctx context.Context, calls []orders.Call, within time.Duration) []orders.Call {
	byRank := map[int]orders.Call{}
	var ranks []int
	for _, c := range calls {
		byRank[c.Rank] = c
		ranks = append(ranks, c.Rank)
	}
	order := d.told.Shorten(calls[0].Rank, mesh.NewOrderCall(calls[0]))
	var rest []orders.Call
	for _, p := range d.relays.Through(ranks, d.relayed) {
		var part []orders.Call
		for _, r := range p.Ranks {
			part = append(part, byRank[r])
		}
		if p.Relay == telling.NoRelay {
			rest = append(rest, part...)
			continue
		}
		call := &mesh.FanOutCall{Ranks: p.Ranks, Order: *order, Timeout: within}
		go d.deal(ctx, d.members[p.Relay].Agent, call, part, within)
	}
	return rest
}

// giveThroughHelpers gives an order under a hold to engines by way of processes outside
// the group; the calls come back if none is known.
func (d *groupDuty) giveThroughHelpers(ctx context.Context, calls []orders.Call) []orders.Call {
	for len(calls) > 0 {
		helper := d.agent.helpers.Next(clock.Now())
		if helper == "" {
			return calls
		}
		batch := calls[:min(helperBatch, len(calls))]
		calls = calls[len(batch):]
		call := &mesh.FanOutCall{Order: *mesh.NewOrderCall(batch[0]), Timeout: orderWithin}
		for _, c := range batch {
			call.Engines = append(call.Engines, d.members[c.Rank].Target)
		}
		go d.deal(ctx, helper, call, batch, orderWithin)
	}
	return nil
}

// deal hands an order for many to the process at the address. Whole maps for relays do not
// wait for each other, as those for single ranks do: there are ten of them, and a relay
// answers only once all its ranks have, so that two at a time took a second.
func (d *groupDuty) deal(ctx context.Context, address string, call *mesh.FanOutCall, calls []orders.Call, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply, err := mesh.Call[mesh.FanOutCall, mesh.FanOutReply](ctx, d.agent.mesh, address, mesh.FanOut, call)
	if err == nil && len(reply.Results) != len(calls) {
		err = fault.New(fault.BadRequest, "%d results for %d orders", len(reply.Results), len(calls))
	}
	if err != nil && len(call.Engines) > 0 {
		d.agent.helpers.Failed(address)
	}
	d.results <- dealt(calls, call, reply, err)
}

// dealt turns an answer for many into what became of each call.
func dealt(calls []orders.Call, call *mesh.FanOutCall, reply *mesh.FanOutReply, err error) dealDone {
	var all dealDone
	for i, c := range calls {
		done := orderDone{call: c, agent: len(call.Ranks) > 0, result: orders.Lost, err: err}
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

// order gives an order through the agent of its rank, or to the engine itself where
// that agent cannot be reached.
func (d *groupDuty) order(ctx context.Context, c orders.Call, call *mesh.OrderCall, m mesh.Member, within time.Duration, tellers chan struct{}) {
	if p, ok := c.Order.(orders.Prepare); ok && c.Rank != d.rank && call.Base == 0 && p.Map != nil {
		tellers <- struct{}{}
		defer func() { <-tellers }()
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	done := orderDone{call: c}
	helper := d.agent.helpers.Next(clock.Now())
	switch {
	case underHold(c.Order) && helper != "" && c.Rank == d.rank && isHold(c.Order):
		done.result, done.err = d.agent.holdThrough(ctx, helper, m, c)
	case underHold(c.Order) && helper != "":
		done.result, done.err = d.agent.through(ctx, helper, m, c)
	case c.Rank == d.rank:
		done.result, done.err = d.agent.give(ctx, d.agent.engine, c)
	case d.mute.is(c.Rank):
		done.result, done.err = d.agent.give(ctx, d.agent.engineAt(m), c)
	default:
		var reply *mesh.OrderReply
		done.agent = true
		reply, done.err = mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, d.agent.mesh, m.Agent, mesh.SendOrder, call)
		if done.err == nil {
			done.result = reply.Result
		}
	}
	if done.err != nil {
		done.result = orders.Lost
	}
	d.results <- done
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
func (d *groupDuty) tookOrder(now time.Time, e orderDone) {
	d.logOrder(e)
	d.noteTold(e)
	if d.coord != nil && e.call.Epoch == d.coord.Epoch() {
		d.coord.HandleResult(now, e.call, e.result)
	}
}

func (d *groupDuty) logOrder(e orderDone) {
	if e.result == orders.Done {
		return
	}
	d.log("order not done", "rank", e.call.Rank, "order", orders.Name(e.call.Order), "result", e.result, "err", e.err)
}

// noteTold notes whether the agent of a rank has a map. Calls of an earlier
// formation report nothing.
func (d *groupDuty) noteTold(e orderDone) {
	if p, ok := e.call.Order.(orders.Prepare); ok && e.agent && d.coord != nil && e.call.Epoch == d.coord.Epoch() {
		d.told.Took(e.call.Rank, p, e.err)
	}
}

// telling is how long it takes to send all ranks the map that is proposed: less where
// changes of one that they have are enough, and where relays pass it on.
func (d *groupDuty) telling() time.Duration {
	each := d.tellingOne()
	if d.told.All(d.size) {
		each = min(each, d.sending(d.rows*(d.shape.Slots+rowHead)*placeBytes, 1))
	}
	if d.relays != nil {
		parts := max(d.relays.Parts(), 1)
		return each * time.Duration(parts+d.size/parts)
	}
	return each * time.Duration(d.size)
}

// tellingOne is how long it takes to send one rank a whole map.
func (d *groupDuty) tellingOne() time.Duration {
	return d.sending(d.shape.Layers*d.size*d.shape.Slots*placeBytes, 1)
}
