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
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/telling"
	"clovertrail.dev/routing"
)

const (
	// watchEvery is the time between two questions to an agent: a few steps, and less
	// than a request takes, so that loads are known while they still hold.
	watchEvery = 200 * time.Millisecond
	// watchersUsual is how many boxes may ask an agent that often. Where more do, each
	// asks less often, so that an agent has as many to answer.
	watchersUsual = 12
	// watchWithin bounds a question to an agent.
	watchWithin = 400 * time.Millisecond
	// othersMost is how many agents of other groups an agent is told: enough that one
	// of them answers. They are of the highest ranks, since the lowest coordinate.
	othersMost = 4
	// watchPauseMost bounds the pause after questions that were not answered.
	watchPauseMost = time.Second
)

// watching asks the agents of model engines how these do, and sends them who else
// is in their group. What it learns it keeps for boxes of other data halls, which pass
// it of theirs (surveying).
type watching struct {
	entry     *Entry
	mesh      *mesh.Client
	agents    map[domain.InstanceID]context.CancelFunc
	surveying *surveying
}

func newWatching(e *Entry) *watching {
	return &watching{entry: e, mesh: e.mesh, agents: map[domain.InstanceID]context.CancelFunc{}, surveying: e.surveying}
}

// run keeps one loop for each agent that this box asks.
func (w *watching) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.update(ctx)
		clock.SleepUntil(ctx, clock.Now().Add(watchEvery))
	}
}

// update starts and ends the loops: a box that learns of a target from others keeps none,
// so that a hundred boxes do not each wake twice a second for each of 200 targets.
func (w *watching) update(ctx context.Context) {
	w.surveying.takeRole(ctx)
	var ranks []domain.Target
	w.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { ranks = r.Ranks() })
	listed := map[domain.InstanceID]bool{}
	asked := w.surveying.asked(ranks)
	for _, t := range ranks {
		listed[t.ID()] = true
		w.surveying.follow(ctx, t.Hall())
		if _, known := w.agents[t.ID()]; !known && asked[t.ID()] {
			actx, cancel := context.WithCancel(ctx)
			w.agents[t.ID()] = cancel
			go w.watch(actx, t.ID())
		}
	}
	for id, cancel := range w.agents {
		if !asked[id] {
			cancel()
			delete(w.agents, id)
		}
	}
	w.surveying.forget(func(id domain.InstanceID) bool { return listed[id] })
}

// watch asks the agent beside one target until ctx ends.
func (w *watching) watch(ctx context.Context, id domain.InstanceID) {
	update := telling.NewGroupUpdate(rand.Float64())
	pause := watchEvery
	for ctx.Err() == nil {
		askers := w.askers(id)
		usual := everyAmong(askers)
		update.Among(askers)
		if err := w.ask(ctx, id, update); err != nil {
			pause = max(min(pause*2, watchPauseMost), usual)
		} else {
			pause = usual
		}
		if waits := update.Waits(clock.Now()); waits > 0 {
			pause = min(pause, waits)
		}
		clock.SleepUntil(ctx, clock.Now().Add(pause))
	}
}

// askers are how many boxes ask the agent, this one included: the boxes of its hall, or
// its hubs, or all boxes where it is of another hall.
func (w *watching) askers(id domain.InstanceID) int {
	hall := domain.HallName(w.entry.settings().Hall)
	switch {
	case w.hallOf(id) != hall:
		boxes, _ := w.entry.peering.inTouch()
		return boxes
	case w.surveying.is(membership.Hub):
		return membership.HubsPerHall
	default:
		return w.entry.peering.near(hall)
	}
}

// everyAmong is the time between two questions of a box to one that so many ask.
func everyAmong(boxes int) time.Duration {
	return watchEvery * time.Duration(max(boxes, watchersUsual)) / watchersUsual
}

func (w *watching) hallOf(id domain.InstanceID) domain.HallName {
	var t domain.Target
	w.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { t, _ = r.Get(id) })
	return t.Hall()
}

// ask asks the agent, and tells it of its group if its answer shows that this is due.
func (w *watching) ask(ctx context.Context, id domain.InstanceID, u *telling.GroupUpdate) error {
	address, epoch, ok := w.agent(id)
	if !ok {
		return nil
	}
	report, err := w.put(ctx, address, &mesh.WatchQuery{Epoch: epoch})
	if err != nil {
		if boxSilent(err) {
			w.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { r.Unreachable(clock.Now(), id) })
			w.surveying.sightings.Missed(id)
		}
		return err
	}
	if !id.MatchesStart(report.Born) {
		w.otherStart(id, report.Born)
		return nil
	}
	w.surveying.sightings.Saw(clock.Now(), id, report)
	w.take(id, report)
	if report.Leaving {
		w.entry.fleet.leaves(clock.Now(), id, "agent")
	}
	u.Acknowledged(report.Knows)
	if !u.Due(clock.Now(), epoch) {
		return nil
	}
	_, err = w.put(ctx, address, w.groupUpdate(id))
	return err
}

// otherStart takes that the engine is not the start that was asked about. A later one has
// taken its place, and gets work once the list names it; an earlier one reports nothing.
func (w *watching) otherStart(id domain.InstanceID, born domain.StartTime) {
	w.entry.common.Log.Warn("report of another start of the target, waiting for the list", "target", id, "born", born)
	if born > id.StartTime() {
		w.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { r.Replaced(id) })
	}
}

// put asks the agent at the address.
func (w *watching) put(ctx context.Context, address string, q *mesh.WatchQuery) (*mesh.RankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWithin)
	defer cancel()
	return mesh.Call[mesh.WatchQuery, mesh.RankReport](ctx, w.mesh, address, mesh.Watch, q)
}

// boxSilent reports that nothing at all came back from the box: not even a refusal of
// the connection, as from a box on which only the agent is down.
func boxSilent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// agent is the address of the target's agent, and the epoch of its group as listed.
func (w *watching) agent(id domain.InstanceID) (string, orders.Epoch, bool) {
	var target domain.Target
	var known bool
	w.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { target, known = r.Get(id) })
	own, grouped := target.Rank()
	if !known || !grouped {
		return "", 0, false
	}
	return w.agentOf(target), orders.Epoch(own.Epoch), true
}

// helpersNear is how many entry boxes of this hall an agent is sent as helpers: orders
// for a group of a hundred ranks are handed out by a few at once.
const helpersNear = 8

// helpers are this box and some others of its hall.
func (w *watching) helpers() []string {
	list := []string{w.entry.settings().Peers}
	for _, c := range w.entry.peering.in(domain.HallName(w.entry.settings().Hall)) {
		if len(list) <= helpersNear {
			list = append(list, c.Address)
		}
	}
	return list
}

// groupUpdate is the question to the agent with what it cannot find out by itself: the members
// of its group, if all are listed in one epoch, and who hands orders on for it.
func (w *watching) groupUpdate(id domain.InstanceID) *mesh.WatchQuery {
	var target domain.Target
	var news []membership.TargetUpdate
	w.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		target, _ = r.Get(id)
		news = r.All()
	})
	own, _ := target.Rank()
	q := &mesh.WatchQuery{Epoch: orders.Epoch(own.Epoch), Shape: w.shape(target.Service()), Helpers: w.helpers()}
	entries := len(q.Helpers)
	for _, n := range news {
		r, ok := n.Target.Rank()
		switch {
		case !ok || n.Target.Service() != target.Service():
		case r.Group == own.Group && r.Epoch == own.Epoch:
			q.Members = append(q.Members, mesh.Member{
				Rank: r.Number, Instance: n.ID, Target: n.Target.Address(), Agent: w.agentOf(*n.Target),
				Hall: n.Target.Hall(),
			})
		case r.Group != own.Group && r.Number >= r.Size-othersMost && len(q.Helpers)-entries < othersMost:
			q.Helpers = append(q.Helpers, w.agentOf(*n.Target))
		}
	}
	if len(q.Members) != own.Size {
		q.Members = nil
	}
	return q
}

// agentOf is the address of the agent on the target's box.
func agentOf(t domain.Target, port int) string {
	host, _, err := net.SplitHostPort(t.Address())
	if err != nil {
		host = t.Address()
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// agentOf is the address of the agent on the target's box.
func (w *watching) agentOf(t domain.Target) string { return agentOf(t, w.entry.settings().AgentPort) }

// shape is that of the maps of the service's groups; nil if it has none.
func (w *watching) shape(svc domain.ServiceName) *rebalance.Shape {
	c := w.entry.gateway.Catalog()
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

func (w *watching) take(id domain.InstanceID, r *mesh.RankReport) {
	now := clock.Now()
	own := domain.Rank{Group: r.Group, Epoch: uint64(r.State.Epoch), Number: r.Rank, Size: r.Size, Open: r.State.Open}
	w.entry.fleet.with(func(ros *membership.Roster, b *routing.Balancer) {
		ros.Reported(now, id, own, uint64(r.State.Step), r.Running > 0)
		b.Report(now, id, routing.Report{Running: r.Running, Waiting: r.Waiting, Slowdown: r.Pace})
	})
}
