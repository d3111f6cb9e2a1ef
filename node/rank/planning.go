package rank

import (
	"math"
	"time"

	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/telemetry"
)

// This file contains the planning of a coordinator: it passes the counts and the slowdowns
// of its ranks to experts/rebalance, and the resulting plan to mapswitch/orders.

// handleCounts adds the summed counts to the estimate once all ranks have reported theirs. The share
// before of them is from before a long step.
func (g *groupCoordinator) handleCounts(before float64) {
	g.estimate.AddExpected(g.counts.SumAndReset(), before)
	g.planDue = true
}

// planIfDue plans with the current estimate if counts were added to it or slowdowns have changed, and
// no map change is under way.
func (g *groupCoordinator) planIfDue(now time.Time) {
	slowdowns := g.slowdowns.PlanDue(now)
	if (g.planDue || slowdowns) && g.leading && g.coord.CanPropose() && !g.isStopping() {
		g.planDue = false
		g.plan(now, g.estimate.Load(), g.causeOf(slowdowns))
	}
}

// slowdownLogThreshold is the change of a rank's slowdown above which the change is logged, if the rank
// is slow before or after it.
const slowdownLogThreshold = 0.1

// recordSlowdown stores how many times longer than usual the steps of a rank take.
func (g *groupCoordinator) recordSlowdown(now time.Time, rank int, slowdown float64) {
	before, valid := g.slowdowns.Record(now, rank, slowdown)
	if !valid {
		g.agent.common.Metrics.Count(telemetry.BadReports, "slowdown", 1)
		return
	}
	if math.Abs(slowdown-before) > slowdownLogThreshold && (slowdown > rebalance.SlowThreshold || before > rebalance.SlowThreshold) {
		g.log("pace", "of", rank, "pace", slowdown, "before", before)
	}
}

// recordExperts stores the experts that a rank holds. Once the experts of all ranks are
// present in one version, they form the map in use.
func (g *groupCoordinator) recordExperts(rank int, report *mesh.RankReport) {
	if v := report.State.Map; v != g.expertsVersion {
		g.experts, g.expertsVersion = map[int][][]int{}, v
	}
	g.experts[rank] = report.Experts
	if _, known := g.coord.Current(); known || len(g.experts) < g.size {
		return
	}
	p := make(orders.Placement, g.shape.Layers)
	for l := range p {
		p[l] = make([][]int, g.size)
		for r := range g.size {
			if l >= len(g.experts[r]) {
				return // the rank has fewer layers than the shape in the configuration
			}
			p[l][r] = g.experts[r][l]
		}
	}
	g.coord.SetCurrent(p)
}

// plan proposes another map if its saving is worth the map change.
func (g *groupCoordinator) plan(now time.Time, load rebalance.Load, why cause) {
	current, known := g.coord.Current()
	if !known {
		return
	}
	s := g.agent.settings()
	p := rebalance.Planner{
		Shape: g.shape, Slowdowns: g.slowdowns.Values(), Horizon: s.Horizon.Std(), CopySlowdown: copySlowdown, MaxCopies: s.MaxCopies(g.shape.CopyTime), MinSaving: s.MinSaving,
		Overhead: g.overhead,
	}
	plan := p.Plan(rebalance.Map(current), load)
	g.slowdowns.Planned()
	g.recordSkew(now, plan.SkewBefore)
	g.pace.Planned(plan.Worthwhile())
	if !plan.Worthwhile() {
		return
	}
	if !g.coord.Propose(now, orders.Placement(plan.Map), plan.CopyTime) {
		return
	}
	g.agent.common.Metrics.Count(telemetry.MovedExperts, g.group, plan.Copies)
	rows, _ := orders.Placement(plan.Map).Diff(current)
	g.changedRows, g.copyTime = len(rows), plan.CopyTime
	g.change = mapChange{cause: why}
	attrs := []any{"skew", plan.SkewBefore, "expected", plan.SkewAfter, "moves", plan.Copies, "copying", plan.CopyTime, "slow", g.slowdowns.Describe(now)}
	g.log("map proposed", append(attrs, g.causeAttrs(now)...)...)
}
