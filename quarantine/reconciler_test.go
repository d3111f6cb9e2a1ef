package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/quarantine"
)

// TestReconcilerSpreadsComparisonsAfterRestore guards against quarantines that stay lost after the
// store was restored, and against boxes that all list them at once.
func TestReconcilerSpreadsComparisonsAfterRestore(t *testing.T) {
	const boxes, within, maxPerSecond = 150, 5 * time.Second, 50
	perSecond := map[int]int{}
	for i := range boxes {
		r := quarantine.NewReconciler(rand.New(rand.NewPCG(uint64(i), 1)))
		r.ObserveEra(begin, 4)
		if r.Due(begin.Add(time.Hour)) {
			t.Fatal("comparison due after the first observed era")
		}
		r.ObserveEra(begin, 5)
		r.ObserveEra(begin.Add(time.Second), 5)
		r.ObserveEra(begin.Add(time.Second), 4)
		due := time.Duration(0)
		for !r.Due(begin.Add(due)) && due <= within {
			due += 10 * time.Millisecond
		}
		if due > within {
			t.Fatalf("box %d: no comparison due within %v", i, within)
		}
		perSecond[int(due/time.Second)]++
		r.MarkCompared()
		if r.Due(begin.Add(time.Hour)) {
			t.Fatal("comparison due again after it was made")
		}
		r.ObserveEra(begin.Add(time.Hour), 6)
		if !r.Due(begin.Add(time.Hour + within)) {
			t.Fatal("no comparison due after the next restore")
		}
	}
	for second, n := range perSecond {
		if n > maxPerSecond {
			t.Errorf("%d of %d boxes compare in second %d", n, boxes, second)
		}
	}
}

// TestRegisterPersistsQuarantinesThatCount checks that works in quarantine and those whose past
// quarantine still counts are to be stored, and works that were released are not.
func TestRegisterPersistsQuarantinesThatCount(t *testing.T) {
	r := observe(quarantine.NewRegister(), ended(fatal, "a", 0), ended(fatal, "b", time.Second), ended("other", "a", 0))
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 1}, {30 * time.Minute, 1}, {2 * time.Hour, 0}} {
		if got := r.ToPersist(begin.Add(tc.after)); len(got) != tc.want {
			t.Errorf("after %v: works to store %v, want %d", tc.after, got, tc.want)
		}
	}
	observe(r, served(2*time.Second))
	if got := r.ToPersist(begin.Add(3 * time.Second)); len(got) != 0 {
		t.Errorf("released work is still to be stored: %v", got)
	}
}
