package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
	"clovertrail.dev/platform"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
)

// quarantining guards what the box knows of works under which targets ended, notifies other boxes
// and keeps it in the store: all boxes may die at once, and must not send such work again
// then. It implements gateway.Quarantine.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type quarantining struct {
	common telemetry.Common
	news   func()           // makes this box notify others at once
	apart  func() bool      // reports that this box hears no other hall, so that only the store tells it
	era    func() store.Era // the latest of the store that this box has learned of

	mu       sync.Mutex
	register *quarantine.Register
	rewriter *quarantine.Reconciler
	unkept   []quarantine.Record // that this box is to keep in the store
	wake     chan struct{}
}

const (
	// lookEvery is the time between two looks at the store, by a box that has not read it yet
	// or that hears no other hall, and before a call that failed is made again: a third of the
	// time in which boxes have to know of each other's findings.
	lookEvery = time.Second
	// unkeptMost bounds the records that wait for the store.
	unkeptMost = 64
)

// Where a box knows a quarantine from, beside other boxes.
const (
	sourceOwn   = "own"
	sourceStore = "store"
)

func newQuarantining(c telemetry.Common, news func(), apart func() bool, era func() store.Era) *quarantining {
	return &quarantining{
		common: c, news: news, apart: apart, era: era, register: quarantine.NewRegister(),
		rewriter: quarantine.NewReconciler(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), wake: make(chan struct{}, 1),
	}
}

// Barred implements gateway.Quarantine.
func (q *quarantining) Barred(now time.Time, d call.Digest) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.QuarantinedUntil(now, d)
}

// TargetEnded implements gateway.Quarantine.
func (q *quarantining) TargetEnded(now time.Time, d call.Digest, id domain.InstanceID) {
	q.take(now, quarantine.Observation{Digest: d, Target: id, At: now}, sourceOwn)
}

// WorkServed implements gateway.Quarantine.
func (q *quarantining) WorkServed(now time.Time, d call.Digest) {
	q.take(now, quarantine.Observation{Digest: d, At: now}, sourceOwn)
}

// take takes a report from the source, logs what it changes, and sees to it that others are notified.
func (q *quarantining) take(now time.Time, w quarantine.Observation, source string) {
	q.mu.Lock()
	change := q.register.Observe(now, w)
	q.note(now, w, change, source)
	barred := change == quarantine.Quarantined
	if barred && source == sourceOwn {
		q.keep(w.Digest)
	}
	q.mu.Unlock()
	if barred || source == sourceOwn && change != quarantine.Unchanged {
		q.news()
	}
}

// note logs and counts what an observation changed; mu is held.
func (q *quarantining) note(now time.Time, w quarantine.Observation, change quarantine.Change, source string) {
	attrs := []any{"digest", w.Digest, "target", w.Target, "ended", q.register.EndedTargets(w.Digest), "age", now.Sub(w.At), "source", source}
	switch change {
	case quarantine.Unchanged:
	case quarantine.Updated:
		if w.Target != "" {
			q.common.Log.Warn("target ended under work", attrs...)
		}
	case quarantine.Quarantined:
		until, _ := q.register.QuarantinedUntil(now, w.Digest)
		q.common.Metrics.Count(telemetry.Quarantines, sourceKind(source), 1)
		q.common.Log.Warn("work in quarantine", append(attrs, "left", until.Sub(now))...)
	case quarantine.Released:
		q.common.Metrics.Count(telemetry.Quarantines, "released", 1)
		q.common.Log.Info("work released from quarantine, it was served", attrs...)
	}
}

// sourceKind names the source without the box, so that a counter has few series.
func sourceKind(source string) string {
	switch source {
	case sourceOwn, sourceStore:
		return source
	default:
		return "peer"
	}
}

// receive takes what another box sent.
func (q *quarantining) receive(now time.Time, observations []mesh.WorkObservation, source string) {
	for _, w := range observations {
		q.take(now, quarantine.Observation{Digest: w.Digest, Target: w.Target, At: now.Add(-w.Age)}, source)
	}
}

// observations is what other boxes are sent, and with all, what they may have missed.
func (q *quarantining) observations(now time.Time, all bool) []mesh.WorkObservation {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []mesh.WorkObservation
	for _, w := range q.register.Latest(now, all) {
		list = append(list, mesh.WorkObservation{Digest: w.Digest, Target: w.Target, Age: now.Sub(w.At)})
	}
	return list
}

// keep has the store keep what this box found out of the work; mu is held.
func (q *quarantining) keep(d call.Digest) {
	if len(q.unkept) >= unkeptMost {
		q.common.Log.Error("quarantine not stored, too many wait for the store", "digest", d, "waiting", len(q.unkept))
		return
	}
	q.unkept = append(q.unkept, q.record(d))
	select {
	case q.wake <- struct{}{}:
	default: // it is awake already
	}
}

// record is what the store is to keep of the work; mu is held.
func (q *quarantining) record(d call.Digest) quarantine.Record {
	observations := q.register.Observations(d)
	for i := range observations {
		observations[i].At = clock.TimeOfDay(observations[i].At)
	}
	return quarantine.NewRecord(observations)
}

// run reads what the store keeps, and keeps there what this box finds out, until ctx ends. As
// the whole system starts for the first time there is nothing to read.
func (q *quarantining) run(ctx context.Context, s store.RecordStore, first bool) {
	loaded := first
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		if compare := q.toCompare(); compare || !loaded || q.apart() {
			loaded = q.load(ctx, s) || loaded
		}
		q.keepAll(ctx, s)
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-look.C:
		}
	}
}

// toCompare reports whether the store was restored and may have lost what this box knows.
func (q *quarantining) toCompare() bool {
	now, era := clock.Now(), q.era()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rewriter.ObserveEra(now, era)
	if !q.rewriter.Due(now) {
		return false
	}
	if len(q.register.ToPersist(now)) == 0 {
		q.rewriter.MarkCompared()
		return false
	}
	return true
}

// compare has what the restored store has lost written again. names are those of its records.
func (q *quarantining) compare(now time.Time, names map[string]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.rewriter.Due(now) {
		return
	}
	q.rewriter.MarkCompared()
	for _, d := range q.register.ToPersist(now) {
		if !names[q.record(d).Name()] {
			q.common.Log.Warn("quarantine lost by the store, writing it again", "digest", d)
			q.keep(d)
		}
	}
}

// load takes what the store keeps, and reports whether it answered. What is over there is taken
// away: nothing else does.
func (q *quarantining) load(ctx context.Context, s store.RecordStore) bool {
	l, err := s.List(ctx, platform.Quarantines)
	q.called("list", err)
	if err != nil {
		return false
	}
	now, day, names := clock.Now(), time.Now(), map[string]bool{}
	for _, r := range l.Records {
		names[r.Name] = true
		var kept quarantine.Record
		if err := json.Unmarshal(r.Spec, &kept); err != nil {
			q.common.Log.Error("quarantine record rejected", "record", r.Name, "at", r.At, "err", err)
			continue
		}
		if kept.Expired(day) {
			q.called("remove", s.Remove(ctx, platform.Quarantines, r.Name))
			continue
		}
		for _, w := range kept.Observations(now, day) {
			q.take(now, w, sourceStore)
		}
	}
	q.compare(now, names)
	return true
}

// next is the record that waits longest.
func (q *quarantining) next() (quarantine.Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.unkept) == 0 {
		return quarantine.Record{}, false
	}
	return q.unkept[0], true
}

// keepAll keeps the records that wait, until the store fails.
func (q *quarantining) keepAll(ctx context.Context, s store.RecordStore) {
	for next, ok := q.next(); ok; next, ok = q.next() {
		spec, err := json.Marshal(next)
		if err == nil {
			err = s.Create(ctx, platform.Quarantines, next.Name(), spec)
		}
		if errors.Is(err, store.ErrExists) {
			err = nil // another box kept it, or an earlier call was done after all
		}
		q.called("create", err)
		if err != nil {
			return
		}
		q.mu.Lock()
		q.unkept = q.unkept[1:]
		q.mu.Unlock()
	}
}

// called counts a call to the store, and logs one that failed.
func (q *quarantining) called(call string, err error) {
	name := call + " " + string(platform.Quarantines)
	if err == nil {
		q.common.Metrics.Count(telemetry.PlatformCalls, name, 1)
		return
	}
	q.common.Metrics.Count(telemetry.PlatformCalls, name+" failed", 1)
	q.common.Log.Warn("call to the store for quarantines failed, retrying", "call", call, "err", err)
}
