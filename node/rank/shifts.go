package rank

import (
	"context"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/telemetry"
)

// This file contains the observation of the own engine's steps, which shows a shift of the demand
// before the counts do, and the telemetry of the response (rebalance.ShiftResponse).

// stepReport is an observation of the own engine's step.
type stepReport struct {
	at   time.Time
	step orders.Step
}

// observeStep observes the step of the own engine if an observation is due. The reads that a long
// step causes are started by tick.
func (g *groupCoordinator) observeStep(ctx context.Context, now time.Time) {
	if !g.leading || g.coord == nil || !g.agent.settings().ShiftReads || now.Before(g.observeAt) {
		return
	}
	g.observeAt = now.Add(g.shift.Interval()) // also after a call that fails
	maxAge := time.Duration(0)
	if g.shift.Interval() >= readInterval {
		maxAge = readInterval // the engine is idle: no calls in addition to those of tick
	}
	own, err := g.agent.engineReport(ctx, maxAge)
	if err != nil || own.State.Epoch != g.coord.Epoch() {
		return
	}
	done := clock.Now()
	if done.Sub(now) > coordinatorTick {
		return // the report may be from any time of the call
	}
	before := g.observed
	g.observed = stepReport{at: done, step: own.State.Step}
	if own.State.Step > before.step && done.Sub(before.at) <= maxBeginError {
		g.coord.ObserveBegin(before.at, done, own.State.Step)
	}
	g.recordMapInUse(done, own.State.Map)
	o := rebalance.StepObservation{Epoch: uint64(own.State.Epoch), Step: uint64(own.State.Step), Busy: own.Running > 0}
	if _, long := g.shift.Observe(done, o); long {
		g.estimate.ExpectShift()
		g.pace.Planned(true) // read at the shortest interval until a plan settles
		g.agent.common.Metrics.Count(telemetry.LongSteps, g.group, 1)
	}
}

// maxBeginError is the longest time between two observations from which the begin of a step is known
// well enough to place a hold by it.
const maxBeginError = 60 * time.Millisecond

// mapChange is the map change that was proposed last.
type mapChange struct {
	version orders.Version // 0 while none has been committed
	cause   cause
}

// cause states what led to a plan.
type cause string

const (
	causeCounts    cause = "counts"
	causeLongStep  cause = "long step"
	causeSlowdowns cause = "slowdowns"
)

// causeOf returns what led to a plan that is made now.
func (g *groupCoordinator) causeOf(slowdowns bool) cause {
	if _, under := g.shift.Cause(); under {
		return causeLongStep
	}
	if slowdowns {
		return causeSlowdowns
	}
	return causeCounts
}

// causeAttrs returns the log fields that state what led to the map change.
func (g *groupCoordinator) causeAttrs(now time.Time) []any {
	attrs := []any{"cause", string(g.change.cause)}
	if g.change.cause == causeLongStep {
		long, _ := g.shift.Cause()
		attrs = append(attrs, "step_length", long.Took, "usual_step", long.Usual, "since_long_step", now.Sub(long.Since))
	}
	return attrs
}

// recordMapInUse records the time from a long step until the map that responds to it is in use.
func (g *groupCoordinator) recordMapInUse(now time.Time, inUse orders.Version) {
	if g.change.version == 0 || inUse < g.change.version {
		return
	}
	g.change.version = 0
	if g.change.cause != causeLongStep {
		return
	}
	if took, ok := g.shift.MapInUse(now); ok {
		g.agent.common.Metrics.Observe(telemetry.ShiftResponse, g.group, took)
	}
}

// highSkew is the skew above which steps are so long that streams become late.
const highSkew = 1.5

// recordSkew records the skew of the map in use.
func (g *groupCoordinator) recordSkew(now time.Time, skew float64) {
	g.agent.common.Metrics.Set(telemetry.StepSkew, g.group, skew)
	if g.skewHigh = skew > highSkew; g.skewHigh || g.skewHighAt.IsZero() {
		g.skewHighAt = now
	}
}

// reportSkewAge updates the metrics that change with time.
func (g *groupCoordinator) reportSkewAge(now time.Time) {
	age := time.Duration(0)
	if !g.skewHigh && !g.skewHighAt.IsZero() {
		age = now.Sub(g.skewHighAt)
	}
	g.agent.common.Metrics.Set(telemetry.SkewAge, g.group, age.Seconds())
	g.agent.common.Metrics.Set(telemetry.SlowRanks, g.group, float64(g.slowdowns.Slow()))
}
