package membership

import (
	"maps"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// hubReliedOnFor is how long a follower relies on a hub after the hub reported that it follows the
// store: the time of a few requests to the hub.
const hubReliedOnFor = time.Second

// HallMember decides what a box does for the boxes of its data hall: its role, which targets, hubs and
// boxes of other halls it queries, how often, and whether a hub follows the store for it.
//
// It does no I/O and is not safe for concurrent use.
type HallMember struct {
	self            domain.BoxID
	hall            domain.HallName
	reporters       *HallReporters
	role            Role
	isFirst         bool      // no box of the hall precedes this one
	share           *HubShare // of a hub; nil for other roles
	subset          Subset    // targets that this box uses
	hubReliedOnTill time.Time // until when a hub of the hall follows the store for this box; zero if none does
	lostHubs        map[domain.BoxID]bool
	watched         map[domain.HallName]bool
}

// HallNeighbours is what a box knows about its hall and the fleet as it determines its role.
type HallNeighbours struct {
	Others       []Contact       // reachable boxes of the hall
	BoundSharers int             // boxes of the fleet, this one included
	Ranks        []domain.Target // listed ranks of all halls
}

// Duties are what follows from the role of a box.
type Duties struct {
	Role, Before Role
	Subset       Subset     // targets that the box uses
	Hubs         []HubQuery // hubs of its hall that it queries now
}

// HubQuery is a query of a hub to another hub of its hall.
type HubQuery struct {
	Hub     Contact
	IsFirst bool // the hub follows the store for the others
}

// PeerQuery is a query to a box about the targets of a hall.
type PeerQuery struct {
	Hall   domain.HallName
	Box    Contact
	All    bool   // whether the targets of all halls are requested
	Subset Subset // targets that are requested
}

// NewHallMember returns the state of the box self in the hall, which has not received anything.
func NewHallMember(self domain.BoxID, hall domain.HallName) *HallMember {
	return &HallMember{
		self: self, hall: hall, reporters: NewHallReporters(hall), subset: NewSubset(self, 1),
		lostHubs: map[domain.BoxID]bool{}, watched: map[domain.HallName]bool{},
	}
}

// Update determines the role of the box and what follows from it.
func (m *HallMember) Update(n HallNeighbours) Duties {
	before := m.role
	m.role = RoleOf(m.self, n.Others)
	first, preceded := FirstHub(m.self, n.Others)
	m.isFirst, m.subset = !preceded, NewSubset(m.self, 1)
	if m.role == Follower {
		m.subset = NewSubset(m.self, n.BoundSharers)
	}
	if share := m.newShare(n); !share.Equal(m.share) {
		m.share = share // else the present one is kept with the targets that it remembers
	}
	m.reporters.SetSubset(m.subset)
	m.reporters.SetRole(m.role, m.share)
	return Duties{Role: m.role, Before: before, Subset: m.subset, Hubs: m.hubsToQuery(first, n.Others)}
}

// newShare returns the share of a hub; nil for other roles.
func (m *HallMember) newShare(n HallNeighbours) *HubShare {
	if m.role != Hub {
		return nil
	}
	targets := 0
	for _, t := range n.Ranks {
		if t.Hall() == m.hall {
			targets++
		}
	}
	return NewHubShare(m.self, FellowHubs(m.self, n.Others), targets)
}

// hubsToQuery returns the hubs that share the targets of the hall with this one, and the first one, which
// follows the store for it.
func (m *HallMember) hubsToQuery(first Contact, others []Contact) []HubQuery {
	if m.role != Hub {
		return nil
	}
	var queries []HubQuery
	hubs := FellowHubs(m.self, others)
	shared := m.share.Replicas() <= len(hubs)
	for _, c := range hubs {
		if isFirst := c.Box == first.Box; shared || isFirst {
			queries = append(queries, HubQuery{Hub: c, IsFirst: isFirst})
		}
	}
	return queries
}

// HasRole reports whether the box has the role.
func (m *HallMember) HasRole(r Role) bool { return m.role == r }

// IsFirstHub reports whether the box is the hub that follows the store for the others of its hall.
func (m *HallMember) IsFirstHub() bool { return m.role == Hub && m.isFirst }

// HubsPerTarget returns how many hubs query each target of the hall.
func (m *HallMember) HubsPerTarget() int {
	if m.share == nil {
		return HubsPerHall
	}
	return m.share.Replicas()
}

// HubFollowsStore reports whether a hub of the hall follows the store for this box.
func (m *HallMember) HubFollowsStore(now time.Time) bool {
	return m.role != Standalone && now.Before(m.hubReliedOnTill)
}

// ReportsFollowing reports whether the box reports to others that it follows the store; storeHealthy states
// that it does so itself and that the store answers. A follower may rely on a hub that has ended since.
func (m *HallMember) ReportsFollowing(now time.Time, storeHealthy bool) bool {
	return m.role != Follower && (storeHealthy || m.HubFollowsStore(now))
}

// StoreFollowers returns how many boxes follow the store, and the position of this box among them, if it
// is a hub. The followers are then the first hubs of all halls, which are enough for one of them to notice
// soon that the store has silently dropped a watch. Otherwise it returns false: all boxes follow the store.
func (m *HallMember) StoreFollowers() (boxes, position int, ok bool) {
	if m.role != Hub {
		return 0, 0, false
	}
	halls := slices.Sorted(maps.Keys(m.watched))
	return len(halls), max(slices.Index(halls, m.hall), 0), true
}

// HubAnswered records the report of another hub, and returns whether the hub had been lost.
func (m *HallMember) HubAnswered(now time.Time, q HubQuery, followsStore bool) (found bool) {
	found = m.lostHubs[q.Hub.Box]
	delete(m.lostHubs, q.Hub.Box)
	if q.IsFirst {
		m.recordFollowing(now, followsStore)
	}
	return found
}

// HubFailed records that another hub did not report, and returns whether it had reported until now.
func (m *HallMember) HubFailed(q HubQuery) (lost bool) {
	lost = !m.lostHubs[q.Hub.Box]
	m.lostHubs[q.Hub.Box] = true
	return lost
}

// PeerAnswered records the report of a box, and returns whether it is another one than before that
// reports on the hall.
func (m *HallMember) PeerAnswered(now time.Time, q PeerQuery, followsStore bool) (changed bool) {
	if m.StatesFollowing(q) {
		m.recordFollowing(now, followsStore)
	}
	return m.reporters.Answered(q.Hall, q.Box.Box)
}

// StatesFollowing reports whether the answer to the query states if a hub of this box's hall follows the
// store for it.
func (m *HallMember) StatesFollowing(q PeerQuery) bool { return q.Hall == m.hall }

// PeerFailed records that the box did not report, and returns whether the hall had a reporter until now.
func (m *HallMember) PeerFailed(q PeerQuery) (lost bool) {
	return m.reporters.Failed(q.Hall, q.Box.Box)
}

func (m *HallMember) recordFollowing(now time.Time, follows bool) {
	m.hubReliedOnTill = time.Time{}
	if follows {
		m.hubReliedOnTill = now.Add(hubReliedOnFor)
	}
}

// Received records that another box received a report of a target of the hall at the given time.
func (m *HallMember) Received(h domain.HallName, id domain.InstanceID, at time.Time) {
	m.reporters.Received(h, id, at)
}

// Watch adds a hall to those that are watched, and returns whether it was not watched yet.
func (m *HallMember) Watch(h domain.HallName) (added bool) {
	added = !m.watched[h]
	m.watched[h] = true
	return added
}

// Unlisted stops watching the halls without a listed target, except the box's own, and returns them.
func (m *HallMember) Unlisted(listed map[domain.HallName]bool) []domain.HallName {
	var dropped []domain.HallName
	for h := range m.watched {
		if !listed[h] && h != m.hall {
			delete(m.watched, h)
			dropped = append(dropped, h)
		}
	}
	return dropped
}

// interval returns the time between two queries about a hall, where the given number of boxes are
// reachable.
func (m *HallMember) interval(boxes int) time.Duration {
	return HallQueryInterval(m.role, boxes, len(m.watched))
}

// TargetsToQuery returns those of the targets that the box queries itself.
func (m *HallMember) TargetsToQuery(now time.Time, ranks []domain.Target, boxes int) map[domain.InstanceID]bool {
	maxAge := MaxReportAge(m.interval(boxes))
	queried := map[domain.InstanceID]bool{}
	for _, t := range ranks {
		if m.reporters.ShouldQueryTarget(now, t, maxAge) {
			queried[t.ID()] = true
		}
	}
	return queried
}

// ShouldQueryPeer reports whether the box queries another one about the hall now, and the pause until it
// decides anew.
func (m *HallMember) ShouldQueryPeer(now time.Time, h domain.HallName, boxes int) (query bool, pause time.Duration) {
	interval := m.interval(boxes)
	maxAge := MaxReportAge(interval)
	if m.reporters.ShouldQueryPeer(now, h, maxAge) {
		return true, interval
	}
	return false, maxAge / 2 // the hubs report on the hall
}

// QueryTo returns the query about the hall to one of the reachable boxes there; false if there is none.
func (m *HallMember) QueryTo(h domain.HallName, reachable []Contact) (PeerQuery, bool) {
	box, ok := m.reporters.Choose(h, HubsOf(reachable))
	q := PeerQuery{Hall: h, Box: box, All: h == m.hall, Subset: NewSubset(m.self, 1)}
	if m.role == Follower {
		q.Subset = m.subset
	}
	return q, ok
}

// Forget drops what is remembered of the targets for which keep returns false.
func (m *HallMember) Forget(keep func(domain.InstanceID) bool) {
	m.reporters.Forget(keep)
	if m.share != nil {
		m.share.Forget(keep)
	}
}
