package routing_test

import (
	"testing"
	"time"

	"clovertrail.dev/routing"
)

// TestFreeSlotsCountOwnRequests guards against a box that releases waiting requests into slots that it has
// just filled, or that reports older than another show as free.
func TestFreeSlotsCountOwnRequests(t *testing.T) {
	b := newBalancer()
	options := []routing.Option{option("a", "near", "g"), option("b", "near", "g"), option("c", "near", "g")}
	b.Report(start, "a", routing.Report{Running: 1})
	b.Report(start.Add(time.Second), "b", routing.Report{Running: 4, Waiting: 3})
	b.Report(start.Add(time.Second), "c", routing.Report{})
	b.Sent(start.Add(time.Second), options[2])
	if free, at := b.FreeSlots(options); free != 6 || !at.Equal(start) {
		t.Errorf("%d free slots as of %v, want 6 as of %v", free, at, start)
	}
	if free, at := newBalancer().FreeSlots(options); free != 12 || !at.IsZero() {
		t.Errorf("%d free slots as of %v without reports, want 12 and no time", free, at)
	}
}
