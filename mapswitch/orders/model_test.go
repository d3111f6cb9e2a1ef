package orders_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mapswitch/orders/model"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 1500, 0) }

const (
	modelRanks = 3
	modelSteps = 260
)

// place is any map; the model tells maps apart by their versions.
var place = orders.Placement{{{0}, {1}, {2}}}

// world is a group, the coordinators of its agents, and orders on their way.
type world struct {
	t      *rapid.T
	now    time.Time
	group  *model.Group
	coords []*orders.Coordinator // by rank; nil while the agent is down
	late   []orders.Call         // that may still arrive
	salt   uint16                // of the last process that was started
	lossy  bool                  // orders may be lost or late
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), group: model.NewGroup(modelRanks, rapid.Bool().Draw(t, "fences")), lossy: true}
	w.coords = make([]*orders.Coordinator, modelRanks)
	w.restart(0)
	w.restart(1)
	return w
}

// restart gives the agent of a rank a coordinator that knows nothing, as a new process
// does: its fences begin anew, below those that ranks may have seen.
func (w *world) restart(rank int) {
	w.salt++
	w.coords[rank] = orders.NewCoordinator(rank, modelRanks, w.group.Epoch(), orders.NewNumberGenerator(w.salt))
	w.coords[rank].SetCurrent(place)
}

// observe lets the coordinator read a rank.
func (w *world) observe(c *orders.Coordinator, rank int) {
	c.Observe(w.now, rank, w.group.State(rank))
}

// turn lets the coordinator do what is due, its orders arriving or not.
func (w *world) turn(rank int) {
	c := w.coords[rank]
	if c == nil {
		return
	}
	if c.Epoch() != w.group.Epoch() {
		w.restart(rank)
		return
	}
	calls := c.Next(w.now)
	w.t.Logf("%v turn of %d: %s", w.now.UnixMilli()%100000, rank, c.Phase())
	for _, call := range calls {
		w.give(c, call)
	}
	c.TakeOutcomes()
}

// give carries out an order now, later, or never, and answers it or does not.
func (w *world) give(c *orders.Coordinator, call orders.Call) {
	fate := 0
	if w.lossy {
		fate = rapid.IntRange(0, 5).Draw(w.t, "fate")
	}
	w.t.Logf("coordinator of fence %d gives rank %d %s %+v: fate %d", call.Fence, call.Rank, orders.Name(call.Order), call.Order, fate)
	switch fate {
	case 3: // done, and the answer is lost
		w.group.Execute(call)
		c.HandleResult(w.now, call, orders.Lost)
	case 4: // no answer, and it may be carried out later
		w.late = append(w.late, call)
		c.HandleResult(w.now, call, orders.Lost)
	case 5: // done, and carried out once more later
		w.late = append(w.late, call)
		c.HandleResult(w.now, call, w.group.Execute(call))
	default:
		c.HandleResult(w.now, call, w.group.Execute(call))
	}
}

// act does one thing that may happen at any time.
func (w *world) act() {
	rank := rapid.IntRange(0, modelRanks-1).Draw(w.t, "rank")
	coord := rapid.IntRange(0, 1).Draw(w.t, "coordinator")
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(w.t, "ms")) * time.Millisecond)
	c := w.coords[coord]
	switch rapid.IntRange(0, 19).Draw(w.t, "act") {
	case 0, 1, 2, 3, 4, 5, 6:
		w.turn(coord)
	case 7, 8, 9, 10:
		if c != nil {
			for r := range modelRanks {
				w.observe(c, r)
			}
		}
	case 11:
		if c != nil {
			w.observe(c, rank)
		}
	case 12, 13:
		if c != nil {
			c.Propose(w.now, place, 0)
		}
	case 14, 15:
		w.group.FinishCopying(rank)
	case 16, 17:
		w.t.Logf("step after %d begins: %v", w.group.Step(), w.group.BeginStep())
	case 18:
		if len(w.late) > 0 {
			i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")
			w.t.Logf("late: rank %d %+v: %v", w.late[i].Rank, w.late[i].Order, w.group.Execute(w.late[i]))
			w.late = append(w.late[:i], w.late[i+1:]...)
		}
	case 19:
		w.rare(coord)
	}
}

// rare is what happens seldom: an agent ends, starts again, or a group is lost.
func (w *world) rare(coord int) {
	switch rapid.IntRange(0, 5).Draw(w.t, "rare") {
	case 0:
		w.coords[coord] = nil
	case 1, 2, 3:
		w.restart(coord)
	case 4:
		w.group.Reform(modelRanks)
	}
}

// TestInvariantSingleMap lets two coordinators work on one group at drawn moments, with
// orders lost, late and repeated, agents that start again and know nothing, and
// groups formed anew, and looks at each step whether all ranks begin it on one map.
func TestInvariantSingleMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range modelSteps {
			w.act()
			if w.group.Violation() != "" {
				rt.Fatal(w.group.Violation())
			}
		}
		w.settle(rt)
	})
}

// settle leaves one coordinator undisturbed, which must leave the group free to step
// and able to change maps.
func (w *world) settle(t *rapid.T) {
	w.lossy, w.late = false, nil
	w.coords[1] = nil
	w.restart(0)
	for range 120 {
		w.round()
		if w.group.Violation() != "" {
			t.Fatal(w.group.Violation())
		}
	}
	for r := range modelRanks {
		if h := w.group.State(r).Held; h != nil {
			t.Fatalf("rank %d still holds step %d; the group stands at %d", r, *h, w.group.Step())
		}
	}
	before := w.group.State(0).Map
	for range fenceAttempts {
		w.coords[0].Propose(w.now, place, 0)
		for range 60 {
			w.round()
		}
		if w.group.State(0).Map != before {
			return
		}
	}
	t.Fatalf("the map was not changed; the coordinator is %s", w.coords[0].Phase())
}

// fenceAttempts is how many attempts a process may need that starts with fences below
// those of the one before it: each puts them 16 times higher.
const fenceAttempts = 3

// round is a tick without trouble.
func (w *world) round() {
	w.now = w.now.Add(25 * time.Millisecond)
	for r := range modelRanks {
		w.group.FinishCopying(r)
		w.observe(w.coords[0], r)
	}
	w.turn(0)
	w.group.BeginStep()
}
