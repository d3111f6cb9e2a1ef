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
func (d *groupDuty) counted() {
	d.estimate.Add(d.counts.Take())
	d.due = true
}

// planIfDue plans with what was counted, once no change is under way.
func (d *groupDuty) planIfDue(now time.Time) {
	if d.due && d.leading && d.coord.CanPropose() && !d.isStopping() {
		d.due = false
		d.plan(now, d.estimate.Load())
	}
}

// paceChange is by how much a pace must differ from the one before to be logged.
const paceChange = 0.1

// tookPace notes how slow a rank is.
func (d *groupDuty) tookPace(rank int, pace float64) {
	if rank >= len(d.paces) {
		return // it is not one of the group
	}
	if before := d.paces[rank]; math.Abs(pace-before) > paceChange && (pace > 1+paceChange || before > 1+paceChange) {
		d.log("pace", "of", rank, "pace", pace, "before", before)
	}
	d.paces[rank] = pace
}

// tookHolds puts the map in use together from what all ranks hold of the same
// version.
func (d *groupDuty) tookHolds(rank int, report *mesh.RankReport) {
	if v := report.State.Map; v != d.holdsOf {
		d.holds, d.holdsOf = map[int][][]int{}, v
	}
	d.holds[rank] = report.Experts
	if _, known := d.coord.Current(); known || len(d.holds) < d.size {
		return
	}
	p := make(orders.Placement, d.shape.Layers)
	for l := range p {
		p[l] = make([][]int, d.size)
		for r := range d.size {
			if l >= len(d.holds[r]) {
				return // not of the shape that the configuration names
			}
			p[l][r] = d.holds[r][l]
		}
	}
	d.coord.SetCurrent(p)
}

// plan proposes another map if that is worth it.
func (d *groupDuty) plan(now time.Time, load rebalance.Load) {
	current, known := d.coord.Current()
	if !known {
		return
	}
	s := d.agent.settings()
	p := rebalance.Planner{
		Shape: d.shape, Slowdowns: d.paces, Horizon: s.Horizon.Std(), CopySlowdown: slowdown, MaxCopies: s.MaxCopies(d.shape.CopyTime), MinSaving: s.MinSaving,
		Overhead: d.overhead,
	}
	plan := p.Plan(rebalance.Map(current), load)
	d.agent.common.Metrics.Set(telemetry.StepSkew, d.group, plan.SkewBefore)
	if !plan.Worthwhile() {
		return
	}
	if !d.coord.Propose(now, orders.Placement(plan.Map), plan.CopyTime) {
		return
	}
	d.agent.common.Metrics.Count(telemetry.MovedExperts, d.group, plan.Copies)
	rows, _ := orders.Placement(plan.Map).Diff(current)
	d.rows, d.copying = len(rows), plan.CopyTime
	d.log("map proposed", "skew", plan.SkewBefore, "expected", plan.SkewAfter, "moves", plan.Copies, "copying", plan.CopyTime)
}
