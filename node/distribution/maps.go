package distribution

import (
	"sync"

	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
)

// placementsMost is how many maps an agent keeps: the one in use, the one that is
// prepared, and one before them, of which the changes may be sent.
const placementsMost = 3

// ReceivedMaps are the maps that the coordinator of the group sent this agent lately.
//
// Lock order: mu is the only lock.
type ReceivedMaps struct {
	mu    sync.Mutex
	epoch orders.Epoch
	order []orders.Version // the latest is last
	known map[orders.Version]orders.Placement
}

// NewReceivedMaps returns the maps of an agent that was sent none.
func NewReceivedMaps() *ReceivedMaps { return &ReceivedMaps{known: map[orders.Version]orders.Placement{}} }

// Expand gives the call with its map made whole.
func (p *ReceivedMaps) Expand(c *mesh.OrderCall) error {
	if c.Prepare == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Epoch > p.epoch {
		p.epoch, p.order = c.Epoch, nil
		clear(p.known)
	}
	if c.Base != 0 {
		base, ok := p.known[c.Base]
		if ok && c.Epoch == p.epoch {
			c.Prepare.Map, ok = base.Apply(c.Rows)
		}
		if !ok || c.Epoch != p.epoch {
			return mesh.UnknownBase(c.Base)
		}
	}
	p.keep(c.Prepare.Version, c.Prepare.Map)
	return nil
}

// keep keeps a map; mu is held.
func (p *ReceivedMaps) keep(v orders.Version, m orders.Placement) {
	if _, known := p.known[v]; known || m == nil {
		return
	}
	p.known[v] = m
	p.order = append(p.order, v)
	if len(p.order) > placementsMost {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
}

// SentMaps are the maps that a coordinator knows other ranks' agents to have. One
// goroutine owns it.
type SentMaps struct {
	ranks map[int]toldMap
}

type toldMap struct {
	version orders.Version
	whole   orders.Placement
}

// NewSentMaps returns what a coordinator knows that sent no map yet.
func NewSentMaps() *SentMaps { return &SentMaps{ranks: map[int]toldMap{}} }

// Shorten replaces a map by what changed since one that the rank's agent has.
func (t *SentMaps) Shorten(rank int, c *mesh.OrderCall) *mesh.OrderCall {
	if c.Prepare == nil {
		return c
	}
	base, ok := t.ranks[rank]
	if !ok {
		return c
	}
	rows, ok := c.Prepare.Map.Diff(base.whole)
	if !ok {
		return c
	}
	c.Base, c.Rows = base.version, rows
	c.Prepare = &orders.Prepare{Version: c.Prepare.Version}
	return c
}

// BaseVersion is the version of the map of which changes can be sent to the rank; 0 for none.
func (t *SentMaps) BaseVersion(rank int) orders.Version { return t.ranks[rank].version }

// RecordReply notes what a rank's agent answered to a map. One that did not answer still has
// the map that it had.
func (t *SentMaps) RecordReply(rank int, p orders.Prepare, err error) {
	switch {
	case err == nil:
		t.ranks[rank] = toldMap{version: p.Version, whole: p.Map}
	case mesh.IsUnknownBase(err):
		delete(t.ranks, rank)
	}
}

// CoversAll reports that the agents of so many other ranks have a map each.
func (t *SentMaps) CoversAll(ranks int) bool { return len(t.ranks) >= ranks-1 }
