package orders_test

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"clovertrail.dev/mapswitch/orders"
)

// TestApplyReversesDiff draws two maps of one shape and applies the rows that differ.
func TestApplyReversesDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, ranks := rapid.IntRange(1, 4).Draw(t, "layers"), rapid.IntRange(1, 5).Draw(t, "ranks")
		base, next := drawMap(t, layers, ranks), drawMap(t, layers, ranks)
		before, _ := base.Apply(nil)
		rows, ok := next.Diff(base)
		if !ok {
			t.Fatal("Diff refuses two maps of one shape")
		}
		got, ok := base.Apply(rows)
		if !ok || !reflect.DeepEqual(got, next) {
			t.Fatalf("base with the rows applied: got %v, want %v", got, next)
		}
		if !reflect.DeepEqual(base, before) {
			t.Fatal("Apply modified the base")
		}
		if rows, _ := next.Diff(next); len(rows) != 0 {
			t.Fatalf("Diff of a map and itself has rows: %v", rows)
		}
	})
}

func drawMap(t *rapid.T, layers, ranks int) orders.Placement {
	m := make(orders.Placement, layers)
	for l := range m {
		for range ranks {
			m[l] = append(m[l], rapid.SliceOfN(rapid.IntRange(0, 9), 1, 3).Draw(t, "experts"))
		}
	}
	return m
}

func TestDiffAndApplyRefuseOtherShapes(t *testing.T) {
	base := orders.Placement{{{0}, {1}}}
	for name, row := range map[string]orders.Row{
		"layer too high": {Layer: 1}, "negative layer": {Layer: -1}, "rank too high": {Rank: 2}, "negative rank": {Rank: -1},
	} {
		if _, ok := base.Apply([]orders.Row{row}); ok {
			t.Errorf("%s: Apply accepted the row", name)
		}
	}
	for name, other := range map[string]orders.Placement{"more layers": {{{0}, {1}}, {{0}, {1}}}, "more ranks": {{{0}, {1}, {2}}}} {
		if _, ok := other.Diff(base); ok {
			t.Errorf("%s: Diff accepted the map", name)
		}
	}
}
