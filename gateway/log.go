package gateway

import (
	"strings"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/retry"
	"clovertrail.dev/telemetry"
)

// logRefused logs and counts a refused request.
func (g *Gateway) logRefused(req *inboundRequest, err error) {
	g.deps.Common.Metrics.CountRefusal(fault.KindOf(err))
	attrs := []any{"request", req.ID(), "digest", req.work.Request(), "route", req.route.Name(), "service", req.service,
		"organisation", req.org.Name, "class", req.class, "config", req.version, "kind", fault.KindOf(err), "err", err, "after", clock.Since(req.arrived)}
	g.deps.Common.Log.Warn("request refused", withPrefixes(attrs, req)...)
}

// logAttempt logs an attempt that did not end its request with a response, and counts a retry.
func (g *Gateway) logAttempt(req *inboundRequest, a *attempt, end retry.Outcome, cmd retry.Command) {
	if _, ok := cmd.(retry.Deliver); ok {
		return
	}
	if _, again := cmd.(retry.Try); again {
		reasons := a.d.machine.Reasons()
		g.deps.Common.Metrics.CountRetry(reasons[len(reasons)-1])
	}
	attrs := []any{"request", req.ID(), "digest", req.work.Request(), "target", a.lease.Target().ID(), "attempt", a.try.Attempt,
		"resume", a.try.Resume, "last_event", a.d.after, "end", describe(end), "target_ended", a.processEnded,
		"rest", a.requestedRest(), "target_leaving", a.response.Leaving, "progress", a.progress(), "next", describe(cmd), "after", clock.Since(req.arrived)}
	g.deps.Common.Log.Warn("attempt failed", withPrefixes(withLimit(attrs, a.response.Limit), req)...)
}

// maxLoggedPrefixes is the maximum number of prefixes of a prompt in a log line.
const maxLoggedPrefixes = 16

// withPrefixes appends the prefixes that the prompt may share with other prompts, if any.
func withPrefixes(attrs []any, req *inboundRequest) []any {
	list := req.Prompt().SharedPrefixes()
	if len(list) == 0 {
		return attrs
	}
	attrs = append(attrs, "prefixes", strings.Join(list[:min(len(list), maxLoggedPrefixes)], ","))
	if more := len(list) - maxLoggedPrefixes; more > 0 {
		attrs = append(attrs, "more_prefixes", more)
	}
	return attrs
}

// logOverdue logs an attempt that goes on although its response has not begun by the timeout.
func (g *Gateway) logOverdue(req *inboundRequest, a *attempt) {
	g.deps.Common.Log.Info("response overdue, waiting for it since no other target can be tried", "request", req.ID(), "digest", req.work.Request(),
		"route", req.route.Name(), "service", req.service, "class", req.class, "target", a.lease.Target().ID(), "attempt", a.try.Attempt,
		"after", clock.Since(req.arrived))
}

// logDelivered logs a request that was answered, and records its times.
func (g *Gateway) logDelivered(req *inboundRequest, d *delivery) {
	g.responseTimes.record(clock.Now(), req.route.Name(), clock.Since(req.arrived))
	m, kind := g.deps.Common.Metrics, req.route.Kind()
	m.Count(telemetry.Answers, "ok", 1)
	m.Observe(telemetry.FirstByte, kind.String(), d.firstByteAt.Sub(req.arrived))
	m.Observe(telemetry.RequestTime, kind.String(), clock.Since(req.arrived))
	if kind == catalog.Stream {
		m.Observe(telemetry.StreamPause, "", d.maxGap)
	}
	attrs := []any{"request", req.ID(), "digest", req.work.Request(), "route", req.route.Name(), "organisation", req.org.Name, "class", req.class,
		"target", d.tried[len(d.tried)-1], "status", d.status, "attempts", d.machine.Attempts(), "events", d.events, "last_event", d.after, "pause", d.maxGap,
		"first", d.firstByteAt.Sub(req.arrived), "after", clock.Since(req.arrived)}
	g.deps.Common.Log.Info("request answered", withPrefixes(withLimit(attrs, d.limit), req)...)
}

// withLimit appends the limit that the target named, if any.
func withLimit(attrs []any, l call.Limit) []any {
	if _, named := l.(call.Limited); named {
		return append(attrs, "limit", l)
	}
	return attrs
}

// logAborted logs and counts a response that was aborted after a part of it had been sent.
func (g *Gateway) logAborted(req *inboundRequest, d *delivery, err *fault.Error) {
	g.deps.Common.Metrics.Count(telemetry.Answers, "broken", 1)
	g.deps.Common.Log.Warn("answer broken off", "request", req.ID(), "digest", req.work.Request(), "route", req.route.Name(), "service", req.service,
		"attempts", d.machine.Attempts(), "events", d.events, "last_event", d.after, "kind", err.Kind(), "err", err, "after", clock.Since(req.arrived))
}

// logCallerGone logs and counts a request whose connection ended before its response: the caller
// did not wait, or the planned stop of this box ran out of time and closed the connection.
func (g *Gateway) logCallerGone(req *inboundRequest, d *delivery) {
	if plan := g.stop.Load(); plan != nil && !clock.Now().Before(plan.End()) {
		g.deps.Common.Metrics.Count(telemetry.Answers, "cut by the stop", 1)
		g.deps.Common.Log.Error("planned stop timed out before the response was complete", "request", req.ID(), "digest", req.work.Request(), "route", req.route.Name(),
			"attempts", d.machine.Attempts(), "events", d.events, "after", clock.Since(req.arrived))
		return
	}
	g.deps.Common.Metrics.CountRefusal(fault.Cancelled)
	g.deps.Common.Log.Info("caller left", "request", req.ID(), "digest", req.work.Request(), "route", req.route.Name(),
		"attempts", d.machine.Attempts(), "events", d.events, "after", clock.Since(req.arrived))
}
