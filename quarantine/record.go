package quarantine

import (
	"encoding/json"
	"fmt"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// Record is what is kept of a work in quarantine where no box remembers it. It encodes as JSON.
type Record struct{ f recordFields }

type recordFields struct {
	Digest call.Digest `json:"digest"`
	// Ended is when targets ended under the work, in milliseconds of Unix time.
	Ended map[domain.InstanceID]int64 `json:"ended"`
}

// NewRecord is the record of what a Register knows of a work, at times of day.
func NewRecord(of []Observation) Record {
	r := Record{f: recordFields{Ended: map[domain.InstanceID]int64{}}}
	for _, w := range of {
		r.f.Digest = w.Digest
		r.f.Ended[w.Target] = w.At.UnixMilli()
	}
	return r
}

// Name tells the record from those of other works, and of the same with more targets.
func (r Record) Name() string { return fmt.Sprintf("%s-%d", r.f.Digest, len(r.f.Ended)) }

// Observations are what the record says, as of now, which is the given time of day. Boxes may
// disagree on that by seconds; quarantines last for minutes.
func (r Record) Observations(now, day time.Time) []Observation {
	var list []Observation
	for id, ms := range r.f.Ended {
		ago := day.Sub(time.UnixMilli(ms))
		list = append(list, Observation{Digest: r.f.Digest, Target: id, At: now.Add(-max(ago, 0))})
	}
	return list
}

// Expired reports that the quarantine, and the time for which it is remembered, have passed at the
// time of day.
func (r Record) Expired(day time.Time) bool {
	var last int64
	for _, ms := range r.f.Ended {
		last = max(last, ms)
	}
	return day.Sub(time.UnixMilli(last).Add(term(len(r.f.Ended)-enough))) > rememberFor
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) { return json.Marshal(r.f) }

// UnmarshalJSON implements json.Unmarshaler, and checks the record.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var f recordFields
	if err := json.Unmarshal(raw, &f); err != nil {
		return fault.New(fault.InvalidObject, "a record of a quarantine: %v", err)
	}
	if f.Digest == "" || len(f.Ended) == 0 {
		return fault.New(fault.InvalidObject, "a record of a quarantine names no work or no target").Field("digest")
	}
	r.f = f
	return nil
}
