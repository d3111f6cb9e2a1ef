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
// gateway.Quarantine. What follows from observations, and when the store is read and written, is decided by
// quarantine.Exchange.
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

	mu       sync.Mutex
	rand     *rand.Rand
	exchange *quarantine.Exchange
	register *quarantine.Register // of the exchange
	wake     chan struct{}        // makes run look for records to write at once
}

// Sources of observations other than other boxes.
const (
	sourceOwn   = "own"
	sourceStore = "store"
)

func newQuarantineSync(c telemetry.Common, first bool, notify func(), fleet func(time.Time) quarantine.Fleet, isolated func() bool, era func() store.Era) *quarantineSync {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	x := quarantine.NewExchange(rnd, clock.TimeOfDay, first)
	return &quarantineSync{
		common: c, notify: notify, changed: func() {}, siblings: func(domain.InstanceID) []domain.Target { return nil }, fleet: fleet, isolated: isolated, era: era,
		rand: rnd, exchange: x, register: x.Register(), wake: make(chan struct{}, 1),
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
	q.mu.Lock()
	list := q.register.EndsUnder(now, w, id)
	q.mu.Unlock()
	q.observeOwn(now, list)
}

// WorkServed implements gateway.Quarantine.
func (q *quarantineSync) WorkServed(now time.Time, w call.Work) {
	q.observeOwn(now, quarantine.ServedBy(now, w))
}

// PartsServed implements gateway.Quarantine.
func (q *quarantineSync) PartsServed(now time.Time, w call.Work) {
	q.observeOwn(now, quarantine.PartsServedBy(now, w))
}

// observeOwn adds observations of this box.
func (q *quarantineSync) observeOwn(now time.Time, list []quarantine.Observation) {
	q.mu.Lock()
	e := q.exchange.ObserveOwn(now, list)
	q.mu.Unlock()
	q.apply(now, sourceOwn, e)
}

// observeOthers adds observations from another source.
func (q *quarantineSync) observeOthers(now time.Time, source string, list []quarantine.Observation) {
	q.mu.Lock()
	e := q.exchange.ObserveOthers(now, list)
	q.mu.Unlock()
	q.apply(now, source, e)
}

// apply carries out the effects of observations from the source.
func (q *quarantineSync) apply(now time.Time, source string, e quarantine.Effects) {
	for _, o := range e.Observed {
		q.recordChange(now, o, source)
	}
	q.wakeWriter(e)
	for _, o := range e.Surveys {
		clock.AfterFunc(e.SurveyAt, func() { q.survey(o) })
	}
	for _, d := range e.Quarantined {
		q.noteBoxes(now, d)
	}
	if len(e.Quarantined) > 0 {
		q.changed()
	}
	if e.Notify {
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

// recordChange logs and counts the change that an observation made.
func (q *quarantineSync) recordChange(now time.Time, o quarantine.Observed, source string) {
	attrs := []any{"digest", o.Digest, "target", o.Target, "ended", o.Ended, "age", now.Sub(o.At), "source", source}
	switch o.Change {
	case quarantine.Unchanged:
	case quarantine.Updated:
		if o.Target != "" {
			q.common.Log.Warn("target ended under work", attrs...)
		}
	case quarantine.Quarantined:
		q.common.Metrics.Count(telemetry.Quarantines, sourceKind(source), 1)
		q.common.Log.Warn("work in quarantine", append(attrs, "left", o.Until.Sub(now))...)
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
	q.observeOthers(now, source, list)
}

// receiveCleared adds the cleared ends that another box sent.
func (q *quarantineSync) receiveCleared(now time.Time, list []mesh.WorkObservation, source string) {
	cleared := make([]quarantine.Observation, 0, len(list))
	for _, w := range list {
		cleared = append(cleared, quarantine.Observation{Digest: w.Digest, Target: w.Target, At: now.Add(-w.Age)})
	}
	q.mu.Lock()
	released := q.exchange.ObserveCleared(now, cleared)
	q.mu.Unlock()
	for _, o := range released {
		q.recordChange(now, o, source)
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

// wakeWriter makes run write new records, and logs those that are not written.
func (q *quarantineSync) wakeWriter(e quarantine.Effects) {
	for _, d := range e.Dropped {
		q.common.Log.Error("quarantine record not written to the store and dropped, too many are pending", "digest", d)
	}
	if !e.Write {
		return
	}
	select {
	case q.wake <- struct{}{}:
	default: // run is woken already
	}
}

// run reads the records of other boxes from the store and writes those of this box, until ctx ends.
func (q *quarantineSync) run(ctx context.Context, s store.RecordStore) {
	ticker := time.NewTicker(quarantine.RetryInterval)
	defer ticker.Stop()
	for {
		if q.readDue() {
			q.load(ctx, s)
		}
		due := time.NewTimer(clock.Until(q.writePending(ctx, s)))
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

// readDue reports whether the stored records are to be read now.
func (q *quarantineSync) readDue() bool {
	era, isolated := q.era(), q.isolated()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.exchange.ReadDue(clock.Now(), era, isolated)
}

// load adds the observations of the stored records. It removes expired records from the store: nothing else
// removes them.
func (q *quarantineSync) load(ctx context.Context, s store.RecordStore) {
	l, err := s.List(ctx, platform.Quarantines)
	q.recordCall("list", err)
	if err != nil {
		return
	}
	stored := q.readRecords(l.Records)
	for _, name := range stored.Expired() {
		q.recordCall("remove", s.Remove(ctx, platform.Quarantines, name))
	}
	names := map[string]bool{}
	for _, r := range l.Records {
		names[r.Name] = true
	}
	q.mu.Lock()
	missing, e := q.exchange.MarkRead(clock.Now(), names, stored)
	q.mu.Unlock()
	for _, r := range missing {
		q.common.Log.Warn("restored store lacks quarantine record, writing it again", "digest", r.Digest(), "record", r.Name())
	}
	q.wakeWriter(e)
}

// readRecords adds what the stored records state to the register.
func (q *quarantineSync) readRecords(records []store.Record) quarantine.StoredRecords {
	now := clock.Now()
	stored := quarantine.NewStoredRecords(now, time.Now(), q.decode(records))
	for _, lift := range stored.Lifts() {
		q.observeLift(now, lift, sourceStore)
	}
	q.observeOthers(now, sourceStore, stored.Observations())
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

// writePending writes the records that are due to the store, until a call fails, and returns when to call it
// again.
func (q *quarantineSync) writePending(ctx context.Context, s store.RecordStore) time.Time {
	for {
		record, due, next := q.nextWrite()
		if !due {
			return next
		}
		spec, err := json.Marshal(record)
		if err == nil {
			err = s.Create(ctx, platform.Quarantines, record.Name(), spec)
		}
		if errors.Is(err, store.ErrExists) {
			err = nil // another box wrote it, or an earlier call succeeded though it returned an error
		}
		q.recordCall("create", err)
		if err != nil {
			return clock.Now().Add(quarantine.RetryInterval)
		}
		q.mu.Lock()
		q.exchange.Written()
		q.mu.Unlock()
	}
}

// nextWrite returns the record that is due, or else when the next one may be.
func (q *quarantineSync) nextWrite() (quarantine.Record, bool, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.exchange.NextWrite(clock.Now())
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
