package gateway

import (
	"cmp"
	"context"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/limit"
	"clovertrail.dev/liveness"
	"clovertrail.dev/retry"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

const (
	// minStatusWait is how long a request whose attempt was lost waits at least until it is known whether its target has
	// ended, before it may be sent to another one.
	minStatusWait = 100 * time.Millisecond
	// lateEndWait is how long a target may take to end that closed its connections, or whose request was cancelled.
	lateEndWait = 10 * time.Second
	// defaultHealthPath is used for services whose configuration names none. Any response shows that a target is alive.
	defaultHealthPath = "/"
)

// processOf returns the process of the target.
func processOf(t domain.Target) transport.Process {
	return transport.Process{Address: t.Address(), Instance: t.ID()}
}

// CheckTarget finds out whether the process of the target is alive from now on, until ctx ends.
func (g *Gateway) CheckTarget(ctx context.Context, t domain.Target, witnesses []string) liveness.Status {
	end, start := g.deps.Pool.Now(), clock.Now()
	q := transport.ProcessQuery{Process: processOf(t), HealthPath: g.healthCheckPath(t.Service()), Witnesses: witnesses, End: end}
	status := g.deps.Pool.CheckProcess(ctx, q)
	g.deps.Common.Metrics.Count(telemetry.ProcessChecks, status.String(), 1)
	g.deps.Common.Metrics.Observe(telemetry.ProcessCheckTime, status.String(), clock.Since(start))
	if status == liveness.Ended || status == liveness.Unproven && !callerGone(ctx) {
		g.deps.Common.Log.Info("target did not respond after the end of a connection", "target", t.ID(), "address", t.Address(), "status", status,
			"witnesses", len(witnesses), "after", clock.Since(start))
	}
	return status
}

func (g *Gateway) healthCheckPath(name domain.ServiceName) string {
	if c := g.Catalog(); c != nil {
		if s, ok := c.Service(name); ok {
			return cmp.Or(s.HealthPath, defaultHealthPath)
		}
	}
	return defaultHealthPath
}

// checkTarget finds out whether the target's process is alive from now on, until ctx ends.
func (a *attempt) checkTarget(ctx context.Context) liveness.Status {
	return a.d.g.CheckTarget(ctx, a.lease.Target(), a.lease.Witnesses())
}

// targetStatus finds out whether the target's process ended during the attempt, and not only its connection. When a group
// loses a rank, the processes of the other ranks abort their requests but stay alive; these requests must not be
// recorded as the cause. If that is not known by the time at which another target would be tried in any case, the request goes
// on, and an end that shows later is recorded then.
func (a *attempt) targetStatus(ctx context.Context, end retry.Outcome) liveness.Status {
	if ctx.Err() != nil || !endedByTarget(end) {
		return liveness.Unproven
	}
	now := clock.Now()
	until := now.Add(minStatusWait)
	if a.try.FirstByteDeadline.After(until) {
		until = a.try.FirstByteDeadline
	}
	waitCtx, cancel := clock.WithDeadline(ctx, until)
	defer cancel()
	status := a.checkTarget(waitCtx)
	if status == liveness.Unproven && waitCtx.Err() != nil {
		go a.reportLateEnd(a.workOfLateEnd(now))
	}
	return status
}

// endedByTarget reports whether the outcome is that of a response or a connection that the target ended. A target that sent
// more than a limit allows was still sending.
func endedByTarget(end retry.Outcome) bool {
	switch end := end.(type) {
	case retry.Lost:
		return !limit.IsExceeded(end.Err)
	case retry.Broken:
		return !limit.IsExceeded(end.Err)
	default:
		return false
	}
}

// workOfLateEnd returns the work that may be ending the target, and notes the attempt as one whose target may have ended.
func (a *attempt) workOfLateEnd(now time.Time) call.Work {
	if a.d.lostAfter != 0 {
		return a.suspectedAgain()
	}
	a.d.lostAfter, a.d.knownParts = max(now.Sub(a.sentAt), 1), a.d.g.deps.Quarantine.KnowsParts(a.d.req.work)
	return a.suspectedWork()
}

// reportLateEnd reports the work to the quarantine if the target's process ends within lateEndWait.
func (a *attempt) reportLateEnd(work call.Work) {
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(lateEndWait))
	defer cancel()
	if a.checkTarget(ctx) == liveness.Ended {
		a.d.g.deps.Quarantine.TargetEnded(clock.Now(), work, a.lease.Target().ID())
	}
}
