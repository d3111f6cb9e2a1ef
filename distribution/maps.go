package distribution

import (
	"sync"

	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
)

// maxReceivedMaps is the number of maps that an agent keeps: the map in use, the prepared map,
// and an earlier map that the changes of the next one may be based on.
const maxReceivedMaps = 3

// ReceivedMaps holds the maps that this agent last received from the coordinator of its group,
// all of one epoch.
//
// Lock order: mu is the only lock.
type ReceivedMaps struct {
	mu       sync.Mutex
	epoch    orders.Epoch
	versions []orders.Version // versions of the maps, in the order received
	maps     map[orders.Version]orders.Placement
}

// NewReceivedMaps returns an empty set of maps.
func NewReceivedMaps() *ReceivedMaps {
	return &ReceivedMaps{maps: map[orders.Version]orders.Placement{}}
}

// Expand replaces the changed rows in a Prepare call by the whole map, and stores the map. It
// returns mesh.UnknownBase if the map that the rows are based on is not stored.
func (r *ReceivedMaps) Expand(c *mesh.OrderCall) error {
	if c.Prepare == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Epoch > r.epoch {
		r.epoch, r.versions = c.Epoch, nil
		clear(r.maps)
	}
	if c.Base != 0 {
		base, ok := r.maps[c.Base]
		if ok && c.Epoch == r.epoch {
			c.Prepare.Map, ok = base.Apply(c.Rows)
		}
		if !ok || c.Epoch != r.epoch {
			return mesh.UnknownBase(c.Base)
		}
	}
	r.store(c.Prepare.Version, c.Prepare.Map)
	return nil
}

// store adds a map, and evicts the oldest beyond maxReceivedMaps. The caller holds mu.
func (r *ReceivedMaps) store(v orders.Version, m orders.Placement) {
	if _, ok := r.maps[v]; ok || m == nil {
		return
	}
	r.maps[v] = m
	r.versions = append(r.versions, v)
	if len(r.versions) > maxReceivedMaps {
		delete(r.maps, r.versions[0])
		r.versions = r.versions[1:]
	}
}

// SentMaps holds the last map that the agent of each other rank is known to have. It belongs to
// a coordinator, and is not safe for concurrent use.
type SentMaps struct {
	ranks map[int]sentMap
}

type sentMap struct {
	version   orders.Version
	placement orders.Placement
}

// NewSentMaps returns the state of a coordinator that has sent no maps.
func NewSentMaps() *SentMaps { return &SentMaps{ranks: map[int]sentMap{}} }

// Shorten replaces the map in a Prepare call by the rows that differ from the map that the
// rank's agent has, if there is one.
func (s *SentMaps) Shorten(rank int, c *mesh.OrderCall) *mesh.OrderCall {
	if c.Prepare == nil {
		return c
	}
	base, ok := s.ranks[rank]
	if !ok {
		return c
	}
	rows, ok := c.Prepare.Map.Diff(base.placement)
	if !ok {
		return c
	}
	c.Base, c.Rows = base.version, rows
	c.Prepare = &orders.Prepare{Version: c.Prepare.Version}
	return c
}

// BaseVersion returns the version of the map that changes sent to the rank are based on; 0 if
// the rank needs the whole map.
func (s *SentMaps) BaseVersion(rank int) orders.Version { return s.ranks[rank].version }

// RecordReply records the response of a rank's agent to a map. An agent that did not respond
// still has its previous map.
func (s *SentMaps) RecordReply(rank int, p orders.Prepare, err error) {
	switch {
	case err == nil:
		s.ranks[rank] = sentMap{version: p.Version, placement: p.Map}
	case mesh.IsUnknownBase(err):
		delete(s.ranks, rank)
	}
}

// CoversAll reports whether, in a group of the given number of ranks, all agents other than the
// coordinator's have a map that changes can be based on.
func (s *SentMaps) CoversAll(ranks int) bool { return len(s.ranks) >= ranks-1 }
