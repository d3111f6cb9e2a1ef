package local_test

import (
	"context"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/membership"
	"clovertrail.dev/platform/standin"
)

// outageLapseDelay is the time from the beginning of an outage of the store until the entries of targets lapse;
// relistDelay is the time from its end until the targets, which run on, have entries again.
const outageLapseDelay, relistDelay = 1500 * time.Millisecond, 1500 * time.Millisecond

// TestTargetsThatLapseDuringOutageStayInUse guards against callers that are refused since the entries of all targets
// lapsed while the store was silent: a box that does not notice the silence, or is not told of it by the hub that
// follows the store for it, takes the targets for gone.
func TestTargetsThatLapseDuringOutageStayInUse(t *testing.T) {
	for _, tc := range []struct {
		name    string
		entries int
		lasts   time.Duration
	}{
		{"four boxes, 3 s", 4, 3 * time.Second},
		{"four boxes, 5 s", 4, 5 * time.Second},
		{"40 boxes in halls with hubs, 5 s", 40, 5 * time.Second},
		{"40 boxes in halls with hubs, 8 s", 40, 8 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.callers, sc.entries, sc.halls, sc.length = 0, tc.entries, 3, time.Second
			sc.operator = func(s *local.System, h *history) {
				s.Store.SetFailureMode(standin.Healthy, storeDelay)
				time.Sleep(4 * time.Second)
				s.Store.SetFailureMode(standin.Unresponsive, 0)
				outage := time.Now()
				time.AfterFunc(outageLapseDelay, func() {
					for _, x := range s.Targets() {
						x.Unlist()
					}
				})
				back := outage.Add(tc.lasts)
				time.AfterFunc(tc.lasts, func() { s.Store.SetFailureMode(standin.Healthy, storeDelay) })
				time.AfterFunc(tc.lasts+relistDelay, func() {
					for _, x := range s.Targets() {
						_ = x.Relist() // the store is healthy and accepts the entry
					}
				})
				// A box uses the targets for Grace from when it receives that their entries lapsed.
				grace := membership.DefaultRosterPolicy(bounds().Drain.Std()).Grace
				for i := 0; time.Now().Before(back.Add(grace)); i++ {
					q := standin.Request{ID: h.nextID(), Path: "/again/x", Key: apiKey, Timeout: 2 * time.Second}
					e := entry(s, i)
					if r := s.SendRequest(context.Background(), e, q); !r.Correct {
						h.addViolation("%s answered %d, %v after the end of the outage", e.Name(), r.Status, time.Since(back))
					}
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(relistDelay)
			}
			sc.run(t, func(_ *local.System, h *history) {
				if len(h.violations) > 0 {
					t.Errorf("%d requests were refused, the first: %s", len(h.violations), h.violations[0])
				}
			})
		})
	}
}
