package routing_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/routing"
)

// TestPickDrawsAmongGroupsWithCapacity guards against herding: a group over several halls must not be
// picked by all boxes at once because it looks least loaded. A group without spare capacity is only
// picked if no group has any.
func TestPickDrawsAmongGroupsWithCapacity(t *testing.T) {
	for name, tt := range map[string]struct {
		running     map[domain.GroupName]int // requests at each rank
		least, most float64                  // bounds of the share of picks that go to group a
	}{
		"equal load":                                   {map[domain.GroupName]int{"a": 3, "b": 3}, 0.45, 0.55},
		"a has more free slots":                        {map[domain.GroupName]int{"a": 1, "b": 5}, 0.60, 0.75},
		"b has no spare capacity":                      {map[domain.GroupName]int{"a": 1, "b": 8}, 1, 1},
		"neither has spare capacity, b is less loaded": {map[domain.GroupName]int{"a": 9, "b": 8}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer()
			var options []routing.Option
			for _, o := range []routing.Option{option("a1", "near", "a"), option("a2", "far", "a"), option("b1", "near", "b"), option("b2", "far", "b")} {
				o.Slots = 10
				options = append(options, o)
				b.Report(start, o.ID, routing.Report{Running: tt.running[o.Group], Slowdown: 1})
				b.RecordPause(start, o, 50*time.Millisecond, longestPause)
			}
			const picks = 2000
			a := 0
			for range picks {
				if o, _ := b.Pick(start, "near", options); o.Group == "a" {
					a++
				}
			}
			if share := float64(a) / picks; share < tt.least || share > tt.most {
				t.Errorf("%.3f of picks go to group a, want %.2f to %.2f", share, tt.least, tt.most)
			}
		})
	}
}
