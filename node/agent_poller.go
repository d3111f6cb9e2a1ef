package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/distribution"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/routing"
)

const (
	// agentPollTimeout bounds a request to an agent.
	agentPollTimeout = 400 * time.Millisecond
	// otherGroupAgents is the number of agents of other groups whose addresses an agent receives as
	// forwarders: enough that one of them answers. The agents of the highest ranks are chosen,
	// because the lowest ranks coordinate.
	otherGroupAgents = 4
	// maxAgentPollPause bounds the pause after requests that failed.
	maxAgentPollPause = time.Second
)

// agentPoller queries the agents of model engines for the status of their engines, and sends them
// the members of their groups. It stores the statuses in hallPoller, which exchanges them with the
// entry boxes of other data halls.
type agentPoller struct {
	entry  *Entry
	mesh   *mesh.Client
	agents map[domain.InstanceID]context.CancelFunc // cancels the poll loop of an agent; has the agents with a running loop
	halls  *hallPoller
}

func newAgentPoller(e *Entry) *agentPoller {
	return &agentPoller{entry: e, mesh: e.mesh, agents: map[domain.InstanceID]context.CancelFunc{}, halls: e.hallPoller}
}

// run runs a poll loop for each agent that this box queries, until ctx ends.
func (p *agentPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.updateLoops(ctx)
		clock.SleepUntil(ctx, clock.Now().Add(membership.QueryInterval))
	}
}

// updateLoops starts and stops poll loops. There is no loop for a target whose status this box
// receives from others, so that a hundred boxes do not each wake twice a second for each of 200
// targets.
func (p *agentPoller) updateLoops(ctx context.Context) {
	var ranks []domain.Target
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { ranks = r.Ranks() })
	p.halls.updateRole(ctx, ranks)
	listed, halls := map[domain.InstanceID]bool{}, map[domain.HallName]bool{}
	polled := p.halls.targetsToPoll(ranks)
	for _, t := range ranks {
		listed[t.ID()] = true
		halls[t.Hall()] = true
		p.halls.startLoop(ctx, t.Hall())
		if _, running := p.agents[t.ID()]; !running && polled[t.ID()] {
			actx, cancel := context.WithCancel(ctx)
			p.agents[t.ID()] = cancel
			go p.poll(actx, t.ID())
		}
	}
	for id, cancel := range p.agents {
		if !polled[id] {
			cancel()
			delete(p.agents, id)
		}
	}
	p.halls.stopLoops(halls)
	p.halls.forget(func(id domain.InstanceID) bool { return listed[id] })
}

// poll queries the agent of one target until ctx ends.
func (p *agentPoller) poll(ctx context.Context, id domain.InstanceID) {
	update := distribution.NewGroupUpdate(rand.Float64())
	pause := membership.QueryInterval
	for ctx.Err() == nil {
		pollers := p.pollers(id)
		usual := membership.QueryIntervalFor(pollers)
		update.SetBoxes(pollers)
		if err := p.query(ctx, id, update); err != nil {
			pause = max(min(pause*2, maxAgentPollPause), usual)
		} else {
			pause = usual
		}
		if waits := update.Delay(clock.Now()); waits > 0 {
			pause = min(pause, waits)
		}
		clock.SleepUntil(ctx, clock.Now().Add(pause))
	}
}

// pollers returns how many boxes query the target's agent, including this one: the boxes of its
// hall, or the hubs of its hall, or all boxes if the agent is in another hall.
func (p *agentPoller) pollers(id domain.InstanceID) int {
	hall := domain.HallName(p.entry.settings().Hall)
	switch {
	case p.hallOf(id) != hall:
		boxes, _ := p.entry.peering.reachable()
		return boxes
	case p.halls.hasRole(membership.Hub):
		return p.halls.hubsPerTarget()
	default:
		return p.entry.peering.countInHall(hall)
	}
}

func (p *agentPoller) hallOf(id domain.InstanceID) domain.HallName {
	var t domain.Target
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { t, _ = r.Get(id) })
	return t.Hall()
}

// query queries the target's agent, and then sends it the members of its group if such an update is
// due.
func (p *agentPoller) query(ctx context.Context, id domain.InstanceID, u *distribution.GroupUpdate) error {
	address, epoch, ok := p.agent(id)
	if !ok {
		return nil
	}
	report, err := p.send(ctx, address, &mesh.WatchQuery{Epoch: epoch})
	if err != nil {
		if hostUnresponsive(err) {
			p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { r.Unreachable(clock.Now(), id) })
			p.halls.statuses.MarkUnreachable(id)
		}
		return err
	}
	if !id.MatchesStart(report.Born) {
		p.handleOtherInstance(id, report.Born)
		return nil
	}
	p.halls.statuses.RecordReport(clock.Now(), id, report)
	p.applyReport(id, report)
	if report.Leaving {
		p.entry.fleet.leavingReported(clock.Now(), id, "agent")
	}
	u.Acknowledged(report.MembersEpoch)
	if !u.Due(clock.Now(), epoch) {
		return nil
	}
	_, err = p.send(ctx, address, p.groupUpdate(id))
	return err
}

// handleOtherInstance handles a report of another start of the engine than the one queried. A later
// start has replaced the queried one, and receives work once the list of targets has it; the report
// of an earlier start is ignored.
func (p *agentPoller) handleOtherInstance(id domain.InstanceID, born domain.StartTime) {
	p.entry.common.Log.Warn("agent reported another start of the engine than the listed one, waiting for the list of targets", "target", id, "born", born)
	if born > id.StartTime() {
		p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { r.Replaced(id) })
	}
}

// send sends the request to the agent at the address and returns its report.
func (p *agentPoller) send(ctx context.Context, address string, q *mesh.WatchQuery) (*mesh.RankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, agentPollTimeout)
	defer cancel()
	return mesh.Call[mesh.WatchQuery, mesh.RankReport](ctx, p.mesh, address, mesh.Watch, q)
}

// hostUnresponsive reports whether the target's box did not respond at all: a box on which only the
// agent is down would at least refuse the connection.
func hostUnresponsive(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// agent returns the address of the target's agent, and the listed epoch of its group.
func (p *agentPoller) agent(id domain.InstanceID) (string, orders.Epoch, bool) {
	var target domain.Target
	var known bool
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { target, known = r.Get(id) })
	own, grouped := target.Rank()
	if !known || !grouped {
		return "", 0, false
	}
	return p.agentAddress(target), orders.Epoch(own.Epoch), true
}

// maxHallForwarders is the number of other entry boxes of this hall whose addresses an agent receives
// as forwarders: a few forwarders together send the orders for a group of a hundred ranks.
const maxHallForwarders = 8

// forwarders returns the addresses of this box and of some others of its hall.
func (p *agentPoller) forwarders() []string {
	list := []string{p.entry.settings().Peers}
	for _, c := range p.entry.peering.inHall(domain.HallName(p.entry.settings().Hall)) {
		if len(list) <= maxHallForwarders {
			list = append(list, c.Address)
		}
	}
	return list
}

// groupUpdate returns a request with what the agent cannot find out by itself: the members of its
// group, if all are listed in one epoch, and the processes that forward orders for it.
func (p *agentPoller) groupUpdate(id domain.InstanceID) *mesh.WatchQuery {
	var target domain.Target
	var updates []membership.TargetUpdate
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		target, _ = r.Get(id)
		updates = r.All()
	})
	own, _ := target.Rank()
	q := &mesh.WatchQuery{Epoch: orders.Epoch(own.Epoch), Shape: p.mapShape(target.Service()), Forwarders: p.forwarders()}
	entries := len(q.Forwarders)
	for _, u := range updates {
		r, ok := u.Target.Rank()
		switch {
		case !ok || u.Target.Service() != target.Service():
		case r.Group == own.Group && r.Epoch == own.Epoch:
			q.Members = append(q.Members, mesh.Member{
				Rank: r.Number, Instance: u.ID, Target: u.Target.Address(), Agent: p.agentAddress(*u.Target),
				Hall: u.Target.Hall(),
			})
		case r.Group != own.Group && r.Number >= r.Size-otherGroupAgents && len(q.Forwarders)-entries < otherGroupAgents:
			q.Forwarders = append(q.Forwarders, p.agentAddress(*u.Target))
		}
	}
	if len(q.Members) != own.Size {
		q.Members = nil
	}
	return q
}

// agentAddress returns the address of the agent on the target's box, for the given port.
func agentAddress(t domain.Target, port int) string {
	host, _, err := net.SplitHostPort(t.Address())
	if err != nil {
		host = t.Address()
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// agentAddress returns the address of the agent on the target's box, for the port of the settings.
func (p *agentPoller) agentAddress(t domain.Target) string {
	return agentAddress(t, p.entry.settings().AgentPort)
}

// mapShape returns the shape of the maps of the service's groups; nil if the service has none.
func (p *agentPoller) mapShape(svc domain.ServiceName) *rebalance.Shape {
	c := p.entry.gateway.Catalog()
	if c == nil {
		return nil
	}
	s, ok := c.Service(svc)
	if !ok || s.Engine == nil || s.Engine.Experts == nil {
		return nil
	}
	x := s.Engine.Experts
	return &rebalance.Shape{
		Layers: x.Layers, Experts: x.PerLayer, Slots: x.Slots, Staging: x.Staging, CopyTime: x.CopyTime, ExpertShare: x.Share,
	}
}

// applyReport passes the report of the target's agent to the roster and the balancer.
func (p *agentPoller) applyReport(id domain.InstanceID, r *mesh.RankReport) {
	now := clock.Now()
	own := domain.Rank{Group: r.Group, Epoch: uint64(r.State.Epoch), Number: r.Rank, Size: r.Size, Open: r.State.Open}
	p.entry.fleet.with(func(ros *membership.Roster, b *routing.Balancer) {
		ros.Reported(now, id, own, uint64(r.State.Step), r.Running > 0)
		b.Report(now, id, routing.Report{Running: r.Running, Waiting: r.Waiting, Slowdown: r.Slowdown})
	})
}
