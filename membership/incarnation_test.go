package membership_test

import (
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

func TestAProcessComesAfterThoseThatOthersRemember(t *testing.T) {
	for _, tc := range []struct {
		name       string
		remembered []domain.Incarnation // as other boxes answer, one after another
		want       domain.Incarnation
	}{
		{"nobody answers", nil, 1},
		{"nobody knew the box", []domain.Incarnation{0, 0, 1}, 1},
		{"it started again", []domain.Incarnation{1, 2, 2}, 2},
		{"the first box to answer missed some starts", []domain.Incarnation{3, 5, 4, 6}, 6},
		{"another build numbered it by the time of day", []domain.Incarnation{1_800_000_000_000_000_000}, 1_800_000_000_000_000_001},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := membership.NewIncarnationTracker()
			for _, n := range tc.remembered {
				l.Observe(n)
			}
			if l.Incarnation() != tc.want {
				t.Errorf("got %d, want %d", l.Incarnation(), tc.want)
			}
		})
	}
}

// TestABoxThatStartedAgainIsHeard: its first word, of a lower incarnation, is passed over,
// and the next one counts.
func TestABoxThatStartedAgainIsHeard(t *testing.T) {
	b := newBoxes()
	b.Receive(start, contact("a", 7), "near", membership.StoreProgress{Config: edition(9)}, false)
	l := membership.NewIncarnationTracker()
	if !l.Observe(b.LatestIncarnation("a")) {
		t.Fatal("it does not come after its past")
	}
	b.Receive(start, contact("a", l.Incarnation()), "near", membership.StoreProgress{Config: edition(3)}, false)
	if b.Behind(membership.StoreProgress{Config: edition(5)}) {
		t.Error("what its former process knew is taken for what it knows")
	}
}
