package membership

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"clovertrail.dev/core/domain"
)

// maxTargetsPerHub is the number of targets of its hall up to which a hub queries each of them: with
// them a hub sends some three hundred requests a second. The hubs of a larger hall share its targets and
// query each other.
const maxTargetsPerHub = 60

// HubShare decides which targets of its data hall a hub queries itself. Each target is queried by the
// same number of hubs, chosen by a hash (rendezvous hashing), so that a hub that comes or goes moves few
// targets. It is not safe for concurrent use.
type HubShare struct {
	self     domain.BoxID
	hubs     []domain.BoxID // all hubs of the hall, sorted
	replicas int            // number of hubs that query each target
	queried  map[domain.InstanceID]bool
}

// NewHubShare returns the share of the hub self of a hall with the given other hubs and number of targets.
func NewHubShare(self domain.BoxID, others []Contact, targets int) *HubShare {
	s := &HubShare{self: self, hubs: []domain.BoxID{self}, queried: map[domain.InstanceID]bool{}}
	for _, c := range others {
		s.hubs = append(s.hubs, c.Box)
	}
	slices.Sort(s.hubs)
	s.replicas = min(max(len(s.hubs)*maxTargetsPerHub/max(targets, 1), 1), len(s.hubs))
	return s
}

// Equal reports whether both shares are of the same hubs, with as many of them to each target.
func (s *HubShare) Equal(other *HubShare) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.self == other.self && s.replicas == other.replicas && slices.Equal(s.hubs, other.hubs)
}

// Replicas returns the number of hubs that query each target.
func (s *HubShare) Replicas() int { return s.replicas }

// Queries reports whether the hub queries the target itself.
func (s *HubShare) Queries(id domain.InstanceID) bool {
	if s.replicas == len(s.hubs) {
		return true
	}
	queries, known := s.queried[id]
	if !known {
		order := slices.SortedFunc(slices.Values(s.hubs), func(x, y domain.BoxID) int { return cmp.Compare(targetScore(y, id), targetScore(x, id)) })
		queries = slices.Contains(order[:s.replicas], s.self)
		s.queried[id] = queries
	}
	return queries
}

// Forget drops what is remembered of the targets for which keep returns false.
func (s *HubShare) Forget(keep func(domain.InstanceID) bool) {
	for id := range s.queried {
		if !keep(id) {
			delete(s.queried, id)
		}
	}
}

// targetScore is the weight of the box for the target; the highest win.
func targetScore(box domain.BoxID, id domain.InstanceID) uint64 {
	sum := sha256.Sum256([]byte(string(id) + "\x00" + string(box)))
	return binary.BigEndian.Uint64(sum[:])
}
