package quarantine

import (
	"encoding/json"
	"fmt"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// Record is the stored form of a quarantine, for boxes that have no observations of the work. It
// encodes as JSON.
type Record struct{ f recordFields }

type recordFields struct {
	Digest call.Digest `json:"digest"`
	// Ended maps each target that ended under the work to the time at which it ended, in
	// milliseconds of Unix time.
	Ended map[domain.InstanceID]int64 `json:"ended"`
}

// NewRecord returns the record of a Register's observations of one work. The times of the observations
// must be wall-clock times.
func NewRecord(observations []Observation) Record {
	r := Record{f: recordFields{Ended: map[domain.InstanceID]int64{}}}
	for _, o := range observations {
		r.f.Digest = o.Digest
		r.f.Ended[o.Target] = o.At.UnixMilli()
	}
	return r
}

// Name returns the name of the stored record, unique to the work and to the number of targets that
// ended under it.
func (r Record) Name() string { return fmt.Sprintf("%s-%d", r.f.Digest, len(r.f.Ended)) }

// Observations returns the observations of the record relative to now, where day is the
// wall-clock time at now. The clocks of boxes may differ by seconds; quarantines last for minutes.
func (r Record) Observations(now, day time.Time) []Observation {
	var list []Observation
	for id, ms := range r.f.Ended {
		ago := day.Sub(time.UnixMilli(ms))
		list = append(list, Observation{Digest: r.f.Digest, Target: id, At: now.Add(-max(ago, 0))})
	}
	return list
}

// Expired reports whether the quarantine, and the time for which the work is remembered after it,
// have passed at the wall-clock time day.
func (r Record) Expired(day time.Time) bool {
	var last int64
	for _, ms := range r.f.Ended {
		last = max(last, ms)
	}
	return day.Sub(time.UnixMilli(last).Add(term(len(r.f.Ended)-minEnded))) > retention
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) { return json.Marshal(r.f) }

// UnmarshalJSON implements json.Unmarshaler, and checks the record.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var f recordFields
	if err := json.Unmarshal(raw, &f); err != nil {
		return fault.New(fault.InvalidObject, "decoding a quarantine record: %v", err)
	}
	if f.Digest == "" || len(f.Ended) == 0 {
		return fault.New(fault.InvalidObject, "quarantine record without a digest or without targets").Field("digest")
	}
	r.f = f
	return nil
}
