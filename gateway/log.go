package gateway

import (
	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/retry"
	"clovertrail.dev/telemetry"
)

// refused reports a request that was refused.
func (g *Gateway) refused(o *order, err error) {
	g.parts.Common.Metrics.Refused(fault.KindOf(err))
	g.parts.Common.Log.Warn("request refused", "request", o.ID(), "digest", o.digest, "route", o.route.Name(), "service", o.service,
		"organisation", o.org.Name, "config", o.version, "kind", fault.KindOf(err), "err", err, "after", clock.Since(o.arrived))
}

// attempted reports an attempt that was not the end of its request.
func (g *Gateway) attempted(o *order, a *attempt, end retry.Outcome, cmd retry.Command) {
	if _, ok := cmd.(retry.Deliver); ok {
		return
	}
	if _, again := cmd.(retry.Try); again {
		reasons := a.d.course.Reasons()
		g.parts.Common.Metrics.Retried(reasons[len(reasons)-1])
	}
	attrs := []any{"request", o.ID(), "digest", o.digest, "target", a.lease.Target().ID(), "attempt", a.try.Attempt,
		"resume", a.try.Resume, "end", describe(end), "target_ended", a.gone,
		"rest", a.rest(), "target_leaving", a.answer.Leaving, "next", describe(cmd), "after", clock.Since(o.arrived)}
	g.parts.Common.Log.Warn("attempt failed", withLimit(attrs, a.answer.Limit)...)
}

// delivered reports a request that was answered.
func (g *Gateway) delivered(o *order, d *delivery) {
	g.stays.ended(clock.Now(), o.route.Name(), clock.Since(o.arrived))
	m, kind := g.parts.Common.Metrics, o.route.Kind()
	m.Count(telemetry.Answers, "ok", 1)
	m.Observe(telemetry.FirstByte, kind.String(), d.first.Sub(o.arrived))
	m.Observe(telemetry.Held, kind.String(), clock.Since(o.arrived))
	if kind == catalog.Stream {
		m.Observe(telemetry.Pause, "", d.pause)
	}
	attrs := []any{"request", o.ID(), "digest", o.digest, "route", o.route.Name(), "organisation", o.org.Name,
		"target", d.tried[len(d.tried)-1], "status", d.status, "attempts", d.course.Attempts(), "events", d.events, "pause", d.pause,
		"first", d.first.Sub(o.arrived), "after", clock.Since(o.arrived)}
	g.parts.Common.Log.Info("request answered", withLimit(attrs, d.limit)...)
}

// withLimit adds the limit that the target named, if it did.
func withLimit(attrs []any, l call.Limit) []any {
	if _, named := l.(call.Limited); named {
		return append(attrs, "limit", l)
	}
	return attrs
}

// aborted reports an answer that was broken off.
func (g *Gateway) aborted(o *order, d *delivery, err *fault.Error) {
	g.parts.Common.Metrics.Count(telemetry.Answers, "broken", 1)
	g.parts.Common.Log.Warn("answer broken off", "request", o.ID(), "digest", o.digest, "route", o.route.Name(), "service", o.service,
		"attempts", d.course.Attempts(), "events", d.events, "kind", err.Kind(), "err", err, "after", clock.Since(o.arrived))
}

// left reports a caller whose connection ended before its answer: it did not wait, or
// the time that this box had for its stop was over.
func (g *Gateway) left(o *order, d *delivery) {
	if end := g.leaving.Load(); end != nil && !clock.Now().Before(*end) {
		g.parts.Common.Metrics.Count(telemetry.Answers, "cut by the stop", 1)
		g.parts.Common.Log.Error("answer cut by the stop of this box", "request", o.ID(), "digest", o.digest, "route", o.route.Name(),
			"attempts", d.course.Attempts(), "events", d.events, "after", clock.Since(o.arrived))
		return
	}
	g.parts.Common.Metrics.Refused(fault.Cancelled)
	g.parts.Common.Log.Info("caller left", "request", o.ID(), "digest", o.digest, "route", o.route.Name(),
		"attempts", d.course.Attempts(), "events", d.events, "after", clock.Since(o.arrived))
}
