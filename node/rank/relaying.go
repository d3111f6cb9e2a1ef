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

// relayReadTimeout bounds a read that a relay makes for the coordinator. It is shorter than the
// coordinator's timeout for the relay, so that one rank that does not respond does not cost the
// reports of the others.
const relayReadTimeout = readTimeout * 3 / 5

// handleGather reads ranks of the own group for its coordinator. The response leaves out ranks
// that do not respond in time.
func (a *Agent) handleGather(ctx context.Context, q *mesh.GatherQuery) (*mesh.GatherReply, error) {
	members, ok := a.membersIn(q.Epoch)
	if !ok {
		return nil, fault.New(fault.BadRequest, "members of the group in epoch %d were not received", q.Epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, relayReadTimeout)
	defer cancel()
	reports := make([]*mesh.RankReport, len(q.Ranks))
	var reads sync.WaitGroup
	for i, r := range q.Ranks {
		m, known := members[r]
		if !known {
			continue
		}
		reads.Go(func() { reports[i] = a.readForCoordinator(ctx, m, &q.Read) })
	}
	reads.Wait()
	return gatherReply(q.Ranks, reports), nil
}

// readForCoordinator reads the own or another rank; nil if the read failed.
func (a *Agent) readForCoordinator(ctx context.Context, m mesh.Member, q *mesh.ReadQuery) *mesh.RankReport {
	var report *mesh.RankReport
	var err error
	if m.Agent == a.settings().Peers {
		report, err = a.handleRead(ctx, q)
	} else {
		report, err = mesh.Call[mesh.ReadQuery, mesh.RankReport](ctx, a.mesh, m.Agent, mesh.Read, q)
	}
	if err != nil {
		a.common.Log.Debug("relay could not read rank; leaving it out of the response", "rank", m.Rank, "from", q.From, "err", err)
		return nil
	}
	return report
}

// gatherReply combines the reports into one response. A nil report is left out.
func gatherReply(ranks []int, reports []*mesh.RankReport) *mesh.GatherReply {
	out := &mesh.GatherReply{}
	var counts []*mesh.ExpertCounts
	for i, r := range reports {
		if r != nil {
			out.Ranks = append(out.Ranks, mesh.NewRankStatus(ranks[i], r))
			counts = append(counts, r.ExpertCounts)
		}
	}
	out.ExpertCounts = mesh.SumExpertCounts(counts)
	return out
}

// handleFanOut sends an order to ranks of the own group, or to the engines that the call names.
func (a *Agent) handleFanOut(ctx context.Context, c *mesh.FanOutCall) (*mesh.FanOutReply, error) {
	if len(c.Engines) > 0 {
		return ForwardToEngines(ctx, a.common, a.http, c)
	}
	members, ok := a.membersIn(c.Order.Epoch)
	if !ok {
		return nil, fault.New(fault.BadRequest, "members of the group in epoch %d were not received", c.Order.Epoch)
	}
	results := fanOut(ctx, len(c.Ranks), c.Timeout, func(ctx context.Context, i int) mesh.FanOutResult {
		m, known := members[c.Ranks[i]]
		if !known {
			return mesh.FanOutResult{Result: orders.Lost}
		}
		return a.relayOrder(ctx, m, c.Order)
	})
	return &mesh.FanOutReply{Results: results}, nil
}

// relayOrder sends the order to the own or another rank.
func (a *Agent) relayOrder(ctx context.Context, m mesh.Member, o mesh.OrderCall) mesh.FanOutResult {
	var reply *mesh.OrderReply
	var err error
	if o.Prepare != nil {
		prepare := *o.Prepare // copied because the own agent expands it in place, and the others are to receive only the changed rows
		o.Prepare = &prepare
	}
	if m.Agent == a.settings().Peers {
		reply, err = a.handleSendOrder(ctx, &o)
	} else {
		reply, err = mesh.Call[mesh.OrderCall, mesh.OrderReply](ctx, a.mesh, m.Agent, mesh.SendOrder, &o)
	}
	if err != nil {
		return mesh.FanOutResult{Result: orders.Lost, UnknownBase: mesh.IsUnknownBase(err)}
	}
	return mesh.FanOutResult{Result: reply.Result}
}

// maxForwardTime bounds the time spent on forwarding an order of another group, whatever
// timeout its coordinator requests.
const maxForwardTime = time.Second

// ForwardToEngines sends one order to all engines that the call names, on behalf of another
// group's coordinator.
func ForwardToEngines(ctx context.Context, c telemetry.Common, client *http.Client, call *mesh.FanOutCall) (*mesh.FanOutReply, error) {
	o := call.Order.Order()
	if o == nil {
		return nil, fault.New(fault.BadRequest, "call to forward an order to %d engines contains no order", len(call.Engines))
	}
	engineCall := orders.Call{Epoch: call.Order.Epoch, Fence: call.Order.Fence, Order: o}
	results := fanOut(ctx, len(call.Engines), min(call.Timeout, maxForwardTime), func(ctx context.Context, i int) mesh.FanOutResult {
		res, err := issueOrder(ctx, c, platform.NewEngine(call.Engines[i], client), engineCall)
		if err != nil {
			c.Log.Debug("engine did not respond to forwarded order; reporting it as lost", "engine", call.Engines[i], "order", orders.Name(o), "err", err)
			res = orders.Lost
		}
		return mesh.FanOutResult{Result: res}
	})
	return &mesh.FanOutReply{Results: results}, nil
}
