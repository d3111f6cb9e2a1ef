package node

import (
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/mesh"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/telemetry"
)

// This file has the ways out of a quarantine before its time: trials by boxes, and lifts by operators.

// BeginTrial implements gateway.Quarantine.
func (q *quarantineSync) BeginTrial(now time.Time, w call.Work) bool {
	q.mu.Lock()
	d, ok := q.register.TrialOf(now, w)
	due := ok && q.register.TrialDue(now, d)
	q.mu.Unlock()
	if !due || !q.tryWork(now, d, q.fleet(now)) {
		return false
	}
	q.notify()
	return true
}

// tryWork begins a trial of the work if this box may.
func (q *quarantineSync) tryWork(now time.Time, d call.Digest, f quarantine.Fleet) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.register.BeginTrial(now, d, f) {
		return false
	}
	until, _ := q.register.QuarantinedUntil(now, d)
	q.common.Metrics.Count(telemetry.Quarantines, "trial", 1)
	q.common.Log.Warn("work in quarantine is tried at one target", "digest", d, "ended", q.register.EndedTargets(d), "left", until.Sub(now), "boxes", len(f.Reached))
	return true
}

// EndTrial implements gateway.Quarantine.
func (q *quarantineSync) EndTrial(now time.Time, w call.Work, ran bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range w.Digests() {
		if !q.register.EndTrial(now, d, ran) {
			continue
		}
		_, quarantined := q.register.QuarantinedUntil(now, d)
		q.common.Log.Info("trial of work in quarantine ended", "digest", d, "ended", q.register.EndedTargets(d), "quarantined", quarantined)
	}
}

// holdsAny reports whether any work is in quarantine.
func (q *quarantineSync) holdsAny(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.register.InQuarantine(now)) > 0
}

// trialsAndLifts returns the trials and lifts to send to other boxes.
func (q *quarantineSync) trialsAndLifts(now time.Time) (trials []mesh.WorkTrial, lifts []mesh.WorkLift) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.register.Claims(now) {
		trials = append(trials, mesh.WorkTrial{Digest: c.Digest, After: c.After})
	}
	for _, l := range q.register.Lifts(now) {
		lifts = append(lifts, mesh.WorkLift{Digest: l.Digest, Age: now.Sub(l.At)})
	}
	return trials, lifts
}

// receiveTrials adds the trials that another box sent, and notifies others of a new one at once.
func (q *quarantineSync) receiveTrials(now time.Time, trials []mesh.WorkTrial) {
	began := false
	q.mu.Lock()
	for _, t := range trials {
		began = q.register.ObserveClaim(now, quarantine.Claim{Digest: t.Digest, After: t.After}) || began
	}
	q.mu.Unlock()
	if began {
		q.notify()
	}
}

// receiveLifts adds the lifts that another box sent.
func (q *quarantineSync) receiveLifts(now time.Time, lifts []mesh.WorkLift, source string) {
	for _, l := range lifts {
		q.observeLift(now, quarantine.ReceivedLift(now, l.Digest, l.Age), source)
	}
}

// observeLift adds a lift from the source to the register, logs the release of the work, and notifies other
// boxes of a new lift.
func (q *quarantineSync) observeLift(now time.Time, l quarantine.Lift, source string) {
	q.mu.Lock()
	change := q.register.ObserveLift(now, l)
	if change == quarantine.Lifted {
		q.common.Metrics.Count(telemetry.Quarantines, "lifted", 1)
		q.common.Log.Info("work released from quarantine because an operator lifted it", "digest", l.Digest, "age", now.Sub(l.At), "source", source)
	}
	q.mu.Unlock()
	if change != quarantine.Unchanged {
		q.notify()
	}
}
