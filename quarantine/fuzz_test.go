package quarantine_test

import (
	"encoding/json"
	"testing"
	"time"

	"clovertrail.dev/quarantine"
)

// FuzzRecord reads any bytes as a record of the store, which other writers may have changed,
// and takes what it says: no record may bar work for longer than a quarantine lasts.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"digest":"x","ended":{"a@1":1800000000000,"b":1800000001000}}`))
	f.Add([]byte(`{"digest":"x","ended":{"a":9000000000000000000,"b":-9000000000000000000}}`))
	f.Add([]byte(`{"digest":"x","ended":{"a":1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r quarantine.Record
		if json.Unmarshal(raw, &r) != nil {
			return
		}
		reg := quarantine.NewRegister()
		observations := r.Observations(begin, begin)
		for _, w := range observations {
			if w.At.After(begin) {
				t.Errorf("%q: a target ended in the future", raw)
			}
			reg.Observe(begin, w)
		}
		if until, barred := reg.QuarantinedUntil(begin, observations[0].Digest); barred && until.Sub(begin) > 48*time.Hour {
			t.Errorf("%q: barred until %v", raw, until)
		}
		_ = r.Expired(begin)
	})
}
