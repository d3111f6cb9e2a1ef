// Package model simulates a group of engines as package orders sees them, without time or
// I/O: the response of a rank to each order, and when a step may begin. Tests of
// coordinators and stand-ins for engines share it, so that the effect of an order is
// defined once.
//
// # Usage
//
//	g := model.NewGroup(8, true)
//	res := g.Execute(call)          // as an order arrives
//	g.FinishCopying(rank)           // once the rank has copied its experts
//	for g.BeginStep() {}            // steps, until one is held
//	if g.Violation() != "" { ... }  // ranks began a step on two maps
package model

import (
	"fmt"

	"clovertrail.dev/mapswitch/orders"
)

// rank is the engine of one rank.
type rank struct {
	inUse      orders.Version
	currentMap orders.Placement // nil for the first map
	nextMap    orders.Placement // the map that is being copied or is prepared
	highest    orders.Version   // highest version that the rank ever had
	prepared   orders.Version
	copying    orders.Version // becomes prepared when the copies are done
	armed      *orders.Armed
	held       *orders.Step
	fence      orders.Fence
}

// Group is a group of engines that step together. It records a step that ranks begin on
// different maps. It is not safe for concurrent use.
type Group struct {
	epoch       orders.Epoch
	step        orders.Step
	ranks       []*rank
	checksFence bool
	violation   string
}

// NewGroup returns a group that was just formed; checksFence states whether its engines
// refuse orders with a fence lower than one that they have received.
func NewGroup(ranks int, checksFence bool) *Group {
	g := &Group{epoch: 1, checksFence: checksFence}
	g.Reform(ranks)
	return g
}

// Epoch returns the epoch of the group.
func (g *Group) Epoch() orders.Epoch { return g.epoch }

// Step returns the last step that has begun.
func (g *Group) Step() orders.Step { return g.step }

// Violation describes the last step that began on two maps; empty if none did.
func (g *Group) Violation() string { return g.violation }

// CurrentMap returns the map that the rank uses; nil for the first.
func (g *Group) CurrentMap(r int) orders.Placement { return g.ranks[r].currentMap }

// Copying reports whether the rank is copying experts for a map.
func (g *Group) Copying(r int) bool { return g.ranks[r].copying != 0 }

// FinishCopying completes the copies of a rank, so that its map is prepared.
func (g *Group) FinishCopying(r int) { g.ranks[r].finishCopying() }

// Reform forms the group anew: in a new epoch, with map 0 and nothing prepared, armed or
// held.
func (g *Group) Reform(ranks int) {
	g.epoch++
	g.ranks = nil
	for range ranks {
		g.ranks = append(g.ranks, &rank{})
	}
}

// BeginStep begins the next step; false if a rank holds it.
func (g *Group) BeginStep() bool {
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held <= next {
			return false
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == next {
			r.inUse, r.currentMap, r.prepared, r.armed = r.armed.Version, r.nextMap, 0, nil
		}
	}
	for i, r := range g.ranks {
		if r.inUse != g.ranks[0].inUse {
			g.violation = fmt.Sprintf("step %d: rank %d uses map %d, rank 0 map %d", next, i, r.inUse, g.ranks[0].inUse)
		}
	}
	return true
}

// State returns the state that the rank reports.
func (g *Group) State(number int) orders.State {
	r := g.ranks[number]
	s := orders.State{Epoch: g.epoch, Open: true, Step: g.step, Map: r.inUse, Prepared: r.prepared}
	if r.armed != nil {
		a := *r.armed
		s.Armed = &a
	}
	if r.held != nil {
		h := *r.held
		s.Held = &h
	}
	return s
}

// Execute processes an order as it arrives.
func (g *Group) Execute(c orders.Call) orders.Result {
	r := g.ranks[c.Rank]
	if c.Epoch != g.epoch {
		return orders.Refused
	}
	if g.checksFence && c.Fence < r.fence {
		return orders.Outranked
	}
	r.fence = max(r.fence, c.Fence)
	if g.accept(r, c.Order) {
		return orders.Done
	}
	return orders.Refused
}

// accept carries out the order; false if it does not fit the state of the rank.
func (g *Group) accept(r *rank, o orders.Order) bool {
	switch o := o.(type) {
	case orders.Prepare:
		return r.prepare(o)
	case orders.Arm:
		return r.arm(o, g.step)
	case orders.Disarm:
		return r.disarm(o)
	case orders.Hold:
		return r.hold(o, g.step)
	case orders.Release:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
		return true
	default:
		return false
	}
}

func (r *rank) arm(o orders.Arm, now orders.Step) bool {
	if r.armed != nil && *r.armed == orders.Armed(o) {
		return true
	}
	if r.prepared != o.Version || o.Step <= now {
		return false
	}
	r.armed = &orders.Armed{Version: o.Version, Step: o.Step}
	return true
}

func (r *rank) disarm(o orders.Disarm) bool {
	if r.inUse == o.Version && o.Version != 0 {
		return false
	}
	if r.armed != nil && r.armed.Version == o.Version {
		r.armed = nil
	}
	return true
}

func (r *rank) hold(o orders.Hold, now orders.Step) bool {
	if r.held != nil {
		return *r.held == o.Step
	}
	if o.Step <= now {
		return false
	}
	r.held = &o.Step
	return true
}

func (r *rank) prepare(o orders.Prepare) bool {
	if o.Version == r.prepared || o.Version == r.copying {
		return true
	}
	if r.armed != nil || o.Version <= r.highest || o.Map == nil {
		return false
	}
	r.highest, r.copying, r.prepared, r.nextMap = o.Version, o.Version, 0, o.Map
	return true
}

func (r *rank) finishCopying() {
	if r.copying != 0 {
		r.prepared, r.copying = r.copying, 0
	}
}
