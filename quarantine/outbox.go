package quarantine

import (
	"slices"
	"time"

	"clovertrail.dev/core/call"
)

const (
	// settleTime is the time from an observation of this box until the quarantine that follows from it is written to the
	// store. By then observations of other boxes have arrived that may explain it otherwise.
	settleTime = 500 * time.Millisecond
	// maxPending is the maximum number of records that wait for the store.
	maxPending = 64
)

// Outbox holds what a box is to write to the store, in the order in which it is due. It is a state machine without
// I/O, and not safe for concurrent use.
type Outbox struct {
	register  *Register
	timeOfDay func(time.Time) time.Time
	pending   []pendingRecord
}

// pendingRecord is a record to write, or a work of which the record is made as it is written.
type pendingRecord struct {
	dueAt  time.Time
	work   call.Digest // empty if the record is complete
	record Record
}

// NewOutbox returns an empty outbox for the works of the register. timeOfDay converts times of observations into
// those of records.
func NewOutbox(r *Register, timeOfDay func(time.Time) time.Time) *Outbox {
	return &Outbox{register: r, timeOfDay: timeOfDay}
}

// AddWork has the quarantine of the work written once it has settled. It returns false if there is no room.
func (o *Outbox) AddWork(now time.Time, d call.Digest) bool {
	if slices.ContainsFunc(o.pending, func(p pendingRecord) bool { return p.work == d }) {
		return true
	}
	return o.add(pendingRecord{dueAt: now.Add(settleTime), work: d})
}

// AddRecord has the record written. It returns false if there is no room.
func (o *Outbox) AddRecord(now time.Time, r Record) bool {
	return o.add(pendingRecord{dueAt: now, record: r})
}

func (o *Outbox) add(p pendingRecord) bool {
	if len(o.pending) >= maxPending {
		return false
	}
	i, _ := slices.BinarySearchFunc(o.pending, p, func(x, y pendingRecord) int {
		if x.dueAt.After(y.dueAt) {
			return 1
		}
		return -1 // behind those that are due at the same time
	})
	o.pending = slices.Insert(o.pending, i, p)
	return true
}

// Next returns the record that is to be written now, and leaves out works that are not in quarantine any more. Written
// is called once the store has the record.
func (o *Outbox) Next(now time.Time) (r Record, due bool) {
	for len(o.pending) > 0 && !o.pending[0].dueAt.After(now) {
		p := o.pending[0]
		if p.work == "" {
			return p.record, true
		}
		if _, quarantined := o.register.QuarantinedUntil(now, p.work); quarantined {
			return o.RecordOf(p.work), true
		}
		o.Written()
	}
	return Record{}, false
}

// Written removes the record that Next returned.
func (o *Outbox) Written() { o.pending = o.pending[1:] }

// NextDue returns when the next record is due; false for none.
func (o *Outbox) NextDue() (at time.Time, ok bool) {
	if len(o.pending) == 0 {
		return time.Time{}, false
	}
	return o.pending[0].dueAt, true
}

// RecordOf returns the record of a work of the register.
func (o *Outbox) RecordOf(d call.Digest) Record { return o.record(o.register.Observations(d)) }

// ServedRecord returns the record of the observation that a work was served.
func (o *Outbox) ServedRecord(served Observation) Record { return o.record([]Observation{served}) }

func (o *Outbox) record(observations []Observation) Record {
	for i := range observations {
		observations[i].At = o.timeOfDay(observations[i].At)
	}
	return NewRecord(observations)
}

// Missing returns the records of this box that a store lacks: names has the names of its records, and stored what
// they state.
func (o *Outbox) Missing(now time.Time, names map[string]bool, stored *Register) []Record {
	var missing []Record
	for _, d := range o.register.ToPersist(now) {
		if r := o.RecordOf(d); !names[r.Name()] {
			missing = append(missing, r)
		}
	}
	for _, l := range o.register.LiftsToPersist(now, stored) {
		missing = append(missing, NewLiftRecord(l.Digest, o.timeOfDay(l.At), nil))
	}
	return missing
}
