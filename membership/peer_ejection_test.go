package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// TestFaultsOfStoppedGroupAreNotReported guards against ejections of the ranks of a group that stands still,
// which fail the requests of all boxes at once.
func TestFaultsOfStoppedGroupAreNotReported(t *testing.T) {
	for _, tt := range []struct {
		name            string
		peers           int    // other boxes that report the target
		steps           []bool // whether the group steps at each fault
		notify, ejected bool   // of the last fault
		reports         int    // that this box sends on, of itself and of others
	}{
		{"steps", 0, []bool{true}, true, false, 1},
		{"stands still", 0, []bool{false}, false, false, 0},
		{"steps, two other boxes report", 2, []bool{true}, true, true, 3},
		{"stands still, two other boxes report", 2, []bool{false, false}, false, false, 2},
		{"stood still", 2, []bool{false, true}, true, true, 3},
		{"stands still after a fault", 1, []bool{true, false}, false, false, 2},
		{"steps at both faults", 1, []bool{true, true}, false, false, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := ranksOf("self", 9, 0)
			for _, b := range []domain.BoxID{"b1", "b2"}[:tt.peers] {
				r.ReceiveFailureReport(start, by(b, 0, start))
			}
			var notify, ejected bool
			now := start
			for _, steps := range tt.steps {
				notify, ejected = r.ReportFault(now, membership.Fault{Target: rankID(0), GroupSteps: steps})
				now = now.Add(100 * time.Millisecond)
			}
			if n := len(r.FailureReports(now)); notify != tt.notify || ejected != tt.ejected || n != tt.reports {
				t.Errorf("notifies %v, ejected %v, sends %d reports", notify, ejected, n)
			}
			if good := r.Ranked(now, "s")[8].Standing == membership.Good; good == tt.ejected {
				t.Errorf("all ranks are rated good: %v", good)
			}
		})
	}
	if notify, ejected := ranksOf("self", 9, 0).ReportFault(start, membership.Fault{Target: "unknown", GroupSteps: true}); notify || ejected {
		t.Error("a fault of an unknown target has an effect")
	}
}
