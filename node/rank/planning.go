package rank

import (
	"math"
	"time"

	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/telemetry"
)

// How a coordinator plans: what it learnt of its ranks goes to experts/rebalance, and the
// plan to mapswitch/orders.

// counted takes that all ranks have reported what they chose.
func (g *groupCoordinator) handleCounts() {
	g.estimate.Add(g.counts.SumAndReset())
	g.planDue = true
}

// planIfDue plans with what was counted, once no change is under way.
func (g *groupCoordinator) planIfDue(now time.Time) {
	if g.planDue && g.leading && g.coord.CanPropose() && !g.isStopping() {
		g.planDue = false
		g.plan(now, g.estimate.Load())
	}
}

// paceChange is by how much a pace must differ from the one before to be logged.
const slowdownLogThreshold = 0.1

// tookPace notes how slow a rank is.
func (g *groupCoordinator) recordSlowdown(rank int, pace float64) {
	if rank >= len(g.slowdowns) {
		return // it is not one of the group
	}
	if before := g.slowdowns[rank]; math.Abs(pace-before) > slowdownLogThreshold && (pace > 1+slowdownLogThreshold || before > 1+slowdownLogThreshold) {
		g.log("pace", "of", rank, "pace", pace, "before", before)
	}
	g.slowdowns[rank] = pace
}

// tookHolds puts the map in use together from what all ranks hold of the same
// version.
func (g *groupCoordinator) recordExperts(rank int, report *mesh.RankReport) {
	if v := report.State.Map; v != g.expertsVersion {
		g.experts, g.expertsVersion = map[int][][]int{}, v
	}
	g.experts[rank] = report.Holds
	if _, known := g.coord.Current(); known || len(g.experts) < g.size {
		return
	}
	p := make(orders.Placement, g.shape.Layers)
	for l := range p {
		p[l] = make([][]int, g.size)
		for r := range g.size {
			if l >= len(g.experts[r]) {
				return // not of the shape that the configuration names
			}
			p[l][r] = g.experts[r][l]
		}
	}
	g.coord.SetCurrent(p)
}

// plan proposes another map if that is worth it.
func (g *groupCoordinator) plan(now time.Time, load rebalance.Load) {
	current, known := g.coord.Current()
	if !known {
		return
	}
	s := g.agent.settings()
	p := rebalance.Planner{
		Shape: g.shape, Slowdowns: g.slowdowns, Horizon: s.Horizon.Std(), CopySlowdown: copySlowdown, MaxCopies: s.Copies(g.shape.CopyTime), MinSaving: s.LeastSaving,
		Overhead: g.overhead,
	}
	plan := p.Plan(rebalance.Map(current), load)
	g.agent.common.Metrics.Set(telemetry.StepSkew, g.group, plan.SkewBefore)
	if !plan.Worthwhile() {
		return
	}
	if !g.coord.Propose(now, orders.Placement(plan.Map), plan.CopyTime) {
		return
	}
	g.agent.common.Metrics.Count(telemetry.MovedExperts, g.group, plan.Copies)
	rows, _ := orders.Placement(plan.Map).Diff(current)
	g.changedRows, g.copyTime = len(rows), plan.CopyTime
	g.log("map proposed", "skew", plan.SkewBefore, "expected", plan.SkewAfter, "moves", plan.Copies, "copying", plan.CopyTime)
}
