package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// copyAge bounds how old the copies are from which the store comes back.
	maxSnapshotAge = 4 * time.Second
	// lostMost bounds the configurations that the copy lacks.
	maxLostConfigurations = 8
	// awayMost bounds how long the store is away before it comes back.
	maxOutage = 2 * time.Second
	// rewrittenWithin is the time in which the operator and the targets write again what the store
	// has lost.
	rewriteWithin = time.Second
	// lapseAfter is when the entry of a target that is gone lapses.
	lapseAfter = 3600 * time.Millisecond
	// restoredEvery bounds the pause between two restores.
	maxRestorePause = 5 * time.Second
)

// restoring lets the store come back from older copies, until ctx ends. One time in four it does
// so twice in a row, one in four without an outage, and one in four it does not state its era for
// a while.
func (e *environment) runRestores(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 6))
	for time.Now().Add(maxSnapshotAge+maxOutage+lapseAfter).Before(until) && ctx.Err() == nil {
		snapshot := e.store.Copy()
		for range r.IntN(maxLostConfigurations) {
			_ = e.writeNextConfiguration() // an error would show as a version that nobody has
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxSnapshotAge))))
		outage := time.Duration(r.Int64N(int64(maxOutage)))
		if r.IntN(4) == 0 {
			outage = 0
		}
		e.restoreStore(r, snapshot, outage)
		if r.IntN(4) == 0 {
			e.restoreStore(r, snapshot, 0)
		}
		time.Sleep(lapseAfter - rewriteWithin)
		e.removeLapsed()
		e.store.SetEraHeader(standin.StatedEra)
		_ = e.writeNextConfiguration() // an error would show as a version that nobody has
		time.Sleep(time.Duration(r.Int64N(int64(maxRestorePause))))
	}
}

// restore brings the copy back, and has written again what it lacks.
func (e *environment) restoreStore(r *rand.Rand, snapshot standin.Copy, outage time.Duration) {
	now := time.Now()
	e.recorder.addFault(action{name: "store restored from a copy", affects: scopeStore}, "", now, now.Add(outage+rewriteWithin+timingSlack))
	if outage > 0 {
		e.store.SetTrouble([]standin.Trouble{standin.Busy, standin.Silent}[r.IntN(2)], 0)
		time.Sleep(outage)
	}
	if r.IntN(4) == 0 {
		e.store.SetEraHeader(func(uint64) []string { return nil })
	}
	e.store.Restore(snapshot)
	e.store.SetTrouble(standin.Sound, 0)
	time.Sleep(time.Duration(r.Int64N(int64(rewriteWithin))))
	e.rewriteObjects()
}

// rewrite writes the newest configuration and the entries of all targets.
func (e *environment) rewriteObjects() {
	e.configMu.Lock()
	_ = e.store.PutAgain("config", "main", e.configuration(e.newestVersion())) // a document of ours, which the store takes
	e.configMu.Unlock()
	for _, h := range e.currentHosts() {
		e.mu.Lock()
		in, state := h.current, h.entryState
		e.mu.Unlock()
		_ = e.store.PutAgain("servers", in.id, in.entry(h, state))
	}
}

// lapse takes away the entries of targets that are gone.
func (e *environment) removeLapsed() {
	current := map[string]bool{}
	for _, h := range e.currentHosts() {
		e.mu.Lock()
		current[h.current.id] = true
		e.mu.Unlock()
	}
	for _, id := range e.store.Names("servers") {
		if !current[id] {
			e.store.Remove("servers", id)
		}
	}
}

// places are the hosts.
func (e *environment) currentHosts() []*host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*host(nil), e.hosts...)
}
