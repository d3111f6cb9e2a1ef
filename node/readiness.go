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

// readiness answers the platform's question whether the box takes callers. It does
// once it has a configuration, until it leaves. While it is cut off from all other
// data halls and has no target for a service that is asked for, it does not either:
// callers are then sent to other halls, where such targets may be.
type readiness struct {
	configured atomic.Bool
	leaving    atomic.Bool
	stranded   atomic.Bool
}

func (r *readiness) ready() bool {
	return r.configured.Load() && !r.leaving.Load() && !r.stranded.Load()
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// judgeEvery is the time between two looks whether the box is stranded: a few in
// each pause of the platform's questions, which come once a second.
const judgeEvery = 200 * time.Millisecond

// noteStandings logs what this box thinks of targets where that has changed.
func (e *Entry) noteStandings(now time.Time) {
	standings := e.fleet.standings(now)
	for id, s := range standings {
		if before := e.loggedStandings[id]; before != s {
			e.common.Log.Info("target standing", "target", id, "standing", s, "before", before)
		}
	}
	e.loggedStandings = standings
}

// noteEjected logs that a target is out of use as several boxes report failures of it.
func (e *Entry) noteEjected(id domain.InstanceID) {
	e.common.Metrics.Count(telemetry.Ejections, "failure reports", 1)
	e.common.Log.Warn("target ejected, several boxes report failures", "target", id)
}

// noteLeft logs that a target reports that it is leaving, and notifies other boxes at once.
func (e *Entry) noteLeft(id domain.InstanceID, source string) {
	e.common.Log.Info("target announced that it is leaving", "target", id, "source", source)
	e.peering.notify()
}

// judge keeps the readiness until ctx ends.
func (e *Entry) judge(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		stranded := (e.peering.isolated(now) || e.fleet.otherHallsSilent(now)) && e.fleet.lacksTargets(now)
		if before := e.ready.stranded.Swap(stranded); before != stranded {
			e.common.Log.Warn("cut off without targets", "stranded", stranded, "before", before)
		}
		e.noteStandings(now)
		clock.SleepUntil(ctx, now.Add(judgeEvery))
	}
}
