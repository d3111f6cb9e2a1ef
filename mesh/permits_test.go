package mesh_test

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clovertrail.dev/core/call"
	"clovertrail.dev/mesh"
	"clovertrail.dev/ratelimit"
)

// Limits and ends of limits must survive encoding. Times are sent as ages, since boxes have no common
// clock.
func TestLimitReportRoundTrip(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	for _, l := range []call.Limit{call.Limited{PerSecond: 1.5}, call.Limited{}, call.Unlimited{}} {
		raw, err := cbor.Marshal(mesh.NewLimitReport(sent, ratelimit.Report{Target: "t", Limit: l, At: sent.Add(-time.Second)}))
		if err != nil {
			t.Fatal(err)
		}
		var m mesh.LimitReport
		if err := cbor.Unmarshal(raw, &m); err != nil {
			t.Fatal(err)
		}
		r, ok := m.Report(received)
		if !ok || r.Target != "t" || r.Limit != l || !r.At.Equal(received.Add(-time.Second)) {
			t.Errorf("%v received as %+v, %v", l, r, ok)
		}
	}
}

func TestLimitReportRejectsImpossibleValues(t *testing.T) {
	for _, n := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		if r, ok := (mesh.LimitReport{Target: "t", PerSecond: &n}).Report(time.Unix(1000, 0)); ok {
			t.Errorf("limit of %v a second accepted as %+v", n, r)
		}
	}
	if _, ok := (mesh.LimitReport{Target: "t", Age: -time.Second}).Report(time.Unix(1000, 0)); ok {
		t.Error("a report from the future was accepted")
	}
}
