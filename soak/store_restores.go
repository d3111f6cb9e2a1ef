package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// maxSnapshotAge limits the age of the backups from which the store is restored.
	maxSnapshotAge = 4 * time.Second
	// maxLostConfigurations limits the number of configurations written after the backup was taken.
	maxLostConfigurations = 8
	// maxOutage limits the time for which the store is unavailable before a restore.
	maxOutage = 2 * time.Second
	// rewriteWithin is the time within which the operator and the targets write the objects again that
	// the store has lost.
	rewriteWithin = time.Second
	// lapseAfter is the time after which the store drops the entry of a target that no longer runs.
	lapseAfter = 3600 * time.Millisecond
	// maxRestorePause limits the pause between two restores.
	maxRestorePause = 5 * time.Second
)

// runRestores restores the store from older backups repeatedly. It ends with ctx, or when too little
// time is left before until. One restore in four is made twice in a row, one in four without an outage,
// and after one in four the store does not state its era for a while.
func (e *environment) runRestores(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 6))
	for time.Now().Add(maxSnapshotAge+maxOutage+lapseAfter).Before(until) && ctx.Err() == nil {
		snapshot := e.store.Snapshot()
		for range r.IntN(maxLostConfigurations) {
			_ = e.writeNextConfiguration() // after an error, no box has the version, which the checks report
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
		e.store.SetEraHeader(standin.DefaultEraHeader)
		_ = e.writeNextConfiguration() // after an error, no box has the version, which the checks report
		time.Sleep(time.Duration(r.Int64N(int64(maxRestorePause))))
	}
}

// restoreStore restores the store from the snapshot, after an outage if it is not zero, and then has
// the lost objects written again.
func (e *environment) restoreStore(r *rand.Rand, snapshot standin.Snapshot, outage time.Duration) {
	now := time.Now()
	e.recorder.addFault(action{name: "store restored from a copy", affects: scopeStore}, "", now, now.Add(outage+rewriteWithin+timingSlack))
	if outage > 0 {
		e.store.SetFailureMode([]standin.FailureMode{standin.Unavailable, standin.Unresponsive}[r.IntN(2)], 0)
		time.Sleep(outage)
	}
	if r.IntN(4) == 0 {
		e.store.SetEraHeader(func(uint64) []string { return nil })
	}
	e.store.Restore(snapshot)
	e.store.SetFailureMode(standin.Healthy, 0)
	time.Sleep(time.Duration(r.Int64N(int64(rewriteWithin))))
	e.rewriteObjects()
}

// rewriteObjects writes the newest configuration, the evacuations and the entries of all targets to the
// store.
func (e *environment) rewriteObjects() {
	if e.options.Evacuations {
		e.writeEvacuations()
	}
	e.configMu.Lock()
	_ = e.store.PutIfChanged("config", "main", e.configuration(e.newestVersion())) // no error is expected: the store accepted this document before
	e.configMu.Unlock()
	for _, h := range e.currentHosts() {
		e.mu.Lock()
		in, state := h.current, h.entryState
		e.mu.Unlock()
		_ = e.store.PutIfChanged("servers", in.id, in.entry(h, state))
	}
	for id, entry := range e.otherEntries() {
		_ = e.store.PutIfChanged("servers", id, entry)
	}
}

// removeLapsed removes the entries of targets that no longer run.
func (e *environment) removeLapsed() {
	current := map[string]bool{}
	for _, h := range e.currentHosts() {
		e.mu.Lock()
		current[h.current.id] = true
		e.mu.Unlock()
	}
	for id := range e.otherEntries() {
		current[id] = true
	}
	for _, id := range e.store.Names("servers") {
		if !current[id] {
			e.store.Remove("servers", id)
		}
	}
}

// otherEntries returns the entries of the targets that no host runs, by id.
func (e *environment) otherEntries() map[string]map[string]any {
	entries := map[string]map[string]any{}
	maps.Copy(entries, e.rankEntries())
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.Copy(entries, e.entries)
	return entries
}

// addEntry writes the entry of a target that no host runs to the store.
func (e *environment) addEntry(id string, entry map[string]any) error {
	e.mu.Lock()
	e.entries[id] = entry
	e.mu.Unlock()
	_, err := e.store.Put("servers", id, entry)
	return err
}

// removeEntry removes such an entry from the store.
func (e *environment) removeEntry(id string) {
	e.mu.Lock()
	delete(e.entries, id)
	e.mu.Unlock()
	e.store.Remove("servers", id)
}

// currentHosts returns a copy of the list of hosts.
func (e *environment) currentHosts() []*host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*host(nil), e.hosts...)
}
