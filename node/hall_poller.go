package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

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
// reports to other boxes. membership.HallReporters and membership.RoleOf decide which boxes are
// queried.
//
// Lock order: mu, then the fleet's.
type hallPoller struct {
	entry    *Entry
	statuses *distribution.TargetStatuses

	mu           sync.Mutex
	reporters    *membership.HallReporters
	role         membership.Role
	share        *membership.HubShare // of a hub; nil for other roles
	subset       membership.Subset    // targets that this box uses as a follower
	first        bool                 // whether no box of the hall precedes this one
	hubFollowsAt time.Time            // when a hub of the hall last reported that it follows the store
	storeHealthy func() bool
	lostHubs     map[domain.BoxID]bool                  // hubs of the hall that did not answer the last query of this hub
	halls        map[domain.HallName]context.CancelFunc // cancels the poll loop of a hall; has the halls with a running loop
}

func newHallPoller(e *Entry) *hallPoller {
	return &hallPoller{
		entry: e, statuses: distribution.NewTargetStatuses(),
		reporters: membership.NewHallReporters(domain.HallName(e.settings().Hall)), halls: map[domain.HallName]context.CancelFunc{}, lostHubs: map[domain.BoxID]bool{},
	}
}

// report implements mesh.QueryHall.
func (p *hallPoller) report(_ context.Context, q *mesh.HallQuery) (*mesh.HallReport, error) {
	r := p.statuses.Latest(clock.Now(), distribution.ScopeOf(q), p.entry.fleet.selectRanks(q.Subset()))
	p.mu.Lock()
	defer p.mu.Unlock()
	follows := p.storeHealthy != nil && p.storeHealthy() || p.storeFollowed()
	r.FollowsStore = p.role != membership.Follower && follows
	return r, nil
}

// setStoreHealthy sets the function that reports whether this box follows the store and the store
// answers it.
func (p *hallPoller) setStoreHealthy(healthy func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeHealthy = healthy
}

// hubReliedOnFor is how long a follower relies on a hub after the hub reported that it follows the
// store: the time of a few requests to the hub.
const hubReliedOnFor = time.Second

// storeFollowers returns how many boxes follow the store, and the position of this box among them.
// If this box is a hub, the followers are the first hubs of all halls, which are enough for one of them to
// notice soon that the store has silently dropped a watch. Otherwise all boxes follow the store.
func (p *hallPoller) storeFollowers() (boxes, position int) {
	p.mu.Lock()
	role := p.role
	halls := slices.Sorted(maps.Keys(p.halls))
	p.mu.Unlock()
	if role != membership.Hub {
		return p.entry.peering.reachable()
	}
	return len(halls), max(slices.Index(halls, p.hall()), 0)
}

// hubFollowsStore reports whether a hub of the hall follows the store for this box.
func (p *hallPoller) hubFollowsStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeFollowed()
}

// isFirstHub reports whether this box is the hub that follows the store for the others of its hall.
func (p *hallPoller) isFirstHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.role == membership.Hub && p.first
}

// storeFollowed is hubFollowsStore; mu is held.
func (p *hallPoller) storeFollowed() bool {
	return p.role != membership.Standalone && clock.Since(p.hubFollowsAt) < hubReliedOnFor
}

// updateRole determines the current role of this box in its hall.
func (p *hallPoller) updateRole(ctx context.Context) {
	hall := p.hall()
	self, others := domain.BoxID(p.entry.settings().Box), p.entry.peering.inHall(hall)
	role := membership.RoleOf(self, others)
	boxes := p.entry.peering.boundSharerCount()
	var share *membership.HubShare
	if role == membership.Hub {
		share = membership.NewHubShare(self, membership.FellowHubs(self, others), p.targetsInHall(hall))
	}
	p.mu.Lock()
	before := p.role
	_, preceded := membership.FirstHub(self, others)
	p.role, p.first = role, !preceded
	p.subset = membership.NewSubset(self, 1)
	if role == membership.Follower {
		p.subset = membership.NewSubset(self, boxes)
	}
	p.reporters.SetSubset(p.subset)
	p.entry.fleet.setSubset(p.subset)
	if !share.Equal(p.share) {
		p.share = share // else the present one is kept with the targets that it remembers
	}
	p.reporters.SetRole(role, p.share)
	p.mu.Unlock()
	if role != before {
		p.entry.common.Log.Info("role in the hall changed", "role", role, "before", before)
	}
	p.startLoop(ctx, hall)
	if role == membership.Hub {
		p.queryHubs(ctx, self, others)
	}
}

// targetsInHall returns the number of ranks in the hall.
func (p *hallPoller) targetsInHall(hall domain.HallName) int {
	n := 0
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		for _, t := range r.Ranks() {
			if t.Hall() == hall {
				n++
			}
		}
	})
	return n
}

// queryHubs queries other hubs of this box's hall, in the background: those that share the targets of
// the hall with it, and the first one, which follows the store for it.
func (p *hallPoller) queryHubs(ctx context.Context, self domain.BoxID, others []membership.Contact) {
	first, _ := membership.FirstHub(self, others)
	hubs := membership.FellowHubs(self, others)
	shared := p.hubsPerTarget() <= len(hubs)
	for _, c := range hubs {
		if shared || c.Box == first.Box {
			p.entry.peering.startCall("hub "+c.Address, func() { p.queryHub(ctx, c, c.Box == first.Box) })
		}
	}
}

// queryHub queries another hub of this box's hall for the targets that it queries itself. If it is the
// first hub, the report shows whether it follows the store for this box.
func (p *hallPoller) queryHub(ctx context.Context, c membership.Contact, isFirst bool) {
	ctx, cancel := context.WithTimeout(ctx, hallPollTimeout)
	defer cancel()
	report, err := mesh.Call[mesh.HallQuery, mesh.HallReport](ctx, p.entry.mesh, c.Address, mesh.QueryHall, &mesh.HallQuery{Own: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost := err != nil; lost != p.lostHubs[c.Box] {
		p.lostHubs[c.Box] = lost
		p.entry.common.Log.Info("reports of another hub of the hall; without them its targets are queried once their statuses are old", "peer", c.Box, "lost", lost, "err", err)
	}
	if err != nil {
		return
	}
	if isFirst {
		p.recordFollowsStore(report.FollowsStore)
	}
	p.applyStatuses(distribution.Hall, report.Targets)
}

// recordFollowsStore records whether a hub reports that it follows the store; mu is held. If it does not, the store
// is unavailable to it, and entries that it reports as removed may only have lapsed.
func (p *hallPoller) recordFollowsStore(follows bool) {
	now := clock.Now()
	p.hubFollowsAt = time.Time{}
	if follows {
		p.hubFollowsAt = now
	}
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		if follows {
			r.StoreAvailable(now)
		} else {
			r.StoreUnavailable(now)
		}
	})
}

func (p *hallPoller) hall() domain.HallName { return domain.HallName(p.entry.settings().Hall) }

// hasRole reports whether this box has the role.
func (p *hallPoller) hasRole(r membership.Role) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.role == r
}

// hubsPerTarget returns how many hubs query each target of the hall, if this box is a hub.
func (p *hallPoller) hubsPerTarget() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.share == nil {
		return membership.HubsPerHall
	}
	return p.share.Replicas()
}

// targetsToPoll returns the targets that this box is to query itself.
func (p *hallPoller) targetsToPoll(ranks []domain.Target) map[domain.InstanceID]bool {
	now, maxAge := clock.Now(), p.maxReportAge()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[domain.InstanceID]bool{}
	for _, t := range ranks {
		if p.reporters.ShouldQueryTarget(now, t, maxAge) {
			out[t.ID()] = true
		}
	}
	return out
}

// interval returns the time between two requests about a hall.
func (p *hallPoller) interval() time.Duration {
	p.mu.Lock()
	role, halls := p.role, len(p.halls)
	p.mu.Unlock()
	return membership.HallQueryInterval(role, p.entry.peering.reachableCount(), halls)
}

// maxReportAge returns the age up to which this box relies on another box's report of a target.
func (p *hallPoller) maxReportAge() time.Duration { return membership.MaxReportAge(p.interval()) }

// forget deletes the report times of the targets for which keep returns false.
func (p *hallPoller) forget(keep func(domain.InstanceID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reporters.Forget(keep)
	if p.share != nil {
		p.share.Forget(keep)
	}
}

// startLoop starts the poll loop of the hall, unless it is running.
func (p *hallPoller) startLoop(ctx context.Context, hall domain.HallName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, running := p.halls[hall]; running {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p.halls[hall] = cancel
	go p.run(ctx, hall)
}

// stopLoops stops the poll loops of the halls without a listed target, except that of this box's own.
func (p *hallPoller) stopLoops(listed map[domain.HallName]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hall, cancel := range p.halls {
		if !listed[hall] && hall != p.hall() {
			cancel()
			delete(p.halls, hall)
		}
	}
}

func (p *hallPoller) run(ctx context.Context, hall domain.HallName) {
	for ctx.Err() == nil {
		pause := p.interval()
		if p.shouldPoll(hall) {
			p.poll(ctx, hall)
		} else {
			pause = p.maxReportAge() / 2 // until the next check whether the hubs still report on the hall
		}
		clock.SleepUntil(ctx, clock.Now().Add(pause))
	}
}

// shouldPoll reports whether this box is to query another box about the hall now.
func (p *hallPoller) shouldPoll(hall domain.HallName) bool {
	maxAge := p.maxReportAge()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reporters.ShouldQueryPeer(clock.Now(), hall, maxAge)
}

// poll queries one box of the hall, if any is reachable.
func (p *hallPoller) poll(ctx context.Context, hall domain.HallName) {
	hubs := membership.HubsOf(p.entry.peering.inHall(hall))
	p.mu.Lock()
	box, ok := p.reporters.Choose(hall, hubs)
	p.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hallPollTimeout)
	defer cancel()
	report, err := mesh.Call[mesh.HallQuery, mesh.HallReport](ctx, p.entry.mesh, box.Address, mesh.QueryHall,
		p.query(hall))
	if err != nil {
		p.handleFailure(hall, box.Box, err)
		return
	}
	p.applyReport(hall, box.Box, report)
}

// query returns the query of this box about the hall.
func (p *hallPoller) query(hall domain.HallName) *mesh.HallQuery {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &mesh.HallQuery{All: hall == p.hall()}
	if p.role == membership.Follower && !p.subset.All() {
		q.Box, q.RankShare = p.subset.Box, p.subset.Share
	}
	return q
}

// handleFailure handles a failed request to the box for the report of the hall.
func (p *hallPoller) handleFailure(hall domain.HallName, box domain.BoxID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reporters.Failed(hall, box) {
		p.entry.common.Log.Warn("no peer reports on hall, watching its targets directly", "hall", hall, "peer", box, "err", err)
	}
}

// applyReport applies the report of a box about a hall.
func (p *hallPoller) applyReport(hall domain.HallName, box domain.BoxID, r *mesh.HallReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reporters.Answered(hall, box) {
		p.entry.common.Log.Info("hall watched through peer", "hall", hall, "peer", box, "targets", len(r.Targets))
	}
	if hall == p.hall() {
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
			p.reporters.Received(target.Hall(), x.ID, at)
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
