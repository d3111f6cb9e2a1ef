package orders_test

import (
	"fmt"

	"clovertrail.dev/mapswitch/orders"
)

// rankEngine is a rank's engine as the platform describes it.
type rankEngine struct {
	inUse    orders.Version
	most     orders.Version // the highest that it ever had
	prepared orders.Version
	copying  orders.Version // becomes prepared when the copies are done
	armed    *orders.Armed
	held     *orders.Step
	fence    orders.Fence
}

// group is a group of engines that step together. It notes a step that ranks begin
// on different maps.
type group struct {
	epoch       orders.Epoch
	step        orders.Step
	ranks       []*rankEngine
	checksFence bool
	broken      string
}

func newGroup(ranks int, checksFence bool) *group {
	g := &group{epoch: 1, checksFence: checksFence}
	g.formAnew(ranks)
	return g
}

// formAnew starts a new epoch with map 0 and nothing prepared, armed or held.
func (g *group) formAnew(ranks int) {
	g.epoch++
	g.ranks = nil
	for range ranks {
		g.ranks = append(g.ranks, &rankEngine{})
	}
}

// begin begins the next step unless a rank holds it.
func (g *group) begin() bool {
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held <= next {
			return false
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == next {
			r.inUse, r.prepared, r.armed = r.armed.Version, 0, nil
		}
	}
	for i, r := range g.ranks {
		if r.inUse != g.ranks[0].inUse {
			g.broken = fmt.Sprintf("step %d: rank %d uses map %d, rank 0 map %d", next, i, r.inUse, g.ranks[0].inUse)
		}
	}
	return true
}

func (g *group) state(rank int) orders.State {
	r := g.ranks[rank]
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

// carryOut takes an order as it arrives.
func (g *group) carryOut(c orders.Call) orders.Result {
	r := g.ranks[c.Rank]
	if c.Epoch != g.epoch {
		return orders.Refused
	}
	if g.checksFence && c.Fence < r.fence {
		return orders.Outranked
	}
	r.fence = max(r.fence, c.Fence)
	if g.takes(r, c.Order) {
		return orders.Done
	}
	return orders.Refused
}

func (g *group) takes(r *rankEngine, o orders.Order) bool {
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

func (r *rankEngine) arm(o orders.Arm, now orders.Step) bool {
	if r.armed != nil && *r.armed == orders.Armed(o) {
		return true
	}
	if r.prepared != o.Version || o.Step <= now {
		return false
	}
	r.armed = &orders.Armed{Version: o.Version, Step: o.Step}
	return true
}

func (r *rankEngine) disarm(o orders.Disarm) bool {
	if r.inUse == o.Version && o.Version != 0 {
		return false
	}
	if r.armed != nil && r.armed.Version == o.Version {
		r.armed = nil
	}
	return true
}

func (r *rankEngine) hold(o orders.Hold, now orders.Step) bool {
	if r.held != nil {
		return *r.held == o.Step
	}
	if o.Step <= now {
		return false
	}
	r.held = &o.Step
	return true
}

func (r *rankEngine) prepare(o orders.Prepare) bool {
	if o.Version == r.prepared || o.Version == r.copying {
		return true
	}
	if r.armed != nil || o.Version <= r.most || o.Map == nil {
		return false
	}
	r.most, r.copying, r.prepared = o.Version, o.Version, 0
	return true
}

// copied ends the copying of a rank.
func (r *rankEngine) copied() {
	if r.copying != 0 {
		r.prepared, r.copying = r.copying, 0
	}
}
