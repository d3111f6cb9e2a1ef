package node

import (
	"context"
	"sync"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/distribution"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/routing"
)

// hallPollTimeout bounds a request for the report of a hall.
const hallPollTimeout = agentPollTimeout

// hallPoller receives the status of targets from other entry boxes: for each other data hall from
// one box there, or, in a hall with hubs, for all halls from one of the hubs. It also serves such
// reports to other boxes. membership.HallMember decides which boxes are queried, and when.
//
// Lock order: mu, then the fleet's.
type hallPoller struct {
	entry    *Entry
	statuses *distribution.TargetStatuses

	mu           sync.Mutex
	member       *membership.HallMember
	storeHealthy func() bool
	loops        map[domain.HallName]context.CancelFunc // cancels the poll loop of a hall; has the halls with a running loop
}

func newHallPoller(e *Entry) *hallPoller {
	s := e.settings()
	return &hallPoller{
		entry: e, statuses: distribution.NewTargetStatuses(),
		member: membership.NewHallMember(domain.BoxID(s.Box), domain.HallName(s.Hall)), loops: map[domain.HallName]context.CancelFunc{},
	}
}

// with calls run under the lock.
func (p *hallPoller) with(run func(*membership.HallMember)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run(p.member)
}

// report implements mesh.QueryHall.
func (p *hallPoller) report(_ context.Context, q *mesh.HallQuery) (*mesh.HallReport, error) {
	r := p.statuses.Latest(clock.Now(), distribution.ScopeOf(q), p.entry.fleet.selectRanks(q.Subset()))
	p.mu.Lock()
	defer p.mu.Unlock()
	r.FollowsStore = p.member.ReportsFollowing(clock.Now(), p.storeHealthy != nil && p.storeHealthy())
	return r, nil
}

// setStoreHealthy sets the function that reports whether this box follows the store and the store
// answers it.
func (p *hallPoller) setStoreHealthy(healthy func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeHealthy = healthy
}

// storeFollowers returns how many boxes follow the store, and the position of this box among them.
func (p *hallPoller) storeFollowers() (boxes, position int) {
	hubs := false
	p.with(func(m *membership.HallMember) { boxes, position, hubs = m.StoreFollowers() })
	if hubs {
		return boxes, position
	}
	return p.entry.peering.reachable()
}

// hubFollowsStore reports whether a hub of the hall follows the store for this box.
func (p *hallPoller) hubFollowsStore() (follows bool) {
	p.with(func(m *membership.HallMember) { follows = m.HubFollowsStore(clock.Now()) })
	return follows
}

// isFirstHub reports whether this box is the hub that follows the store for the others of its hall.
func (p *hallPoller) isFirstHub() (first bool) {
	p.with(func(m *membership.HallMember) { first = m.IsFirstHub() })
	return first
}

// updateRole determines the current role of this box in its hall, and queries other hubs if it is one.
func (p *hallPoller) updateRole(ctx context.Context, ranks []domain.Target) {
	n := membership.HallNeighbours{Others: p.entry.peering.inHall(p.hall()), BoundSharers: p.entry.peering.boundSharerCount(), Ranks: ranks}
	var d membership.Duties
	p.with(func(m *membership.HallMember) { d = m.Update(n) })
	p.entry.fleet.setSubset(d.Subset)
	if d.Role != d.Before {
		p.entry.common.Log.Info("role in the hall changed", "role", d.Role, "before", d.Before)
	}
	p.startLoop(ctx, p.hall())
	for _, q := range d.Hubs {
		p.entry.peering.startCall("hub "+q.Hub.Address, func() { p.queryHub(ctx, q) })
	}
}

// queryHub queries another hub of this box's hall for the targets that it queries itself.
func (p *hallPoller) queryHub(ctx context.Context, q membership.HubQuery) {
	ctx, cancel := context.WithTimeout(ctx, hallPollTimeout)
	defer cancel()
	report, err := mesh.Call[mesh.HallQuery, mesh.HallReport](ctx, p.entry.mesh, q.Hub.Address, mesh.QueryHall, &mesh.HallQuery{Own: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if p.member.HubFailed(q) {
			p.logHub(q, true, err)
		}
		return
	}
	if p.member.HubAnswered(clock.Now(), q, report.FollowsStore) {
		p.logHub(q, false, nil)
	}
	if q.IsFirst {
		p.recordFollowsStore(report.FollowsStore)
	}
	p.applyStatuses(distribution.Hall, report.Targets)
}

func (p *hallPoller) logHub(q membership.HubQuery, lost bool, err error) {
	p.entry.common.Log.Info("reports of another hub of the hall; without them its targets are queried once their statuses are old", "peer", q.Hub.Box, "lost", lost, "err", err)
}

// recordFollowsStore passes on whether a hub reports that it follows the store; mu is held.
func (p *hallPoller) recordFollowsStore(follows bool) {
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { r.HubReported(clock.Now(), follows) })
}

func (p *hallPoller) hall() domain.HallName { return domain.HallName(p.entry.settings().Hall) }

// hasRole reports whether this box has the role.
func (p *hallPoller) hasRole(r membership.Role) (has bool) {
	p.with(func(m *membership.HallMember) { has = m.HasRole(r) })
	return has
}

// hubsPerTarget returns how many hubs query each target of the hall, if this box is a hub.
func (p *hallPoller) hubsPerTarget() (hubs int) {
	p.with(func(m *membership.HallMember) { hubs = m.HubsPerTarget() })
	return hubs
}

// targetsToPoll returns the targets that this box is to query itself.
func (p *hallPoller) targetsToPoll(ranks []domain.Target) (targets map[domain.InstanceID]bool) {
	boxes := p.entry.peering.reachableCount()
	p.with(func(m *membership.HallMember) { targets = m.TargetsToQuery(clock.Now(), ranks, boxes) })
	return targets
}

// forget deletes the report times of the targets for which keep returns false.
func (p *hallPoller) forget(keep func(domain.InstanceID) bool) {
	p.with(func(m *membership.HallMember) { m.Forget(keep) })
}

// startLoop starts the poll loop of the hall, unless it is running.
func (p *hallPoller) startLoop(ctx context.Context, hall domain.HallName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.member.Watch(hall) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p.loops[hall] = cancel
	go p.run(ctx, hall)
}

// stopLoops stops the poll loops of the halls that are not to be watched any more.
func (p *hallPoller) stopLoops(listed map[domain.HallName]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hall := range p.member.Unlisted(listed) {
		p.loops[hall]()
		delete(p.loops, hall)
	}
}

func (p *hallPoller) run(ctx context.Context, hall domain.HallName) {
	for ctx.Err() == nil {
		query, pause := false, membership.QueryInterval
		boxes := p.entry.peering.reachableCount()
		p.with(func(m *membership.HallMember) { query, pause = m.ShouldQueryPeer(clock.Now(), hall, boxes) })
		if query {
			p.poll(ctx, hall)
		}
		clock.SleepUntil(ctx, clock.Now().Add(pause))
	}
}

// poll queries one box of the hall, if any is reachable.
func (p *hallPoller) poll(ctx context.Context, hall domain.HallName) {
	reachable := p.entry.peering.inHall(hall)
	p.mu.Lock()
	q, ok := p.member.QueryTo(hall, reachable)
	p.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hallPollTimeout)
	defer cancel()
	report, err := mesh.Call[mesh.HallQuery, mesh.HallReport](ctx, p.entry.mesh, q.Box.Address, mesh.QueryHall, encodeQuery(q))
	if err != nil {
		p.handleFailure(q, err)
		return
	}
	p.applyReport(q, report)
}

func encodeQuery(q membership.PeerQuery) *mesh.HallQuery {
	encoded := &mesh.HallQuery{All: q.All}
	if !q.Subset.All() {
		encoded.Box, encoded.RankShare = q.Subset.Box, q.Subset.Share
	}
	return encoded
}

// handleFailure handles a failed request for the report of a hall.
func (p *hallPoller) handleFailure(q membership.PeerQuery, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.member.PeerFailed(q) {
		p.entry.common.Log.Warn("no peer reports on hall, watching its targets directly", "hall", q.Hall, "peer", q.Box.Box, "err", err)
	}
}

// applyReport applies the report of a box about a hall.
func (p *hallPoller) applyReport(q membership.PeerQuery, r *mesh.HallReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.member.PeerAnswered(clock.Now(), q, r.FollowsStore) {
		p.entry.common.Log.Info("hall watched through peer", "hall", q.Hall, "peer", q.Box.Box, "targets", len(r.Targets))
	}
	if p.member.StatesFollowing(q) {
		p.recordFollowsStore(r.FollowsStore)
	}
	p.applyStatuses(distribution.All, r.Targets)
}

// applyStatuses passes statuses that another box sent to the roster and the balancer, each as of the
// time at which it was received from its target; mu is held.
func (p *hallPoller) applyStatuses(source distribution.Scope, list []mesh.TargetStatus) {
	now := clock.Now()
	p.entry.fleet.with(func(ros *membership.Roster, b *routing.Balancer) {
		for _, x := range list {
			at := now.Add(-x.Age)
			target, _ := ros.Get(x.ID)
			p.member.Received(target.Hall(), x.ID, at)
			p.statuses.RecordFromPeer(at, source, x)
			own := domain.Rank{Epoch: uint64(x.Epoch), Open: x.Open}
			if ros.Reported(at, x.ID, own, uint64(x.Step), x.Running > 0) {
				b.Report(at, x.ID, routing.Report{Running: x.Running, Waiting: x.Waiting, Slowdown: float64(x.Slowdown)})
			}
			if x.BoxUnresponsive {
				ros.PeerUnreachable(now, x.ID, at)
			}
		}
	})
}
