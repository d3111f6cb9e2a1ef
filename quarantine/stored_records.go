package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// StoredRecords are the records that a box read from the store.
type StoredRecords struct {
	now, day time.Time // of the read; day is the wall-clock time at now
	valid    map[string]Record
	expired  []string
}

// NewStoredRecords returns the records, by name, as they were read at now; day is the wall-clock time at now.
func NewStoredRecords(now, day time.Time, records map[string]Record) StoredRecords {
	s := StoredRecords{now: now, day: day, valid: maps.Clone(records)}
	for _, name := range slices.Sorted(maps.Keys(records)) {
		if records[name].Expired(day) {
			delete(s.valid, name)
			s.expired = append(s.expired, name)
		}
	}
	return s
}

// Expired returns the names of the records to remove from the store, sorted.
func (s StoredRecords) Expired() []string { return s.expired }

// Lifts returns the lifts of the other records. They are to be observed before the observations.
func (s StoredRecords) Lifts() []Lift {
	var list []Lift
	for _, name := range slices.Sorted(maps.Keys(s.valid)) {
		if l, lifted := s.valid[name].Lift(s.now, s.day); lifted {
			list = append(list, l)
		}
	}
	return list
}

// Observations returns the observations of the other records. Those that works were served come first, so that work that was
// released is not put in quarantine for a moment.
func (s StoredRecords) Observations() []Observation {
	var list []Observation
	for _, r := range s.valid {
		list = append(list, r.Observations(s.now, s.day)...)
	}
	slices.SortFunc(list, func(x, y Observation) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), x.At.Compare(y.At), cmp.Compare(x.Digest, y.Digest))
	})
	return list
}
