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
	// surveyWithin bounds a question to a box of another hall.
	surveyWithin = watchWithin
	// toldFor is how old another box's news of a target may be before this box asks the
	// target itself: several questions to the target and to that box. It is under the
	// time after which a silent target is suspect.
	toldFor = time.Second
)

// surveying learns from other entry boxes how targets do: of each other data hall from one
// box there, or in a hall with hubs of all halls from one of these. It notifies others what it
// heard (membership.HallReporters and membership.RoleOf decide whom to ask).
//
// Lock order: mu, then the fleet's.
type surveying struct {
	entry     *Entry
	sightings *telling.Sightings

	mu        sync.Mutex
	outlook   *membership.HallReporters
	role      membership.Role
	place     int       // of this box among those of its hall, in the order of names
	hubAt     time.Time // when a hub of the hall last reported that it follows the store
	storeWell func() bool
	halls     map[domain.HallName]bool // that are followed
}

func newSurveying(e *Entry) *surveying {
	return &surveying{
		entry: e, sightings: telling.NewSightings(),
		outlook: membership.NewHallReporters(domain.HallName(e.settings().Hall)), halls: map[domain.HallName]bool{},
	}
}

// survey implements mesh.QueryHall.
func (s *surveying) survey(_ context.Context, q *mesh.HallQuery) (*mesh.HallReport, error) {
	r := s.sightings.Latest(clock.Now(), q.All)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.FollowsStore = s.role != membership.Follower && s.storeWell != nil && s.storeWell()
	return r, nil
}

// follows sets how to find out whether this box follows the store and is answered.
func (s *surveying) follows(well func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeWell = well
}

// hubFor is how long after a hub reported that it follows the store a follower relies on it:
// a few of its questions to the hub.
const hubFor = time.Second

// followers are how many boxes follow the store, and the place of this one among them:
// the hubs of all halls where there are any, so that one of them soon notices a watch that
// was silently dropped, else all boxes.
func (s *surveying) followers() (boxes, place int) {
	s.mu.Lock()
	role, at := s.role, s.place
	halls := slices.Sorted(maps.Keys(s.halls))
	s.mu.Unlock()
	if role != membership.Hub {
		return s.entry.peering.inTouch()
	}
	hall := max(slices.Index(halls, s.hall()), 0)
	return membership.HubsPerHall * len(halls), hall*membership.HubsPerHall + at
}

// hubFollows reports that a hub of the hall follows the store for this box.
func (s *surveying) hubFollows() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == membership.Follower && clock.Since(s.hubAt) < hubFor
}

// takeRole looks what this box is to its hall now.
func (s *surveying) takeRole(ctx context.Context) {
	hall := s.hall()
	self, others := domain.BoxID(s.entry.settings().Box), s.entry.peering.in(hall)
	role := membership.RoleOf(self, others)
	s.mu.Lock()
	before := s.role
	s.role, s.place = role, membership.Position(self, others)
	s.outlook.SetRole(role)
	s.mu.Unlock()
	if role != before {
		s.entry.common.Log.Info("role in the hall", "role", role, "before", before)
	}
	s.follow(ctx, hall)
}

func (s *surveying) hall() domain.HallName { return domain.HallName(s.entry.settings().Hall) }

// is reports whether this box has the role.
func (s *surveying) is(r membership.Role) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == r
}

// asked are the targets that this box is to ask itself.
func (s *surveying) asked(ranks []domain.Target) map[domain.InstanceID]bool {
	now, old := clock.Now(), s.old()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[domain.InstanceID]bool{}
	for _, t := range ranks {
		if s.outlook.ShouldQueryTarget(now, t.Hall(), t.ID(), old) {
			out[t.ID()] = true
		}
	}
	return out
}

// every is the time between two questions about a hall. Where halls have hubs these ask,
// else all boxes, though not the same one.
func (s *surveying) every() time.Duration {
	s.mu.Lock()
	role, halls := s.role, len(s.halls)
	s.mu.Unlock()
	if role != membership.Standalone {
		return everyAmong(membership.HubsPerHall * halls)
	}
	boxes, _ := s.entry.peering.inTouch()
	return everyAmong(boxes)
}

// old is how old another box's report may be: in a hall with hubs it comes by way of two
// boxes after that which received it.
func (s *surveying) old() time.Duration { return max(toldFor, 2*(watchEvery+s.every())) }

func (s *surveying) forget(keep func(domain.InstanceID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlook.Forget(keep)
}

// follow keeps one loop for each hall that has targets.
func (s *surveying) follow(ctx context.Context, hall domain.HallName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halls[hall] {
		return
	}
	s.halls[hall] = true
	go s.run(ctx, hall)
}

func (s *surveying) run(ctx context.Context, hall domain.HallName) {
	for ctx.Err() == nil {
		pause := s.every()
		if s.surveys(hall) {
			s.ask(ctx, hall)
		} else {
			pause = s.old() / 2 // a look whether the hubs still report on the hall
		}
		clock.SleepUntil(ctx, clock.Now().Add(pause))
	}
}

// surveys reports whether this box is to ask another about the hall now.
func (s *surveying) surveys(hall domain.HallName) bool {
	old := s.old()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outlook.ShouldQueryPeer(clock.Now(), hall, old)
}

// ask asks one box of the hall, if any is in touch.
func (s *surveying) ask(ctx context.Context, hall domain.HallName) {
	there := membership.HubsOf(s.entry.peering.in(hall))
	s.mu.Lock()
	box, ok := s.outlook.Choose(hall, there)
	s.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, surveyWithin)
	defer cancel()
	report, err := mesh.Call[mesh.HallQuery, mesh.HallReport](ctx, s.entry.mesh, box.Address, mesh.QueryHall,
		&mesh.HallQuery{All: hall == s.hall()})
	if err != nil {
		s.failed(hall, box.Box, err)
		return
	}
	s.take(hall, box.Box, report)
}

func (s *surveying) failed(hall domain.HallName, box domain.BoxID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outlook.Failed(hall, box) {
		s.entry.common.Log.Warn("no peer reports on hall, watching its targets directly", "hall", hall, "peer", box, "err", err)
	}
}

// take hands on what the box received, as of when it received it.
func (s *surveying) take(hall domain.HallName, box domain.BoxID, r *mesh.HallReport) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outlook.Answered(hall, box) {
		s.entry.common.Log.Info("hall watched through peer", "hall", hall, "peer", box, "targets", len(r.Targets))
	}
	if hall == s.hall() {
		s.hubAt = time.Time{}
		if r.FollowsStore {
			s.hubAt = now
		}
	}
	s.entry.fleet.with(func(ros *membership.Roster, b *routing.Balancer) {
		for _, x := range r.Targets {
			at := now.Add(-x.Age)
			target, _ := ros.Get(x.ID)
			s.outlook.Received(target.Hall(), x.ID, at)
			s.sightings.Receive(at, x)
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
