package orders_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mapswitch/orders/model"
)

// history is a deterministic run of one agent, which may restart, on one group. Its orders are carried
// out at once, unless inTransit selects them.
type history struct {
	t           *testing.T
	now         time.Time
	group       *model.Group
	rank        int
	coordinator *orders.Coordinator
	salt        uint16
	inTransit   func(orders.Call) bool // nil if no order is delayed
	late        []orders.Call          // orders in transit, in the order sent
	afterOrder  func()                 // called after each order; may be nil
	longStep    bool                   // the current step does not end
}

func newHistory(t *testing.T, rank int, checksFences bool) *history {
	h := &history{t: t, now: time.Unix(1_800_000_000, 0), group: model.NewGroup(modelRanks, checksFences), rank: rank}
	h.restart()
	return h
}

// restart replaces the process of the agent by one without state.
func (h *history) restart() {
	h.salt++
	h.coordinator = orders.NewCoordinator(h.rank, modelRanks, h.group.Epoch(), orders.NewNumberGenerator(h.salt))
	h.coordinator.SetCurrent(testMap)
}

// round reads all ranks and sends the orders that are due.
func (h *history) round() {
	h.now = h.now.Add(25 * time.Millisecond)
	for r := range modelRanks {
		h.group.FinishCopying(r)
		h.coordinator.Observe(h.now, r, h.group.State(r))
	}
	h.tick()
}

func (h *history) tick() {
	for _, call := range h.coordinator.Next(h.now) {
		if h.inTransit != nil && h.inTransit(call) {
			h.late = append(h.late, call)
			h.coordinator.HandleResult(h.now, call, orders.Lost)
		} else {
			h.coordinator.HandleResult(h.now, call, h.group.Execute(call))
		}
		if h.afterOrder != nil {
			h.afterOrder()
		}
		h.beginStep()
	}
}

// beginStep begins the next step, unless the current one is long or a rank holds the next one. It fails the
// test if the step begins on two maps.
func (h *history) beginStep() {
	if h.longStep {
		return
	}
	h.group.BeginStep()
	if v := h.group.Violation(); v != "" {
		h.t.Fatal(v)
	}
}

// deliver carries out the selected orders in transit.
func (h *history) deliver(selected func(orders.Call) bool) {
	h.late = slices.DeleteFunc(h.late, func(c orders.Call) bool {
		if !selected(c) {
			return false
		}
		h.t.Logf("delivered late: rank %d %s: %v", c.Rank, orders.Describe(c.Order), h.group.Execute(c))
		return true
	})
}

// changeUntil proposes a map, and runs rounds until the coordinator has sent an order that the predicate
// selects.
func (h *history) changeUntil(selected func(orders.Call) bool) {
	h.round()
	if !h.coordinator.Propose(h.now, testMap, 0) {
		h.t.Fatal("Propose returned false; want an attempt to start")
	}
	before := h.inTransit
	sent := false
	h.inTransit = func(c orders.Call) bool {
		sent = sent || selected(c)
		return before != nil && before(c)
	}
	defer func() { h.inTransit = before }()
	for range 20 {
		if h.round(); sent {
			return
		}
	}
	h.t.Fatalf("the order was not sent; the coordinator is %s", h.coordinator.Phase())
}

func isOrder[O orders.Order](c orders.Call) bool {
	_, ok := c.Order.(O)
	return ok
}

// checkReleased lets the agent run without faults: no hold may be left, and all ranks must use one map.
func (h *history) checkReleased() {
	h.inTransit, h.afterOrder, h.late = nil, nil, nil
	for range 120 {
		h.round()
		h.beginStep()
	}
	for r := range modelRanks {
		if s := h.group.State(r); s.Held != nil || s.Armed != nil || s.Map != h.group.State(0).Map {
			h.t.Errorf("rank %d at the end: %+v; want no hold, nothing armed, and map %d", r, s, h.group.State(0).Map)
		}
	}
}

// TestLateReleaseOfEndedProcess: an agent ends while its Release is in transit, and the next process finds
// the hold at its own rank. Whenever the Release then arrives, and whichever rank the orders of the new
// process do not reach, no step may begin on two maps.
func TestLateReleaseOfEndedProcess(t *testing.T) {
	const moments = 12 // more than the orders that the new process sends before the hold is released
	for arrivesAfter := 1; arrivesAfter <= moments; arrivesAfter++ {
		for unreachable := range modelRanks {
			t.Run(fmt.Sprintf("after %d orders, rank %d is unreachable", arrivesAfter, unreachable), func(t *testing.T) {
				h := newHistory(t, 1, false)
				h.inTransit = isOrder[orders.Release]
				h.changeUntil(isOrder[orders.Release])
				h.restart()
				h.inTransit = func(c orders.Call) bool { return c.Rank == unreachable }
				sent := 0
				h.afterOrder = func() {
					if sent++; sent == arrivesAfter {
						h.deliver(isOrder[orders.Release])
					}
				}
				for range 40 {
					h.round()
					h.beginStep()
				}
				h.checkReleased()
			})
		}
	}
}

// TestReleaseRepeatedAfterAbort: an attempt is aborted, and one of two copies of its Release is in transit.
// If the next process holds the same step for another map, the copy must not end that hold while some ranks
// are armed.
func TestReleaseRepeatedAfterAbort(t *testing.T) {
	for _, unreachable := range []int{0, 2} {
		t.Run(fmt.Sprintf("rank %d is unreachable", unreachable), func(t *testing.T) {
			h := newHistory(t, 1, false)
			h.longStep = true
			h.inTransit = func(c orders.Call) bool {
				if isOrder[orders.Hold](c) { // another coordinator has prepared a later map at one rank meanwhile
					h.group.Execute(orders.Call{Rank: 2, Epoch: c.Epoch, Order: orders.Prepare{Version: 1 << 40, Map: testMap}})
				}
				return false
			}
			h.changeUntil(isOrder[orders.Hold])
			var release orders.Call
			h.inTransit = func(c orders.Call) bool {
				if isOrder[orders.Release](c) {
					release = c
				}
				return false
			}
			for range 40 {
				h.round()
			}
			if release.Order == nil {
				t.Fatalf("not released; the coordinator is %s", h.coordinator.Phase())
			}
			h.restart()
			h.inTransit = func(c orders.Call) bool { return c.Rank == unreachable && isOrder[orders.Arm](c) }
			for range 40 {
				h.coordinator.Propose(h.now, testMap, 0)
				h.round()
			}
			h.group.Execute(release)
			h.longStep = false
			for range 40 {
				h.round()
				h.beginStep()
			}
			h.checkReleased()
		})
	}
}

// TestHoldOfLaterStepIsKept: ranks refuse the map of an attempt that holds a step, since another coordinator
// has armed all of them for an earlier step. The hold must outlast that step: its release may arrive
// late, after the next process has held the same step.
func TestHoldOfLaterStepIsKept(t *testing.T) {
	h := newHistory(t, 1, false)
	h.longStep = true
	other := func(rank int, o orders.Order) {
		if res := h.group.Execute(orders.Call{Rank: rank, Epoch: h.group.Epoch(), Order: o}); res != orders.Done {
			t.Fatalf("%s of the other coordinator at rank %d: %v", orders.Describe(o), rank, res)
		}
	}
	h.inTransit = func(c orders.Call) bool {
		switch o := c.Order.(type) {
		case orders.Hold:
			other(0, orders.Hold{Step: o.Step - 1})
			for r := range modelRanks {
				other(r, orders.Prepare{Version: 1 << 40, Map: testMap})
				h.group.FinishCopying(r)
				other(r, orders.Arm{Version: 1 << 40, Step: o.Step - 1})
			}
		case orders.Release:
			for r := range modelRanks {
				if a := h.group.State(r).Armed; a == nil || a.Step < o.Step {
					t.Errorf("%s sent to rank %d while rank %d is armed with %v", orders.Describe(o), c.Rank, r, a)
				}
			}
		}
		return false
	}
	h.changeUntil(isOrder[orders.Hold])
	for range 40 {
		h.round()
	}
	h.longStep = false
	h.checkReleased()
}
