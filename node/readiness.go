package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/telemetry"
)

// readiness serves the platform's readiness checks. The box is ready for callers once it has a
// configuration, until its planned stop. It is not ready while it is isolated, that is, cut off from
// all other data halls and without a target for a service that is requested: callers are then sent
// to other halls, which may have such targets.
type readiness struct {
	configured atomic.Bool
	leaving    atomic.Bool
	isolated   atomic.Bool
}

func (r *readiness) ready() bool {
	return r.configured.Load() && !r.leaving.Load() && !r.isolated.Load()
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readinessInterval is the time between two checks of whether the box is isolated: a few between
// two readiness checks of the platform, which come once a second.
const readinessInterval = 200 * time.Millisecond

// standingsInterval is the time between two comparisons of standings for the log, which rate all targets.
const standingsInterval = time.Second

// logStandings logs the standings of targets that have changed since the last comparison.
func (e *Entry) logStandings(now time.Time) {
	if now.Sub(e.standingsLoggedAt) < standingsInterval {
		return
	}
	e.standingsLoggedAt = now
	standings := e.fleet.standings(now)
	for id, s := range standings {
		if before := e.loggedStandings[id]; before != s {
			e.common.Log.Info("target standing", "target", id, "standing", s, "before", before)
		}
	}
	e.loggedStandings = standings
}

// onTargetEjected records that a target gets no requests because several boxes report failures of
// it.
func (e *Entry) onTargetEjected(id domain.InstanceID) {
	e.common.Metrics.Count(telemetry.Ejections, "failure reports", 1)
	e.common.Log.Warn("target ejected, several boxes report failures", "target", id)
}

// onTargetLeaving logs that a target reports that it is leaving, and notifies other boxes at once.
func (e *Entry) onTargetLeaving(id domain.InstanceID, source string) {
	e.common.Log.Info("target reported that it is leaving, notifying other boxes", "target", id, "source", source)
	e.peering.notify()
}

// checkReadiness updates the readiness, logs changed standings and finds pauses of this box until ctx ends.
func (e *Entry) checkReadiness(ctx context.Context) {
	checkedAt := clock.Now()
	for ctx.Err() == nil {
		now := clock.Now()
		if e.pauses.Check(now) {
			e.common.Log.Warn("process was not scheduled for long, ends of connections since then are in doubt", "since", clock.Since(checkedAt))
		}
		checkedAt = now
		isolated := (e.peering.isolated(now) || e.fleet.otherHallsSilent(now)) && e.fleet.lacksTargets(now)
		if before := e.ready.isolated.Swap(isolated); before != isolated {
			e.common.Log.Warn("cut off without targets", "stranded", isolated, "before", before)
		}
		e.logStandings(now)
		e.logShedding(now)
		clock.SleepUntil(ctx, now.Add(readinessInterval))
	}
}
