package distribution

import (
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
)

// statusRetention is how long after a target's last report its status is still sent to other
// boxes. It is long enough for them to notice that the target has stopped reporting, and not
// longer, since the statuses of targets that are gone for good add to the size of every response.
const statusRetention = 10 * time.Second

// TargetStatuses holds the last status received of each target, from the target itself or from
// another box, to serve the queries of other boxes.
//
// Lock order: mu is the only lock.
type TargetStatuses struct {
	mu       sync.Mutex
	statuses map[domain.InstanceID]targetStatus
}

type targetStatus struct {
	reportedAt  time.Time
	status      mesh.TargetStatus
	unreachable bool // the target's box sent no response at all to the last query
	source      Scope
}

// Scope states from whom statuses were received, and which of them another box requests.
type Scope int

// The scopes. Each includes those before it.
const (
	// Own: from the targets themselves.
	Own Scope = iota
	// Hall: from other hubs of the own data hall, which received them from the targets.
	Hall
	// All: from any box.
	All
)

// ScopeOf returns the scope that the query requests.
func ScopeOf(q *mesh.HallQuery) Scope {
	switch {
	case q.All:
		return All
	case q.Own:
		return Own
	default:
		return Hall
	}
}

// NewTargetStatuses returns the state of a box that has received no reports.
func NewTargetStatuses() *TargetStatuses {
	return &TargetStatuses{statuses: map[domain.InstanceID]targetStatus{}}
}

// RecordReport stores the report that a target sent now.
func (s *TargetStatuses) RecordReport(now time.Time, id domain.InstanceID, r *mesh.RankReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[id] = targetStatus{reportedAt: now, status: mesh.TargetStatus{
		ID: id, Epoch: r.State.Epoch, Open: r.State.Open, Step: r.State.Step,
		Running: r.Running, Waiting: r.Waiting, Slowdown: float32(r.Slowdown),
	}}
}

// RecordFromPeer stores a target status that another box, of the given scope, received at the given time,
// unless a newer status is stored. At equal times, a status that reports the target as unreachable wins.
func (s *TargetStatuses) RecordFromPeer(at time.Time, source Scope, w mesh.TargetStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.statuses[w.ID]; !ok || at.After(x.reportedAt) || at.Equal(x.reportedAt) && w.BoxUnresponsive {
		s.statuses[w.ID] = targetStatus{reportedAt: at, status: w, unreachable: w.BoxUnresponsive, source: source}
	}
}

// MarkUnreachable records that the target's box sent no response at all.
func (s *TargetStatuses) MarkUnreachable(id domain.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.statuses[id]; ok {
		x.unreachable = true
		s.statuses[id] = x
	}
}

// Latest returns the stored statuses of the scope with their ages, for another box: those of the given
// targets, or all if targets is nil.
func (s *TargetStatuses) Latest(now time.Time, scope Scope, targets map[domain.InstanceID]bool) *mesh.HallReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &mesh.HallReport{}
	for id, x := range s.statuses {
		ago := now.Sub(x.reportedAt)
		if ago > statusRetention {
			delete(s.statuses, id)
			continue
		}
		if x.source > scope || targets != nil && !targets[id] {
			continue
		}
		w := x.status
		w.Age, w.BoxUnresponsive = ago, x.unreachable
		out.Targets = append(out.Targets, w)
	}
	return out
}
