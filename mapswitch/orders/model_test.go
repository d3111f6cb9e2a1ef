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

// testMap is the map of all versions; the model distinguishes maps by version.
var testMap = orders.Placement{{{0}, {1}, {2}}}

// simulation consists of a group, the coordinators of its agents, and orders in transit.
type simulation struct {
	t            *rapid.T
	now          time.Time
	group        *model.Group
	coordinators []*orders.Coordinator // by rank; nil while the agent is down
	delayed      []orders.Call         // calls that may still arrive
	salt         uint16                // salt of the last process that was started
	lossy        bool                  // orders may be lost or delayed
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_800_000_000, 0), group: model.NewGroup(modelRanks, rapid.Bool().Draw(t, "fences")), lossy: true}
	sim.coordinators = make([]*orders.Coordinator, modelRanks)
	sim.restart(0)
	sim.restart(1)
	return sim
}

// restart replaces the coordinator of a rank by one without state, as a new process does:
// its fences start again, below those that ranks may have received.
func (sim *simulation) restart(rank int) {
	sim.salt++
	sim.coordinators[rank] = orders.NewCoordinator(rank, modelRanks, sim.group.Epoch(), orders.NewNumberGenerator(sim.salt))
	sim.coordinators[rank].SetCurrent(testMap)
}

// observe reports the state of a rank to the coordinator.
func (sim *simulation) observe(c *orders.Coordinator, rank int) {
	c.Observe(sim.now, rank, sim.group.State(rank))
}

// tick lets the coordinator of a rank send the orders that are due.
func (sim *simulation) tick(rank int) {
	c := sim.coordinators[rank]
	if c == nil {
		return
	}
	if c.Epoch() != sim.group.Epoch() {
		sim.restart(rank)
		return
	}
	calls := c.Next(sim.now)
	sim.t.Logf("%v tick of coordinator %d: %s", sim.now.UnixMilli()%100000, rank, c.Phase())
	for _, call := range calls {
		sim.send(c, call)
	}
	c.TakeOutcomes()
}

// send executes an order now, later, or never, and returns its result or loses it.
func (sim *simulation) send(c *orders.Coordinator, call orders.Call) {
	fate := 0
	if sim.lossy {
		fate = rapid.IntRange(0, 5).Draw(sim.t, "fate")
	}
	sim.t.Logf("coordinator with fence %d sends rank %d %s %+v: fate %d", call.Fence, call.Rank, orders.Name(call.Order), call.Order, fate)
	switch fate {
	case 3: // executed, and the response is lost
		sim.group.Execute(call)
		c.HandleResult(sim.now, call, orders.Lost)
	case 4: // no response, and the order may be executed later
		sim.delayed = append(sim.delayed, call)
		c.HandleResult(sim.now, call, orders.Lost)
	case 5: // executed, and executed once more later
		sim.delayed = append(sim.delayed, call)
		c.HandleResult(sim.now, call, sim.group.Execute(call))
	default:
		c.HandleResult(sim.now, call, sim.group.Execute(call))
	}
}

// event simulates one random event.
func (sim *simulation) event() {
	rank := rapid.IntRange(0, modelRanks-1).Draw(sim.t, "rank")
	coordinator := rapid.IntRange(0, 1).Draw(sim.t, "coordinator")
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(sim.t, "ms")) * time.Millisecond)
	c := sim.coordinators[coordinator]
	switch rapid.IntRange(0, 19).Draw(sim.t, "act") {
	case 0, 1, 2, 3, 4, 5, 6:
		sim.tick(coordinator)
	case 7, 8, 9, 10:
		if c != nil {
			for r := range modelRanks {
				sim.observe(c, r)
			}
		}
	case 11:
		if c != nil {
			sim.observe(c, rank)
		}
	case 12, 13:
		if c != nil {
			c.Propose(sim.now, testMap, 0)
		}
	case 14, 15:
		sim.group.FinishCopying(rank)
	case 16, 17:
		sim.t.Logf("step after %d begins: %v", sim.group.Step(), sim.group.BeginStep())
	case 18:
		if len(sim.delayed) > 0 {
			i := rapid.IntRange(0, len(sim.delayed)-1).Draw(sim.t, "late")
			sim.t.Logf("delayed order to rank %d %+v: %v", sim.delayed[i].Rank, sim.delayed[i].Order, sim.group.Execute(sim.delayed[i]))
			sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
		}
	case 19:
		sim.rareEvent(coordinator)
	}
}

// rareEvent simulates an event of low probability: an agent ends or starts again, or the
// group is formed anew.
func (sim *simulation) rareEvent(coordinator int) {
	switch rapid.IntRange(0, 5).Draw(sim.t, "rare") {
	case 0:
		sim.coordinators[coordinator] = nil
	case 1, 2, 3:
		sim.restart(coordinator)
	case 4:
		sim.group.Reform(modelRanks)
	}
}

// TestInvariantSingleMap runs two coordinators on one group, with events in random order and
// at random times: lost, delayed and repeated orders, agents that restart without state, and
// groups formed anew. It checks at each step that all ranks begin it on one map.
func TestInvariantSingleMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		for range modelSteps {
			sim.event()
			if sim.group.Violation() != "" {
				rt.Fatal(sim.group.Violation())
			}
		}
		sim.checkRecovery(rt)
	})
}

// checkRecovery runs a single coordinator without faults: the group must end up without
// holds, and maps must change again.
func (sim *simulation) checkRecovery(t *rapid.T) {
	sim.lossy, sim.delayed = false, nil
	sim.coordinators[1] = nil
	sim.restart(0)
	for range 120 {
		sim.round()
		if sim.group.Violation() != "" {
			t.Fatal(sim.group.Violation())
		}
	}
	for r := range modelRanks {
		if h := sim.group.State(r).Held; h != nil {
			t.Fatalf("rank %d still holds step %d; the group is at step %d", r, *h, sim.group.Step())
		}
	}
	before := sim.group.State(0).Map
	for range fenceAttempts {
		sim.coordinators[0].Propose(sim.now, testMap, 0)
		for range 60 {
			sim.round()
		}
		if sim.group.State(0).Map != before {
			return
		}
	}
	t.Fatalf("the map has not changed after %d attempts; the coordinator is %s", fenceAttempts, sim.coordinators[0].Phase())
}

// fenceAttempts bounds the attempts of a process whose fences start below those of the
// previous process: each failed attempt raises the fence by a factor of 16.
const fenceAttempts = 3

// round reads all ranks, runs the coordinator and begins a step, without faults.
func (sim *simulation) round() {
	sim.now = sim.now.Add(25 * time.Millisecond)
	for r := range modelRanks {
		sim.group.FinishCopying(r)
		sim.observe(sim.coordinators[0], r)
	}
	sim.tick(0)
	sim.group.BeginStep()
}
