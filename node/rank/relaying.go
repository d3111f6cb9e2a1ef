package rank

import (
	"context"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/fault"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/platform"
	"clovertrail.dev/telemetry"
)

// relayWithin bounds a read that a relay makes for the coordinator: less than the
// coordinator waits for the relay, so that one silent rank does not cost the news of the
// others.
const relayWithin = readWithin * 3 / 5

// gather reads ranks of the own group for its coordinator. A rank that does not answer in
// time is left out.
func (a *Agent) gather(ctx context.Context, q *mesh.GatherQuery) (*mesh.GatherReply, error) {
	members, ok := a.membersIn(q.Epoch)
	if !ok {
		return nil, fault.New(fault.BadRequest, "the group's members are not known in epoch %d", q.Epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, relayWithin)
	defer cancel()
	reports := make([]*mesh.RankReport, len(q.Ranks))
	var reads sync.WaitGroup
	for i, r := range q.Ranks {
		m, known := members[r]
		if !known {
			continue
		}
		reads.Go(func() { reports[i] = a.readFor(ctx, m, &q.Read) })
	}
	reads.Wait()
	return gathered(q.Ranks, reports), nil
}

// readFor reads one rank, the own or another's; nil if it did not answer.
func (a *Agent) readFor(ctx context.Context, m mesh.Member, q *mesh.ReadQuery) *mesh.RankReport {
	var report *mesh.RankReport
	var err error
	if m.Agent == a.settings().Peers {
		report, err = a.read(ctx, q)
	} else {
		report, err = mesh.Call[mesh.ReadQuery, mesh.RankReport](ctx, a.mesh, m.Agent, mesh.Read, q)
	}
	if err != nil {
		a.common.Log.Debug("rank not read for the coordinator", "rank", m.Rank, "from", q.From, "err", err)
		return nil
	}
	return report
}

func gathered(ranks []int, reports []*mesh.RankReport) *mesh.GatherReply {
	out := &mesh.GatherReply{}
	var picked []*mesh.ExpertCounts
	for i, r := range reports {
		if r != nil {
			out.Ranks = append(out.Ranks, mesh.NewRankStatus(ranks[i], r))
			picked = append(picked, r.ExpertCounts)
		}
	}
	out.ExpertCounts = mesh.SumExpertCounts(picked)
	return out
}

// deal hands an order to ranks of the own group, or to engines elsewhere.
func (a *Agent) deal(ctx context.Context, c *mesh.FanOutCall) (*mesh.FanOutReply, error) {
	if len(c.Engines) > 0 {
		return DealOut(ctx, a.common, a.http, c)
	}
	members, ok := a.membersIn(c.Order.Epoch)
	if !ok {
		return nil, fault.New(fault.BadRequest, "the group's members are not known in epoch %d", c.Order.Epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	reply := &mesh.FanOutReply{Results: make([]mesh.FanOutResult, len(c.Ranks))}
	var gives sync.WaitGroup
	for i, r := range c.Ranks {
		reply.Results[i].Result = orders.Lost
		if m, known := members[r]; known {
			gives.Go(func() { reply.Results[i] = a.dealOne(ctx, m, c.Order) })
		}
	}
	gives.Wait()
	return reply, nil
}

// dealOne hands the order to one rank, the own or another's.
func (a *Agent) dealOne(ctx context.Context, m mesh.Member, o mesh.OrderCall) mesh.FanOutResult {
	var reply *mesh.OrderReply
	var err error
	if o.Prepare != nil {
		prepare := *o.Prepare // the own agent makes it whole; the others receive what changed
		o.Prepare = &prepare
	}
	if m.Agent == a.settings().Peers {
		reply, err = a.command(ctx, &o)
	} else {
		reply, err = mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, a.mesh, m.Agent, mesh.SendOrder, &o)
	}
	if err != nil {
		return mesh.FanOutResult{Result: orders.Lost, UnknownBase: mesh.IsUnknownBase(err)}
	}
	return mesh.FanOutResult{Result: reply.Result}
}

// dealMost bounds how long orders are handed out for another group, whatever its coordinator asks.
const dealMost = time.Second

// DealOut gives one order to all engines that the call names, for the coordinator of a
// group that is not the own.
func DealOut(ctx context.Context, c telemetry.Common, client *http.Client, call *mesh.FanOutCall) (*mesh.FanOutReply, error) {
	o := call.Order.Order()
	if o == nil {
		return nil, fault.New(fault.BadRequest, "a call without an order")
	}
	ctx, cancel := context.WithTimeout(ctx, min(call.Timeout, dealMost))
	defer cancel()
	reply := &mesh.FanOutReply{Results: make([]mesh.FanOutResult, len(call.Engines))}
	var gives sync.WaitGroup
	for i, address := range call.Engines {
		gives.Go(func() {
			given := orders.Call{Epoch: call.Order.Epoch, Fence: call.Order.Fence, Order: o}
			res, err := giveOrder(ctx, c, platform.NewEngine(address, client), given)
			if err != nil {
				c.Log.Debug("order not answered", "engine", address, "order", orders.Name(o), "err", err)
				res = orders.Lost
			}
			reply.Results[i].Result = res
		})
	}
	gives.Wait()
	return reply, nil
}
