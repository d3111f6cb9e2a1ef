package orders_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/mapswitch/orders"
)

const restartSteps = 120

// TestInvariantSingleMapAfterRestarts runs three coordinators that restart often, with pauses after which
// holds count as orphaned, and with most of the delayed orders carried out late. It guards against orders of
// ended processes that undo a recovery, which the histories of TestInvariantSingleMap rarely contain.
func TestInvariantSingleMapAfterRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		sim.restart(2)
		for range restartSteps {
			sim.restartEvent()
			if sim.group.Violation() != "" {
				rt.Fatal(sim.group.Violation())
			}
		}
	})
}

// restartEvent simulates one random event, most of which let an attempt or a recovery proceed.
func (sim *simulation) restartEvent() {
	rank := rapid.IntRange(0, modelRanks-1).Draw(sim.t, "rank")
	switch rapid.IntRange(0, 15).Draw(sim.t, "act") {
	case 0, 1, 2, 3, 4, 5, 6:
		sim.readAndTick(rank)
	case 7, 8:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(sim.t, "ms")) * time.Millisecond)
	case 9, 10, 11:
		sim.deliverLate()
	case 12, 13:
		sim.group.BeginStep()
	case 14:
		sim.restart(rank)
	case 15:
		sim.tick(rank)
	}
}

// readAndTick lets the coordinator of a rank read all ranks, propose a map if it can, and send its orders.
func (sim *simulation) readAndTick(rank int) {
	c := sim.coordinators[rank]
	for r := range modelRanks {
		sim.group.FinishCopying(r)
		sim.observe(c, r)
	}
	c.Propose(sim.now, testMap, 0)
	sim.tick(rank)
}

// deliverLate executes one of the delayed orders.
func (sim *simulation) deliverLate() {
	if len(sim.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.delayed)-1).Draw(sim.t, "late")
	sim.t.Logf("delayed order to rank %d %s: %v", sim.delayed[i].Rank, orders.Describe(sim.delayed[i].Order), sim.group.Execute(sim.delayed[i]))
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
}
