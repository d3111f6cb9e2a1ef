package membership_test

import (
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

func TestIncarnationFollowsThoseOnRecord(t *testing.T) {
	for _, tc := range []struct {
		name     string
		recorded []domain.Incarnation // in the responses of other boxes, one after another
		want     domain.Incarnation
	}{
		{"no box responds", nil, 1},
		{"no box has it on record", []domain.Incarnation{0, 0, 1}, 1},
		{"it restarted", []domain.Incarnation{1, 2, 2}, 2},
		{"the first box to respond missed some restarts", []domain.Incarnation{3, 5, 4, 6}, 6},
		{"another build used the time of day as incarnation", []domain.Incarnation{1_800_000_000_000_000_000}, 1_800_000_000_000_000_001},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := membership.NewIncarnationTracker()
			for _, n := range tc.recorded {
				l.Observe(n)
			}
			if l.Incarnation() != tc.want {
				t.Errorf("got %d, want %d", l.Incarnation(), tc.want)
			}
		})
	}
}

// TestRestartedBoxReplacesItsEarlierProgress: the first report of a restarted box has a lower
// incarnation and is ignored; the next one must replace the state of the earlier process.
func TestRestartedBoxReplacesItsEarlierProgress(t *testing.T) {
	b := newBoxes()
	b.Receive(start, contact("a", 7), "near", membership.StoreProgress{Config: edition(9)}, false)
	l := membership.NewIncarnationTracker()
	if !l.Observe(b.LatestIncarnation("a")) {
		t.Fatal("the incarnation did not rise above the one on record")
	}
	b.Receive(start, contact("a", l.Incarnation()), "near", membership.StoreProgress{Config: edition(3)}, false)
	if b.Behind(membership.StoreProgress{Config: edition(5)}) {
		t.Error("the progress of the earlier process still counts")
	}
}
