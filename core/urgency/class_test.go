package urgency_test

import (
	"testing"

	"clovertrail.dev/core/urgency"
)

type pair = urgency.Priorities

// TestOrganisationGoesBeforeRoute guards against a route's priority that lets a less urgent organisation's requests go first.
func TestOrganisationGoesBeforeRoute(t *testing.T) {
	c := urgency.NewClasses([]pair{{2, 0}, {1, 2}, {1, 0}, {1, 2}})
	for rank, p := range []pair{{1, 0}, {1, 2}, {2, 0}} {
		if got := c.Of(p); got.Rank() != rank || got.Count() != 3 {
			t.Errorf("%+v: class %v, want %d/3", p, got, rank)
		}
	}
	for p, want := range map[pair]int{{0, 0}: 0, {1, 1}: 0, {1, 9}: 1, {9, 9}: 2} {
		if got := c.Of(p); got.Rank() != want {
			t.Errorf("%+v, which no configured request has: class %v, want rank %d", p, got, want)
		}
	}
}

// TestLevels guards against levels that change what a service with equal priorities is asked for, that leave the range of
// the targets, or that put requests of boxes without levels before or behind all others.
func TestLevels(t *testing.T) {
	for _, tc := range []struct {
		classes int
		want    []int
	}{
		{2, []int{4, 5}}, {3, []int{4, 5, 6}}, {10, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}, {12, []int{0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9}},
	} {
		var list []pair
		for i := range tc.classes {
			list = append(list, pair{Route: i})
		}
		c := urgency.NewClasses(list)
		for i, want := range tc.want {
			if got, ok := c.Of(pair{Route: i}).Level(); !ok || got != want {
				t.Errorf("class %d of %d: level %d, %v, want %d", i, tc.classes, got, ok, want)
			}
		}
	}
	for _, c := range []urgency.Classes{{}, urgency.NewClasses([]pair{{5, 1}, {5, 1}})} {
		if level, ok := c.Of(pair{5, 1}).Level(); ok {
			t.Errorf("a service with a single class has level %d, want none", level)
		}
	}
}
