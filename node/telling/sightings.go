package telling

import (
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
)

// sightingFor is how long after its last report a target is still passed on: long
// enough that others see its silence grow, and short of what a box that is gone
// for good costs in every answer.
const sightingFor = 10 * time.Second

// Sightings are what this box learned of targets, from those that it asks itself and from
// other boxes, kept for boxes that ask it.
//
// Lock order: mu is the only lock.
type Sightings struct {
	mu   sync.Mutex
	seen map[domain.InstanceID]sighting
}

type sighting struct {
	at      time.Time
	word    mesh.TargetStatus
	missing bool // nothing came back from its box the last time
	told    bool // another box heard it
}

// NewSightings returns the sightings of a box that has no reports yet.
func NewSightings() *Sightings { return &Sightings{seen: map[domain.InstanceID]sighting{}} }

// Saw takes what a target reported just now.
func (s *Sightings) Saw(now time.Time, id domain.InstanceID, r *mesh.RankReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id] = sighting{at: now, word: mesh.TargetStatus{
		ID: id, Epoch: r.State.Epoch, Open: r.State.Open, Step: r.State.Step,
		Running: r.Running, Waiting: r.Waiting, Slowdown: float32(r.Slowdown),
	}}
}

// Receive takes what another box learned of a target at the time.
func (s *Sightings) Receive(at time.Time, w mesh.TargetStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.seen[w.ID]; !ok || at.After(x.at) || at.Equal(x.at) && w.BoxUnresponsive {
		s.seen[w.ID] = sighting{at: at, word: w, missing: w.BoxUnresponsive, told: true}
	}
}

// Missed takes that nothing at all came back from the target's box.
func (s *Sightings) Missed(id domain.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.seen[id]; ok {
		x.missing = true
		s.seen[id] = x
	}
}

// Latest are the latest reports, with their ages, for another box: those from the
// targets themselves, or all.
func (s *Sightings) Latest(now time.Time, all bool) *mesh.HallReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &mesh.HallReport{}
	for id, x := range s.seen {
		ago := now.Sub(x.at)
		if ago > sightingFor {
			delete(s.seen, id)
			continue
		}
		if x.told && !all {
			continue
		}
		w := x.word
		w.Age, w.BoxUnresponsive = ago, x.missing
		out.Targets = append(out.Targets, w)
	}
	return out
}
