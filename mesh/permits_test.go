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

// TestLimitsComeAsTheyWereSent: limits and ends of limits, with times as ages, since boxes have no
// clock in common.
func TestLimitsComeAsTheyWereSent(t *testing.T) {
	sent, came := time.Unix(1000, 0), time.Unix(5000, 0)
	for _, l := range []call.Limit{call.Limited{PerSecond: 1.5}, call.Limited{}, call.Unlimited{}} {
		raw, err := cbor.Marshal(mesh.NewLimitReport(sent, ratelimit.Report{Target: "t", Limit: l, At: sent.Add(-time.Second)}))
		if err != nil {
			t.Fatal(err)
		}
		var m mesh.LimitReport
		if err := cbor.Unmarshal(raw, &m); err != nil {
			t.Fatal(err)
		}
		w, ok := m.Report(came)
		if !ok || w.Target != "t" || w.Limit != l || !w.At.Equal(came.Add(-time.Second)) {
			t.Errorf("%v came as %+v, %v", l, w, ok)
		}
	}
}

// TestNoLimitIsTakenThatNoTargetCanMean.
func TestNoLimitIsTakenThatNoTargetCanMean(t *testing.T) {
	for _, n := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		if w, ok := (mesh.LimitReport{Target: "t", PerSecond: &n}).Report(time.Unix(1000, 0)); ok {
			t.Errorf("%v is taken as %+v", n, w)
		}
	}
	if _, ok := (mesh.LimitReport{Target: "t", Age: -time.Second}).Report(time.Unix(1000, 0)); ok {
		t.Error("a word that is yet to be said is taken")
	}
}
