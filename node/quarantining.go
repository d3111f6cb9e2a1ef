package node

import (
	"context"
	"encoding/json"
	"errors"
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

// quarantining guards what the box knows of works under which targets ended, tells other boxes
// and keeps it in the store: all boxes may die at once, and must not send such work again
// then. It implements gateway.Quarantine.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type quarantining struct {
	common telemetry.Common
	news   func() // makes this box tell others at once

	mu       sync.Mutex
	register *quarantine.Register
	unkept   []quarantine.Record // that this box is to keep in the store
	wake     chan struct{}
}

const (
	// keepAgain is the pause after a call to the store that failed: works in quarantine are
	// few, and other boxes know of them meanwhile.
	keepAgain = time.Second
	// unkeptMost bounds the records that wait for the store.
	unkeptMost = 64
)

// Where a box knows a quarantine from, beside other boxes.
const (
	sourceOwn   = "own"
	sourceStore = "store"
)

func newQuarantining(c telemetry.Common) *quarantining {
	return &quarantining{common: c, register: quarantine.NewRegister(), news: func() {}, wake: make(chan struct{}, 1)}
}

// Barred implements gateway.Quarantine.
func (q *quarantining) Barred(now time.Time, d call.Digest) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.Barred(now, d)
}

// Ended implements gateway.Quarantine.
func (q *quarantining) Ended(now time.Time, d call.Digest, id domain.InstanceID) {
	if q.take(now, quarantine.Word{Digest: d, Target: id, At: now}, sourceOwn) == quarantine.Barred {
		q.keep(d)
	}
}

// Served implements gateway.Quarantine.
func (q *quarantining) Served(now time.Time, d call.Digest) {
	q.take(now, quarantine.Word{Digest: d, At: now}, sourceOwn)
}

// take takes a word from the source, and logs what it changes.
func (q *quarantining) take(now time.Time, w quarantine.Word, source string) quarantine.Change {
	q.mu.Lock()
	change := q.register.Take(now, w)
	ended := q.register.Ended(w.Digest)
	until, _ := q.register.Barred(now, w.Digest)
	q.mu.Unlock()
	switch change {
	case quarantine.News:
		if w.Target != "" {
			q.common.Log.Warn("target ended under work", "digest", w.Digest, "target", w.Target, "ended", ended, "age", now.Sub(w.At), "source", source)
		}
	case quarantine.Barred:
		q.common.Metrics.Count(telemetry.Quarantines, sourceKind(source), 1)
		q.common.Log.Warn("work in quarantine", "digest", w.Digest, "target", w.Target, "ended", ended, "left", until.Sub(now), "age", now.Sub(w.At), "source", source)
	case quarantine.Released:
		q.common.Metrics.Count(telemetry.Quarantines, "released", 1)
		q.common.Log.Info("work released from quarantine, it was served", "digest", w.Digest, "age", now.Sub(w.At), "source", source)
	}
	if source == sourceOwn && change != quarantine.Nothing || change == quarantine.Barred {
		q.news()
	}
	return change
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

// heard takes what another box told.
func (q *quarantining) heard(now time.Time, words []mesh.WorkWord, source string) {
	for _, w := range words {
		q.take(now, quarantine.Word{Digest: w.Digest, Target: w.Target, At: now.Add(-w.Ago)}, source)
	}
}

// tell is what other boxes are to hear.
func (q *quarantining) tell(now time.Time) []mesh.WorkWord {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []mesh.WorkWord
	for _, w := range q.register.Tell(now) {
		list = append(list, mesh.WorkWord{Digest: w.Digest, Target: w.Target, Ago: now.Sub(w.At)})
	}
	return list
}

// keep has the store keep what is known of the work.
func (q *quarantining) keep(d call.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.unkept) >= unkeptMost {
		q.common.Log.Error("quarantine not kept, too many wait for the store", "digest", d, "waiting", len(q.unkept))
		return
	}
	q.unkept = append(q.unkept, quarantine.RecordOf(q.register.Of(d)))
	select {
	case q.wake <- struct{}{}:
	default: // it is awake already
	}
}

// run reads what the store keeps, and then keeps there what this box finds out, until ctx
// ends. As the whole system starts for the first time there is nothing to read.
func (q *quarantining) run(ctx context.Context, s store.Shelf, first bool) {
	for !first && ctx.Err() == nil && !q.load(ctx, s) {
		clock.SleepUntil(ctx, clock.Now().Add(keepAgain))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for ctx.Err() == nil && !q.keepNext(ctx, s) {
			clock.SleepUntil(ctx, clock.Now().Add(keepAgain))
		}
	}
}

// load takes what the store keeps, and tells whether it answered. What is over there is taken
// away: nothing else does.
func (q *quarantining) load(ctx context.Context, s store.Shelf) bool {
	l, err := s.List(ctx, platform.Quarantines)
	q.called("list", err)
	if err != nil {
		return false
	}
	now := clock.Now()
	for _, r := range l.Records {
		var kept quarantine.Record
		if err := json.Unmarshal(r.Spec, &kept); err != nil {
			q.common.Log.Error("quarantine not taken", "record", r.Name, "revision", r.Revision, "err", err)
			continue
		}
		if kept.Over(now) {
			q.called("remove", s.Remove(ctx, platform.Quarantines, r.Name))
			continue
		}
		for _, w := range kept.Words(now) {
			q.take(now, w, sourceStore)
		}
	}
	return true
}

// keepNext keeps the records that wait, and tells whether all are kept.
func (q *quarantining) keepNext(ctx context.Context, s store.Shelf) bool {
	for {
		q.mu.Lock()
		if len(q.unkept) == 0 {
			q.mu.Unlock()
			return true
		}
		next := q.unkept[0]
		q.mu.Unlock()
		spec, err := json.Marshal(next)
		if err == nil {
			err = s.Create(ctx, platform.Quarantines, next.Name(), spec)
		}
		if errors.Is(err, store.ErrExists) {
			err = nil // another box kept it, or an earlier call was done after all
		}
		q.called("create", err)
		if err != nil {
			return false
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
	q.common.Log.Warn("store did not take or give quarantines", "call", call, "err", err)
}
