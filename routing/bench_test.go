package routing_test

import (
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/routing"
)

// BenchmarkPick measures one decision among the ranks of one group.
func BenchmarkPick(b *testing.B) {
	for _, ranks := range []int{63, 72, 576} {
		b.Run(fmt.Sprintf("sample/%d", ranks), func(b *testing.B) {
			balancer := newBalancer()
			balancer.SetBoxes(37)
			var options []routing.Option
			for i := range ranks {
				o := option(fmt.Sprintf("rank-%d@1", i), fmt.Sprintf("hall-%d", i%3), "g")
				options = append(options, o)
				balancer.Report(start, o.ID, routing.Report{Running: i % 5, Slowdown: 1})
			}
			now := start.Add(500 * time.Millisecond)
			for b.Loop() {
				balancer.Pick(now, "hall-0", options)
			}
		})
	}
}
