package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// TestSiblingsLeaveOutTargetsLostEarlier guards against targets that ended some time ago, and are still listed, which count as if they
// had ended at the same time as others.
func TestSiblingsLeaveOutTargetsLostEarlier(t *testing.T) {
	r := newRoster()
	for i, id := range []string{"a", "b", "c", "d"} {
		r.ApplyUpdate(start, ready(id, store.Revision(i+1)))
	}
	r.Unreachable(start, "b")
	r.Unreachable(start.Add(3*time.Second), "c")
	has := func(now time.Time) (found string) {
		for _, x := range r.Siblings(now, "a") {
			found += string(x.ID())
		}
		return found
	}
	if got := has(start.Add(3500 * time.Millisecond)); got != "cd" {
		t.Errorf("siblings %s, want the one lost just before and the other", got)
	}
	r.Unreachable(start.Add(time.Minute), "c")
	if got := has(start.Add(time.Minute)); got != "d" {
		t.Errorf("siblings %s, want the one that was never lost", got)
	}
	if got := r.Siblings(start, domain.InstanceID("x")); len(got) != 0 {
		t.Errorf("%d siblings of a target that is not listed", len(got))
	}
}
