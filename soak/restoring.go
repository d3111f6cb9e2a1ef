package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// copyAge bounds how old the copies are from which the store comes back.
	copyAge = 4 * time.Second
	// lostMost bounds the configurations that the copy lacks.
	lostMost = 8
	// awayMost bounds how long the store is away before it comes back.
	awayMost = 2 * time.Second
	// rewrittenWithin is the time in which the operator and the targets write again what the store
	// has lost.
	rewrittenWithin = time.Second
	// lapseAfter is when the entry of a target that is gone lapses.
	lapseAfter = 3600 * time.Millisecond
	// restoredEvery bounds the pause between two restores.
	restoredEvery = 5 * time.Second
)

// restoring lets the store come back from older copies, until ctx ends. One time in four it does
// so twice in a row, one in four without an outage, and one in four it does not state its era for
// a while.
func (w *world) restoring(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(w.options.Seed, 6))
	for time.Now().Add(copyAge+awayMost+lapseAfter).Before(until) && ctx.Err() == nil {
		held := w.store.Snapshot()
		for range r.IntN(lostMost) {
			_ = w.configure() // an error would show as a version that nobody has
		}
		time.Sleep(time.Duration(r.Int64N(int64(copyAge))))
		away := time.Duration(r.Int64N(int64(awayMost)))
		if r.IntN(4) == 0 {
			away = 0
		}
		w.restore(r, held, away)
		if r.IntN(4) == 0 {
			w.restore(r, held, 0)
		}
		time.Sleep(lapseAfter - rewrittenWithin)
		w.lapse()
		w.store.SetEraHeader(standin.DefaultEraHeader)
		_ = w.configure() // an error would show as a version that nobody has
		time.Sleep(time.Duration(r.Int64N(int64(restoredEvery))))
	}
}

// restore brings the copy back, and has written again what it lacks.
func (w *world) restore(r *rand.Rand, held standin.Snapshot, away time.Duration) {
	now := time.Now()
	w.ledger.fault(act{name: "store restored from a copy", hits: store}, "", now, now.Add(away+rewrittenWithin+slack))
	if away > 0 {
		w.store.SetFailureMode([]standin.FailureMode{standin.Unavailable, standin.Unresponsive}[r.IntN(2)], 0)
		time.Sleep(away)
	}
	if r.IntN(4) == 0 {
		w.store.SetEraHeader(func(uint64) []string { return nil })
	}
	w.store.Restore(held)
	w.store.SetFailureMode(standin.Healthy, 0)
	time.Sleep(time.Duration(r.Int64N(int64(rewrittenWithin))))
	w.rewrite()
}

// rewrite writes the newest configuration and the entries of all targets.
func (w *world) rewrite() {
	w.configuring.Lock()
	_ = w.store.PutIfChanged("config", "main", w.document(w.newest())) // a document of ours, which the store takes
	w.configuring.Unlock()
	for _, h := range w.places() {
		w.mu.Lock()
		in, state := h.now, h.state
		w.mu.Unlock()
		_ = w.store.PutIfChanged("servers", in.id, in.entry(h, state))
	}
}

// lapse takes away the entries of targets that are gone.
func (w *world) lapse() {
	lives := map[string]bool{}
	for _, h := range w.places() {
		w.mu.Lock()
		lives[h.now.id] = true
		w.mu.Unlock()
	}
	for _, id := range w.store.Names("servers") {
		if !lives[id] {
			w.store.Remove("servers", id)
		}
	}
}

// places are the hosts.
func (w *world) places() []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*host(nil), w.hosts...)
}
