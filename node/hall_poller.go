package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/telling"
	"clovertrail.dev/routing"
)

const (
	// hallPollTimeout bounds a request for the report of a hall.
	hallPollTimeout = agentPollTimeout
	// minMaxReportAge is the lower limit of the age at which this box no longer relies on another
	// box's report of a target and queries the target itself: the time of several requests to the
	// target and to that box. It is shorter than the time after which a target that does not report
	// is suspect.
	minMaxReportAge = time.Second
)

// hallPoller receives the status of targets from other entry boxes: for each other data hall from
// one box there, or, in a hall with hubs, for all halls from one of the hubs. It also serves such
// reports to other boxes. membership.HallReporters and membership.RoleOf decide which boxes are
// queried.
//
// Lock order: mu, then the fleet's.
type hallPoller struct {
	entry    *Entry
	statuses *telling.Sightings

	mu           sync.Mutex
	reporters    *membership.HallReporters
	role         membership.Role
	position     int       // of this box among the boxes of its hall, in the order of names
	hubFollowsAt time.Time // when a hub of the hall last reported that it follows the store
	storeHealthy func() bool
	halls        map[domain.HallName]bool // the halls with a running poll loop
}

func newHallPoller(e *Entry) *hallPoller {
	return &hallPoller{
		entry: e, statuses: telling.NewSightings(),
		reporters: membership.NewHallReporters(domain.HallName(e.settings().Hall)), halls: map[domain.HallName]bool{},
	}
}

// report implements mesh.Survey.
func (s *hallPoller) report(_ context.Context, q *mesh.HallQuery) (*mesh.HallReport, error) {
	r := s.statuses.Latest(clock.Now(), q.All)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Follows = s.role != membership.Follower && s.storeHealthy != nil && s.storeHealthy()
	return r, nil
}

// setStoreHealthy sets the function that reports whether this box follows the store and the store
// answers it.
func (s *hallPoller) setStoreHealthy(healthy func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeHealthy = healthy
}

// hubReliedOnFor is how long a follower relies on a hub after the hub reported that it follows the
// store: the time of a few requests to the hub.
const hubReliedOnFor = time.Second

// storeFollowers returns how many boxes follow the store, and the position of this box among them.
// If this box is a hub, they are the hubs of all halls, and one of them soon notices a watch that
// the store has silently dropped; otherwise they are all boxes.
func (s *hallPoller) storeFollowers() (boxes, position int) {
	s.mu.Lock()
	role, own := s.role, s.position
	halls := slices.Sorted(maps.Keys(s.halls))
	s.mu.Unlock()
	if role != membership.Hub {
		return s.entry.peering.reachable()
	}
	hall := max(slices.Index(halls, s.hall()), 0)
	return membership.HubsPerHall * len(halls), hall*membership.HubsPerHall + own
}

// hubFollowsStore reports whether a hub of the hall follows the store for this box.
func (s *hallPoller) hubFollowsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == membership.Follower && clock.Since(s.hubFollowsAt) < hubReliedOnFor
}

// updateRole determines the current role of this box in its hall.
func (s *hallPoller) updateRole(ctx context.Context) {
	hall := s.hall()
	self, others := domain.BoxID(s.entry.settings().Box), s.entry.peering.inHall(hall)
	role := membership.RoleOf(self, others)
	s.mu.Lock()
	before := s.role
	s.role, s.position = role, membership.Position(self, others)
	s.reporters.SetRole(role)
	s.mu.Unlock()
	if role != before {
		s.entry.common.Log.Info("role in the hall changed", "role", role, "before", before)
	}
	s.startLoop(ctx, hall)
}

func (s *hallPoller) hall() domain.HallName { return domain.HallName(s.entry.settings().Hall) }

// hasRole reports whether this box has the role.
func (s *hallPoller) hasRole(r membership.Role) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == r
}

// targetsToPoll returns the targets that this box is to query itself.
func (s *hallPoller) targetsToPoll(ranks []domain.Target) map[domain.InstanceID]bool {
	now, maxAge := clock.Now(), s.maxReportAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[domain.InstanceID]bool{}
	for _, t := range ranks {
		if s.reporters.ShouldQueryTarget(now, t.Hall(), t.ID(), maxAge) {
			out[t.ID()] = true
		}
	}
	return out
}

// interval returns the time between two requests about a hall. If halls have hubs, only the hubs
// query other halls; otherwise all boxes do, though not all query the same box.
func (s *hallPoller) interval() time.Duration {
	s.mu.Lock()
	role, halls := s.role, len(s.halls)
	s.mu.Unlock()
	if role != membership.Standalone {
		return pollInterval(membership.HubsPerHall * halls)
	}
	boxes, _ := s.entry.peering.reachable()
	return pollInterval(boxes)
}

// maxReportAge returns the age up to which this box relies on another box's report of a target. In a
// hall with hubs, a report passes through two boxes after the one that received it from the target.
func (s *hallPoller) maxReportAge() time.Duration {
	return max(minMaxReportAge, 2*(agentPollInterval+s.interval()))
}

// forget deletes the report times of the targets for which keep returns false.
func (s *hallPoller) forget(keep func(domain.InstanceID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporters.Forget(keep)
}

// startLoop starts the poll loop of the hall, unless it is running.
func (s *hallPoller) startLoop(ctx context.Context, hall domain.HallName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halls[hall] {
		return
	}
	s.halls[hall] = true
	go s.run(ctx, hall)
}

func (s *hallPoller) run(ctx context.Context, hall domain.HallName) {
	for ctx.Err() == nil {
		pause := s.interval()
		if s.shouldPoll(hall) {
			s.poll(ctx, hall)
		} else {
			pause = s.maxReportAge() / 2 // then checks whether the hubs still report on the hall
		}
		clock.SleepUntil(ctx, clock.Now().Add(pause))
	}
}

// shouldPoll reports whether this box is to query another box about the hall now.
func (s *hallPoller) shouldPoll(hall domain.HallName) bool {
	maxAge := s.maxReportAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reporters.ShouldQueryPeer(clock.Now(), hall, maxAge)
}

// poll queries one box of the hall, if any is reachable.
func (s *hallPoller) poll(ctx context.Context, hall domain.HallName) {
	hubs := membership.HubsOf(s.entry.peering.inHall(hall))
	s.mu.Lock()
	box, ok := s.reporters.Choose(hall, hubs)
	s.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hallPollTimeout)
	defer cancel()
	report, err := mesh.Call[mesh.HallQuery, mesh.HallReport](ctx, s.entry.mesh, box.Address, mesh.Survey,
		&mesh.HallQuery{All: hall == s.hall()})
	if err != nil {
		s.handleFailure(hall, box.Box, err)
		return
	}
	s.applyReport(hall, box.Box, report)
}

// handleFailure handles a failed request to the box for the report of the hall.
func (s *hallPoller) handleFailure(hall domain.HallName, box domain.BoxID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reporters.Failed(hall, box) {
		s.entry.common.Log.Warn("no peer reports on hall, watching its targets directly", "hall", hall, "peer", box, "err", err)
	}
}

// applyReport passes the statuses in the report to the roster and the balancer, each as of the time
// at which it was received from its target.
func (s *hallPoller) applyReport(hall domain.HallName, box domain.BoxID, r *mesh.HallReport) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reporters.Answered(hall, box) {
		s.entry.common.Log.Info("hall watched through peer", "hall", hall, "peer", box, "targets", len(r.Targets))
	}
	if hall == s.hall() {
		s.hubFollowsAt = time.Time{}
		if r.Follows {
			s.hubFollowsAt = now
		}
	}
	s.entry.fleet.with(func(ros *membership.Roster, b *routing.Balancer) {
		for _, x := range r.Targets {
			at := now.Add(-x.Ago)
			target, _ := ros.Get(x.ID)
			s.reporters.Received(target.Hall(), x.ID, at)
			s.statuses.Receive(at, x)
			own := domain.Rank{Epoch: uint64(x.Epoch), Open: x.Open}
			if ros.Reported(at, x.ID, own, uint64(x.Step), x.Running > 0) {
				b.Report(at, x.ID, routing.Report{Running: x.Running, Waiting: x.Waiting, Slowdown: float64(x.Pace)})
			}
			if x.Missing {
				ros.PeerUnreachable(now, x.ID, at)
			}
		}
	})
}
