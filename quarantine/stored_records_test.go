package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"clovertrail.dev/quarantine"
)

// TestStoredRecordsApplyInOrder guards against work that an operator lifted, or that was served, and that a box which starts puts in
// quarantine since it reads the record of the ends last; and against records that stay in the store for ever.
func TestStoredRecordsApplyInOrder(t *testing.T) {
	ends := func(at time.Duration) []quarantine.Observation {
		return []quarantine.Observation{ended(fatal, "a", at), ended(fatal, "b", at+time.Second)}
	}
	for _, tc := range []struct {
		name    string
		records map[string]quarantine.Record
		want    bool // whether the work is in quarantine
		expired []string
	}{
		{"ends", map[string]quarantine.Record{"x": quarantine.NewRecord(ends(0))}, true, nil},
		{"ends and a lift", map[string]quarantine.Record{"a": quarantine.NewRecord(ends(0)), "b": quarantine.NewLiftRecord(fatal, begin.Add(2*time.Second), nil)}, false, nil},
		{"ends and a service", map[string]quarantine.Record{
			"a": quarantine.NewRecord(ends(0)), "b": quarantine.NewRecord([]quarantine.Observation{served(2 * time.Second)}),
		}, false, nil},
		{"ends of another day", map[string]quarantine.Record{"b": quarantine.NewRecord(ends(-72 * time.Hour)), "a": quarantine.NewRecord(ends(-73 * time.Hour))}, false, []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := begin.Add(10 * time.Second)
			s := quarantine.NewStoredRecords(now, now, tc.records)
			r := quarantine.NewRegister()
			for _, l := range s.Lifts() {
				r.ObserveLift(now, l)
			}
			for _, o := range s.Observations() {
				if r.Observe(now, o) == quarantine.Quarantined && !tc.want {
					t.Errorf("in quarantine after the observation of %s at %v", o.Target, o.At)
				}
			}
			if _, quarantined := r.QuarantinedUntil(now, fatal); quarantined != tc.want {
				t.Errorf("quarantined = %v, want %v", quarantined, tc.want)
			}
			if !slices.Equal(s.Expired(), tc.expired) {
				t.Errorf("expired are %v, want %v", s.Expired(), tc.expired)
			}
		})
	}
}
