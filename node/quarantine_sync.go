package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// quarantineSync holds the box's register of works under which targets ended, and exchanges the
// register with other boxes and with the store. The register is kept in the store because all boxes may
// end at once, and must not send such work again after they restart. quarantineSync implements
// gateway.Quarantine.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type quarantineSync struct {
	common  telemetry.Common
	notify  func() // sends updates to other boxes at once
	changed func() // called after a work was put in quarantine
	// siblings returns the other targets that run the same program, and ended reports whether the process of one has ended.
	siblings func(domain.InstanceID) []domain.Target
	ended    func(domain.Target) bool
	fleet    func(now time.Time) quarantine.Fleet
	isolated func() bool      // reports whether this box receives nothing from other halls, except through the store
	era      func() store.Era // the latest era of the store that this box has observed

	mu         sync.Mutex
	rand       *rand.Rand
	register   *quarantine.Register
	reconciler *quarantine.Reconciler
	outbox     *quarantine.Outbox
	wake       chan struct{} // makes run look at the outbox at once
}

const (
	// storeReadInterval is the time between two reads of the stored records by a box that has not
	// read them yet or is isolated, and between a failed call and the next: a third of the time
	// within which boxes have to receive each other's observations.
	storeReadInterval = time.Second
)

// Sources of observations other than other boxes.
const (
	sourceOwn   = "own"
	sourceStore = "store"
)

func newQuarantineSync(c telemetry.Common, notify func(), fleet func(time.Time) quarantine.Fleet, isolated func() bool, era func() store.Era) *quarantineSync {
	r, rnd := quarantine.NewRegister(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &quarantineSync{
		common: c, notify: notify, changed: func() {}, siblings: func(domain.InstanceID) []domain.Target { return nil }, fleet: fleet, isolated: isolated, era: era, register: r, outbox: quarantine.NewOutbox(r, clock.TimeOfDay),
		rand: rnd, reconciler: quarantine.NewReconciler(rnd), wake: make(chan struct{}, 1),
	}
}

// QuarantinedUntil implements gateway.Quarantine.
func (q *quarantineSync) QuarantinedUntil(now time.Time, w call.Work) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.BarredUntil(now, w)
}

// KnowsParts implements gateway.Quarantine.
func (q *quarantineSync) KnowsParts(w call.Work) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.KnowsParts(w)
}

// TargetEnded implements gateway.Quarantine.
func (q *quarantineSync) TargetEnded(now time.Time, w call.Work, id domain.InstanceID) {
	q.observe(now, sourceOwn, quarantine.EndsUnder(now, w, id))
}

// WorkServed implements gateway.Quarantine.
func (q *quarantineSync) WorkServed(now time.Time, w call.Work) {
	q.observe(now, sourceOwn, quarantine.ServedBy(now, w))
}

// PartsServed implements gateway.Quarantine.
func (q *quarantineSync) PartsServed(now time.Time, w call.Work) {
	q.observe(now, sourceOwn, quarantine.PartsServedBy(now, w))
}

// observe adds observations from the source to the register, logs the changes, and notifies other
// boxes if they need them at once.
func (q *quarantineSync) observe(now time.Time, source string, list []quarantine.Observation) {
	quarantined, changed := false, false
	for _, o := range list {
		q.mu.Lock()
		change := q.register.Observe(now, o)
		q.recordChange(now, o, change, source)
		switch {
		case source != sourceOwn:
		case change == quarantine.Quarantined:
			q.enqueue(o.Digest, q.outbox.AddWork(now, o.Digest))
			clock.AfterFunc(now.Add(quarantine.SurveyDelay), func() { q.survey(o) })
		case change == quarantine.Released:
			q.enqueue(o.Digest, q.outbox.AddRecord(now, q.outbox.ServedRecord(o)))
		}
		q.mu.Unlock()
		changed = changed || change != quarantine.Unchanged
		if change == quarantine.Quarantined {
			quarantined = true
			q.noteBoxes(now, o.Digest)
		}
	}
	if quarantined {
		q.changed()
	}
	if quarantined || source == sourceOwn && changed {
		q.notify()
	}
}

// survey asks whether other targets ended too, and releases the work if they did.
func (q *quarantineSync) survey(o quarantine.Observation) {
	others := q.siblings(o.Target)
	q.mu.Lock()
	asked := q.register.ToSurvey(clock.Now(), o.Digest, others, q.rand)
	q.mu.Unlock()
	var ended atomic.Int64
	var checks sync.WaitGroup
	for _, t := range asked {
		checks.Go(func() {
			if q.ended(t) {
				ended.Add(1)
			}
		})
	}
	checks.Wait()
	now := clock.Now()
	q.mu.Lock()
	change := q.register.ObserveSurvey(now, o.Digest, int(ended.Load()))
	if change == quarantine.Released {
		q.common.Metrics.Count(telemetry.Quarantines, "common cause", 1)
	}
	q.common.Log.Info("other targets asked whether they ended too", "digest", o.Digest, "asked", len(asked), "ended", ended.Load(), "released", change == quarantine.Released)
	q.mu.Unlock()
	if change == quarantine.Released {
		q.notify()
	}
}

// recordChange logs and counts the change that an observation made; mu is held.
func (q *quarantineSync) recordChange(now time.Time, w quarantine.Observation, change quarantine.Change, source string) {
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
		q.common.Log.Info("work released from quarantine because a target served it", attrs...)
	}
}

// noteBoxes records how many boxes were known as the work came into quarantine.
func (q *quarantineSync) noteBoxes(now time.Time, d call.Digest) {
	known := q.fleet(now).Known // takes a lock, so that mu must not be held
	q.mu.Lock()
	defer q.mu.Unlock()
	q.register.NoteBoxes(d, known)
}

// sourceKind returns the label of the source for counters. It does not name the box, which keeps the
// number of series low.
func sourceKind(source string) string {
	switch source {
	case sourceOwn, sourceStore:
		return source
	default:
		return "peer"
	}
}

// receive adds the observations that another box sent.
func (q *quarantineSync) receive(now time.Time, observations []mesh.WorkObservation, source string) {
	list := make([]quarantine.Observation, 0, len(observations))
	for _, w := range observations {
		list = append(list, quarantine.ReceivedObservation(now, w.Digest, w.Target, w.Age))
	}
	q.observe(now, source, list)
}

// receiveCleared adds the cleared ends that another box sent.
func (q *quarantineSync) receiveCleared(now time.Time, list []mesh.WorkObservation, source string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range list {
		o := quarantine.Observation{Digest: w.Digest, Target: w.Target, At: now.Add(-w.Age)}
		if q.register.ObserveCleared(now, o) == quarantine.Released {
			o.Target = ""
			q.recordChange(now, o, quarantine.Released, source)
		}
	}
}

// observations returns the observations to send to other boxes, the recent ones and, if all is set, those of all works in
// quarantine, for boxes that may have missed some, and the ends that were cleared lately.
func (q *quarantineSync) observations(now time.Time, all bool) (observations, cleared []mesh.WorkObservation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := q.register.LeftOut(now, all); n > 0 {
		q.common.Metrics.Count(telemetry.Quarantines, "not reported", n)
	}
	return encoded(now, q.register.Latest(now, all)), encoded(now, q.register.Cleared(now))
}

// encoded returns the observations as they are sent now.
func encoded(now time.Time, list []quarantine.Observation) []mesh.WorkObservation {
	var out []mesh.WorkObservation
	for _, o := range list {
		out = append(out, mesh.WorkObservation{Digest: o.Digest, Target: o.Target, Age: now.Sub(o.At)})
	}
	return out
}

// enqueue makes run look at the outbox, to which the record of a work was added; mu is held.
func (q *quarantineSync) enqueue(d call.Digest, added bool) {
	if !added {
		q.common.Log.Error("quarantine record not written to the store and dropped, too many are pending", "digest", d)
		return
	}
	select {
	case q.wake <- struct{}{}:
	default: // run is woken already
	}
}

// run reads the records of other boxes from the store and writes those of this box, until ctx ends.
// If first is set, the whole system starts for the first time, and the store has no records to read.
func (q *quarantineSync) run(ctx context.Context, s store.RecordStore, first bool) {
	loaded := first
	ticker := time.NewTicker(storeReadInterval)
	defer ticker.Stop()
	for {
		if compare := q.comparisonDue(); compare || !loaded || q.isolated() {
			loaded = q.load(ctx, s) || loaded
		}
		due := time.NewTimer(q.writePending(ctx, s))
		select {
		case <-ctx.Done():
		case <-q.wake:
		case <-due.C:
		case <-ticker.C:
		}
		due.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// comparisonDue reports whether the stored records are to be compared with the register, because the
// store was restored and may have lost records that this box has.
func (q *quarantineSync) comparisonDue() bool {
	now, era := clock.Now(), q.era()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reconciler.ObserveEra(now, era)
	if !q.reconciler.Due(now) {
		return false
	}
	if len(q.register.ToPersist(now)) == 0 && len(q.register.LiftsToPersist(now, quarantine.NewRegister())) == 0 {
		q.reconciler.MarkCompared()
		return false
	}
	return true
}

// compare enqueues the records of this box that the restored store lacks. names has the names of the
// records in the store, and lifts the lifts that they state.
func (q *quarantineSync) compare(now time.Time, names map[string]bool, lifts *quarantine.Register) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.reconciler.Due(now) {
		return
	}
	q.reconciler.MarkCompared()
	for _, r := range q.outbox.Missing(now, names, lifts) {
		q.common.Log.Warn("restored store lacks quarantine record, writing it again", "digest", r.Digest(), "record", r.Name())
		q.enqueue(r.Digest(), q.outbox.AddRecord(now, r))
	}
}

// load adds the observations of the stored records, and reports whether the store answered. It removes
// expired records from the store: nothing else removes them.
func (q *quarantineSync) load(ctx context.Context, s store.RecordStore) bool {
	l, err := s.List(ctx, platform.Quarantines)
	q.recordCall("list", err)
	if err != nil {
		return false
	}
	stored := q.readRecords(l.Records)
	for _, name := range stored.Expired() {
		q.recordCall("remove", s.Remove(ctx, platform.Quarantines, name))
	}
	names, lifts := map[string]bool{}, quarantine.NewRegister()
	for _, r := range l.Records {
		names[r.Name] = true
	}
	now := clock.Now()
	for _, lift := range stored.Lifts() {
		lifts.ObserveLift(now, lift)
	}
	q.compare(now, names, lifts)
	return true
}

// readRecords adds what the stored records state to the register.
func (q *quarantineSync) readRecords(records []store.Record) quarantine.StoredRecords {
	now := clock.Now()
	stored := quarantine.NewStoredRecords(now, time.Now(), q.decode(records))
	for _, lift := range stored.Lifts() {
		q.observeLift(now, lift, sourceStore)
	}
	q.observe(now, sourceStore, stored.Observations())
	return stored
}

// decode returns the records that can be decoded by name.
func (q *quarantineSync) decode(records []store.Record) map[string]quarantine.Record {
	decoded := map[string]quarantine.Record{}
	for _, r := range records {
		var record quarantine.Record
		if err := json.Unmarshal(r.Spec, &record); err != nil {
			q.common.Log.Error("quarantine record of the store cannot be decoded, ignoring it", "record", r.Name, "at", r.At, "err", err)
			continue
		}
		decoded[r.Name] = record
	}
	return decoded
}

// writePending writes the records that are due to the store, until a call fails, and returns the time until the next
// one is due.
func (q *quarantineSync) writePending(ctx context.Context, s store.RecordStore) time.Duration {
	for {
		next, due, wait := q.nextPending()
		if !due {
			return wait
		}
		spec, err := json.Marshal(next)
		if err == nil {
			err = s.Create(ctx, platform.Quarantines, next.Name(), spec)
		}
		if errors.Is(err, store.ErrExists) {
			err = nil // another box wrote it, or an earlier call succeeded though it returned an error
		}
		q.recordCall("create", err)
		if err != nil {
			return storeReadInterval
		}
		q.mu.Lock()
		q.outbox.Written()
		q.mu.Unlock()
	}
}

// nextPending returns the record that is due, or else the time until the next one is.
func (q *quarantineSync) nextPending() (r quarantine.Record, due bool, wait time.Duration) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, due = q.outbox.Next(now); due {
		return r, true, 0
	}
	wait = storeReadInterval
	if at, ok := q.outbox.NextDue(); ok {
		wait = min(wait, at.Sub(now))
	}
	return r, false, wait
}

// recordCall counts a call to the store, and logs a failed one.
func (q *quarantineSync) recordCall(call string, err error) {
	name := call + " " + string(platform.Quarantines)
	if err == nil {
		q.common.Metrics.Count(telemetry.PlatformCalls, name, 1)
		return
	}
	q.common.Metrics.Count(telemetry.PlatformCalls, name+" failed", 1)
	q.common.Log.Warn("call to the store for quarantine records failed, retrying", "call", call, "err", err)
}
