package quarantine

import (
	"math/rand/v2"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/store"
)

// RetryInterval is the time between two reads of the stored records by a box that has not read them yet or is
// isolated, and between a failed call and the next: a third of the time within which boxes have to receive each
// other's observations.
const RetryInterval = time.Second

// Exchange decides what a box does about works in quarantine: what it reports to other boxes, when it reads the stored
// records, what it writes to the store, and when it asks targets whether they ended too.
//
// It does no I/O and is not safe for concurrent use.
type Exchange struct {
	register   *Register
	reconciler *Reconciler
	outbox     *Outbox
	read       bool // the stored records were read, or there were none as the system started
}

// Effects are what follows from observations.
type Effects struct {
	Observed []Observed
	// Quarantined are the works that came into quarantine, or into a longer one.
	Quarantined []call.Digest
	// Surveys are the observations of this box for which other targets are asked at SurveyAt whether they ended too.
	Surveys  []Observation
	SurveyAt time.Time
	// Dropped are the works whose record is not written, as too many are pending.
	Dropped []call.Digest
	// Notify states that other boxes are notified at once.
	Notify bool
	// Write states that the outbox has a new record.
	Write bool
}

// Observed is an observation with the change that it made.
type Observed struct {
	Observation
	Change Change
	Ended  int       // targets known to have ended under the work
	Until  time.Time // end of the quarantine, if the work came into one
}

// NewExchange returns the state of a box without observations. If first is set, the whole system starts for the
// first time, and the store has no records. timeOfDay is as of NewOutbox.
func NewExchange(rnd *rand.Rand, timeOfDay func(time.Time) time.Time, first bool) *Exchange {
	r := NewRegister()
	return &Exchange{register: r, reconciler: NewReconciler(rnd), outbox: NewOutbox(r, timeOfDay), read: first}
}

// Register returns the observations of the box.
func (x *Exchange) Register() *Register { return x.register }

// ObserveOwn adds observations of this box. Quarantines that follow from them are written to the store.
func (x *Exchange) ObserveOwn(now time.Time, list []Observation) Effects {
	e := Effects{SurveyAt: now.Add(SurveyDelay)}
	for _, o := range list {
		change := x.observe(now, o, &e)
		switch change {
		case Quarantined:
			e.Surveys = append(e.Surveys, o)
			x.enqueue(&e, o.Digest, x.outbox.AddWork(now, o.Digest))
		case Released:
			x.enqueue(&e, o.Digest, x.outbox.AddRecord(now, x.outbox.ServedRecord(o)))
		}
		e.Notify = e.Notify || change != Unchanged
	}
	return e
}

// ObserveOthers adds observations of other boxes or of the store. Others are notified at once only of a work that
// came into quarantine: the sender notifies them of the rest.
func (x *Exchange) ObserveOthers(now time.Time, list []Observation) Effects {
	e := Effects{}
	for _, o := range list {
		x.observe(now, o, &e)
	}
	e.Notify = len(e.Quarantined) > 0
	return e
}

func (x *Exchange) observe(now time.Time, o Observation, e *Effects) Change {
	change := x.register.Observe(now, o)
	e.Observed = append(e.Observed, x.observed(now, o, change))
	if change == Quarantined {
		e.Quarantined = append(e.Quarantined, o.Digest)
	}
	return change
}

func (x *Exchange) observed(now time.Time, o Observation, c Change) Observed {
	observed := Observed{Observation: o, Change: c, Ended: x.register.EndedTargets(o.Digest)}
	if c == Quarantined {
		observed.Until, _ = x.register.QuarantinedUntil(now, o.Digest)
	}
	return observed
}

func (x *Exchange) enqueue(e *Effects, d call.Digest, added bool) {
	if !added {
		e.Dropped = append(e.Dropped, d)
		return
	}
	e.Write = true
}

// ObserveCleared adds ends that another box knows as cleared, and returns the releases that follow.
func (x *Exchange) ObserveCleared(now time.Time, list []Observation) []Observed {
	var released []Observed
	for _, o := range list {
		if x.register.ObserveCleared(now, o) == Released {
			o.Target = "" // the work was served
			released = append(released, x.observed(now, o, Released))
		}
	}
	return released
}

// ReadDue reports whether the box is to read the stored records now: it has not read them yet, it receives nothing
// from other halls except through the store, or the store was restored and may lack records that this box has. era is
// the latest one of the store that the box has observed.
func (x *Exchange) ReadDue(now time.Time, era store.Era, isolated bool) bool {
	return x.comparisonDue(now, era) || !x.read || isolated
}

func (x *Exchange) comparisonDue(now time.Time, era store.Era) bool {
	x.reconciler.ObserveEra(now, era)
	if !x.reconciler.Due(now) {
		return false
	}
	if len(x.register.ToPersist(now)) == 0 && len(x.register.LiftsToPersist(now, NewRegister())) == 0 {
		x.reconciler.MarkCompared()
		return false
	}
	return true
}

// MarkRead records that all stored records were read and observed; names has the names of all of them, and stored
// what those state that can be decoded. It returns the records that are written again, since the store lost them, and
// the effects.
func (x *Exchange) MarkRead(now time.Time, names map[string]bool, stored StoredRecords) ([]Record, Effects) {
	x.read = true
	e := Effects{}
	if !x.reconciler.Due(now) {
		return nil, e
	}
	x.reconciler.MarkCompared()
	lifts := NewRegister()
	for _, l := range stored.Lifts() {
		lifts.ObserveLift(now, l)
	}
	missing := x.outbox.Missing(now, names, lifts)
	for _, r := range missing {
		x.enqueue(&e, r.Digest(), x.outbox.AddRecord(now, r))
	}
	return missing, e
}

// NextWrite returns the record that is to be written now; if there is none, when to look again.
func (x *Exchange) NextWrite(now time.Time) (r Record, due bool, next time.Time) {
	if r, due = x.outbox.Next(now); due {
		return r, true, now
	}
	next = now.Add(RetryInterval)
	if at, ok := x.outbox.NextDue(); ok && at.Before(next) {
		next = at
	}
	return r, false, next
}

// Written records that the store has the record of NextWrite.
func (x *Exchange) Written() { x.outbox.Written() }
