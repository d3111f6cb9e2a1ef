package quarantine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// Record is the stored form of a quarantine, for boxes that have no observations of the work, or of its
// end: that an operator lifted it, or that the work was served. It encodes as JSON.
type Record struct{ f recordFields }

// recordFields has all times in milliseconds of Unix time.
type recordFields struct {
	Digest call.Digest `json:"digest"`
	// Ended maps each target that ended under the work to the time at which it ended. Boxes of versions
	// that know no lifts ignore a record without it, with an error in their logs.
	Ended map[domain.InstanceID]int64 `json:"ended,omitempty"`
	// Lifted is when an operator lifted the quarantine, and Served when the work was served, which ended
	// it; 0 if neither.
	Lifted int64 `json:"lifted,omitempty"`
	Served int64 `json:"served,omitempty"`
}

// NewRecord returns the record of a Register's observations of one work. The times of the observations
// must be wall-clock times.
func NewRecord(observations []Observation) Record {
	r := Record{f: recordFields{Ended: map[domain.InstanceID]int64{}}}
	for _, o := range observations {
		r.f.Digest = o.Digest
		if o.Target == "" {
			r.f.Served = o.At.UnixMilli()
		} else {
			r.f.Ended[o.Target] = o.At.UnixMilli()
		}
	}
	return r
}

// NewLiftRecord returns the record of a lift at the wall-clock time day. It lifts the quarantine that the
// observations of ended targets make; there may be none. The boxes that recorded them may have clocks that
// are ahead.
func NewLiftRecord(d call.Digest, day time.Time, ended []Observation) Record {
	r := NewRecord(ended)
	r.f.Digest = d
	r.f.Lifted = max(day.UnixMilli(), r.lastEnded()+1)
	return r
}

// Name returns the name of the stored record, unique to its content: a work that was lifted or served may
// come into quarantine again after as many targets as before.
func (r Record) Name() string {
	switch {
	case r.f.Lifted != 0:
		return fmt.Sprintf("%s-lifted-%d", r.f.Digest, r.f.Lifted)
	case r.f.Served != 0:
		return fmt.Sprintf("%s-served-%d", r.f.Digest, r.f.Served)
	}
	ids := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(r.f.Ended)) {
		_, _ = ids.WriteString(string(id) + "\x00") // never fails
	}
	return fmt.Sprintf("%s-%d-%016x", r.f.Digest, len(r.f.Ended), ids.Sum64())
}

// Digest returns the digest of the work.
func (r Record) Digest() call.Digest { return r.f.Digest }

// Observations returns the observations of the record relative to now, where day is the
// wall-clock time at now. The clocks of boxes may differ by seconds; quarantines last for minutes.
func (r Record) Observations(now, day time.Time) []Observation {
	var list []Observation
	for id, ms := range r.f.Ended {
		list = append(list, Observation{Digest: r.f.Digest, Target: id, At: at(now, day, ms)})
	}
	if r.f.Served != 0 && !isAhead(day, r.f.Served) {
		list = append(list, Observation{Digest: r.f.Digest, At: at(now, day, r.f.Served)})
	}
	return list
}

// Lift returns the lift of the record relative to now; false for none. An operator whose clock is wrong
// lifts what the operator saw in the store.
func (r Record) Lift(now, day time.Time) (Lift, bool) {
	ms := r.f.Lifted
	if isAhead(day, ms) {
		ms = r.lastEnded()
	}
	if ms == 0 {
		return Lift{}, false
	}
	return Lift{Digest: r.f.Digest, At: at(now, day, ms)}, true
}

// at returns the time of a record relative to now.
func at(now, day time.Time, ms int64) time.Time {
	return now.Add(-max(day.Sub(time.UnixMilli(ms)), 0))
}

// isAhead reports whether the time is later than clocks that differ can explain. Such a time would clear later
// ends each time that it is read anew.
func isAhead(day time.Time, ms int64) bool {
	return time.UnixMilli(ms).Sub(day) > maxClockDifference
}

// lastEnded returns when the last target ended; 0 for none.
func (r Record) lastEnded() int64 {
	var last int64
	for _, ms := range r.f.Ended {
		last = max(last, ms)
	}
	return last
}

// Expired reports whether the quarantine, and the time for which the work is remembered after it,
// have passed at the wall-clock time day; of a lift or service, whether no box or record has an end from
// before it any more.
func (r Record) Expired(day time.Time) bool {
	if end := max(r.f.Lifted, r.f.Served); end != 0 {
		return day.Sub(time.UnixMilli(end)) > liftRetention
	}
	return day.Sub(time.UnixMilli(r.lastEnded()).Add(duration(len(r.f.Ended)-minEnded))) > retention
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) { return json.Marshal(r.f) }

// UnmarshalJSON implements json.Unmarshaler, and checks the record.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var f recordFields
	if err := json.Unmarshal(raw, &f); err != nil {
		return fault.New(fault.InvalidObject, "decoding a quarantine record: %v", err)
	}
	if f.Digest == "" || len(f.Ended) == 0 && f.Lifted == 0 && f.Served == 0 || f.Lifted < 0 || f.Served < 0 {
		return fault.New(fault.InvalidObject, "quarantine record without a digest, or without targets and without a lift").Field("digest")
	}
	r.f = f
	return nil
}
