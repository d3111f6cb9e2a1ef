package routing_test

import (
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/routing"
)

// BenchmarkPick measures one decision among the ranks of one group.
func BenchmarkPick(b *testing.B) {
	for _, way := range []struct {
		name      string
		interpret bool
	}{{"sample", false}, {"interpret", true}} {
		for _, ranks := range []int{63, 72, 576} {
			b.Run(fmt.Sprintf("%s/%d", way.name, ranks), func(b *testing.B) {
				bal := newBalancer()
				bal.SetBoxes(37)
				bal.SetInterpretReports(way.interpret)
				var options []routing.Option
				for i := range ranks {
					o := routing.Option{ID: domain.InstanceID(fmt.Sprintf("rank-%d@1", i)), Hall: domain.HallName(fmt.Sprintf("hall-%d", i%3)), Group: "g", Slots: 10}
					options = append(options, o)
					bal.Report(start, o.ID, routing.Report{Running: i % 11, Slowdown: 1})
				}
				now := start.Add(500 * time.Millisecond)
				for b.Loop() {
					bal.Pick(now, "hall-0", options)
				}
			})
		}
	}
}
