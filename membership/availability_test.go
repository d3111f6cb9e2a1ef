package membership_test

import (
	"testing"

	"clovertrail.dev/core/domain"
)

// TestAvailability guards against requests that are refused although their group may come back, since its ranks are
// tried, unfit, or in halls that are evacuated for the moment.
func TestAvailability(t *testing.T) {
	type state struct{ usable, stopped, hasRanks bool }
	for _, tc := range []struct {
		name  string
		play  func(*groupOfFour)
		tried []int
		want  state
	}{
		{"open", func(*groupOfFour) {}, nil, state{usable: true, hasRanks: true}},
		{"open, one rank tried", func(*groupOfFour) {}, []int{0}, state{usable: true, hasRanks: true}},
		{"open, all ranks tried", func(*groupOfFour) {}, []int{0, 1, 2, 3}, state{hasRanks: true}},
		{"stopped", func(g *groupOfFour) { g.report(1, false, 0, 1) }, nil, state{stopped: true, hasRanks: true}},
		{"all evacuated", func(g *groupOfFour) { g.Evacuations().ApplyUpdate(begun("near", 1, 9)) }, nil, state{hasRanks: true}},
		{"all gone", func(g *groupOfFour) {
			for i := range 4 {
				g.Replaced(rankID(i))
			}
		}, nil, state{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGroupOfFour()
			tc.play(g)
			var tried []domain.InstanceID
			for _, rank := range tc.tried {
				tried = append(tried, rankID(rank))
			}
			a := g.Availability(g.now, "s", tried)
			if got := (state{a.Usable(), a.Stopped(), a.HasRanks()}); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
			if good := len(a.Good()); (good > 0) != (tc.name[:4] == "open") || len(a.All()) < good {
				t.Errorf("%d of %d targets are good", good, len(a.All()))
			}
		})
	}
}
