package quarantine_test

import (
	"encoding/json"
	"testing"
	"time"

	"clovertrail.dev/quarantine"
)

// FuzzRecord decodes arbitrary bytes as a stored record, which other writers may have changed, and
// observes its content: no record may quarantine work for longer than the longest quarantine.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"digest":"x","ended":{"a@1":1800000000000,"b":1800000001000}}`))
	f.Add([]byte(`{"digest":"x","ended":{"a":9000000000000000000,"b":-9000000000000000000}}`))
	f.Add([]byte(`{"digest":"x","ended":{"a":1}}`))
	f.Add([]byte(`{"digest":"x","lifted":9000000000000000000}`))
	f.Add([]byte(`{"digest":"x","ended":{"a":9223372036854775807},"lifted":9223372036854775807,"served":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r quarantine.Record
		if json.Unmarshal(raw, &r) != nil {
			return
		}
		reg := quarantine.NewRegister()
		observations := r.Observations(begin, begin)
		if lift, lifted := r.Lift(begin, begin); lifted && lift.At.After(begin) {
			t.Errorf("%q: lifted in the future", raw)
		}
		if len(observations) == 0 {
			return // the record of a lift alone
		}
		for _, o := range observations {
			if o.At.After(begin) {
				t.Errorf("%q: a target ended in the future", raw)
			}
			reg.Observe(begin, o)
		}
		if until, quarantined := reg.QuarantinedUntil(begin, observations[0].Digest); quarantined && until.Sub(begin) > 48*time.Hour {
			t.Errorf("%q: quarantined until %v", raw, until)
		}
		_ = r.Expired(begin)
	})
}
