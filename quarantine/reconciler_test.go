package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/quarantine"
)

// TestBoxesCompareAfterARestoreOneByOne guards against quarantines that stay lost after the store
// was restored, and against boxes that all ask for them at once.
func TestBoxesCompareAfterARestoreOneByOne(t *testing.T) {
	const boxes, within, most = 150, 5 * time.Second, 50
	perSecond := map[int]int{}
	for i := range boxes {
		w := quarantine.NewReconciler(rand.New(rand.NewPCG(uint64(i), 1)))
		w.ObserveEra(begin, 4)
		if w.Due(begin.Add(time.Hour)) {
			t.Fatal("compares with the first era that it learns of")
		}
		w.ObserveEra(begin, 5)
		w.ObserveEra(begin.Add(time.Second), 5)
		w.ObserveEra(begin.Add(time.Second), 4)
		due := time.Duration(0)
		for !w.Due(begin.Add(due)) && due <= within {
			due += 10 * time.Millisecond
		}
		if due > within {
			t.Fatalf("box %d does not compare within %v", i, within)
		}
		perSecond[int(due/time.Second)]++
		w.MarkCompared()
		if w.Due(begin.Add(time.Hour)) {
			t.Fatal("compares twice")
		}
		w.ObserveEra(begin.Add(time.Hour), 6)
		if !w.Due(begin.Add(time.Hour + within)) {
			t.Fatal("does not compare after the next restore")
		}
	}
	for second, n := range perSecond {
		if n > most {
			t.Errorf("%d of %d boxes compare in second %d", n, boxes, second)
		}
	}
}

// TestWhatTheStoreIsToKeep: works in quarantine, and those whose quarantine still counts.
func TestWhatTheStoreIsToKeep(t *testing.T) {
	r := taking(quarantine.NewRegister(), ended(fatal, "a", 0), ended(fatal, "b", time.Second), ended("other", "a", 0))
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 1}, {30 * time.Minute, 1}, {2 * time.Hour, 0}} {
		if got := r.ToPersist(begin.Add(tc.after)); len(got) != tc.want {
			t.Errorf("after %v: %v", tc.after, got)
		}
	}
	taking(r, served(2*time.Second))
	if got := r.ToPersist(begin.Add(3 * time.Second)); len(got) != 0 {
		t.Errorf("released and kept: %v", got)
	}
}
