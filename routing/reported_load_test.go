package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/routing"
)

// TestReportedLoad guards against a load that counts requests of this box twice, that fades between reports, or
// that stands on reports of few targets, on old ones or on ones from the future.
func TestReportedLoad(t *testing.T) {
	const maxAge = time.Second
	now := time.Unix(1000, 0)
	b := routing.NewBalancer(rand.New(rand.NewPCG(1, 2)))
	var options []routing.Option
	for _, id := range []domain.InstanceID{"a", "b", "c"} {
		options = append(options, routing.Option{ID: id, Group: "g", Slots: 10})
	}
	options = append(options, routing.Option{ID: "other", Group: "h", Slots: 90})
	if got := b.ReportedLoad(now, "g", options, maxAge); got != (routing.ReportedLoad{}) {
		t.Errorf("load %+v without a report", got)
	}
	earlier := b.Sent(now, options[0])
	b.Report(now, "a", routing.Report{Running: 4, Waiting: 2})
	if got := b.ReportedLoad(now, "g", options, maxAge); got != (routing.ReportedLoad{}) {
		t.Errorf("load %+v with a report of one target of three", got)
	}
	b.Report(now.Add(-400*time.Millisecond), "b", routing.Report{Running: 3})
	b.Report(now.Add(2*maxAge), "c", routing.Report{Running: 9})
	b.Sent(now, options[1])
	if got, want := b.ReportedLoad(now, "g", options, maxAge), (routing.ReportedLoad{Requests: 10, Slots: 20, Age: 200 * time.Millisecond}); got != want {
		t.Errorf("load %+v, want %+v", got, want)
	}
	b.Ended(now, earlier)
	if got := b.ReportedLoad(now.Add(600*time.Millisecond), "g", options, maxAge); got.Requests != 9 || got.Age != 800*time.Millisecond {
		t.Errorf("load %+v after a request has ended", got)
	}
}
