package local_test

import (
	"testing"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// TestStreamsOfStoppedGroupAreNotComplete guards against streams that end with their connections, between two events, as their
// group stops, and reach their callers as complete: the processes of the ranks that cut them live on.
func TestStreamsOfStoppedGroupAreNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name   string
		outage rankOutage
	}{
		{"a rank ends", rankOutage{}},
		{"a rank is cut off", rankOutage{cut: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.callers, sc.halls, sc.entries, sc.retrySlack = 1, 0, 3, 6, ampleRetrySlack
			sc.operator = func(s *local.System, h *history) {
				for r := range 3 {
					s.Group().Target(r).ChangeBehaviour(func(b *standin.Behaviour) { b.Unframed = 100 })
				}
				tc.outage.run(s, h)
			}
			sc.run(t, func(s *local.System, h *history) {
				var whole, cut, resumed int
				for _, r := range s.Runs() {
					if r.After > 0 {
						resumed++
					}
				}
				for _, x := range h.exchanges {
					switch {
					case x.reply.Mismatch != "":
						t.Errorf("%s through %s: %s", x.request.ID, x.box, x.reply.Mismatch)
					case x.reply.Correct:
						whole++
					case x.reply.Status == 200:
						cut++
					}
				}
				t.Logf("%d streams whole, %d resumed, %d cut", whole, resumed, cut)
				if whole == 0 || cut+resumed == 0 {
					t.Errorf("%d streams whole, %d resumed, %d cut; want whole ones, and others that were interrupted", whole, resumed, cut)
				}
			})
		})
	}
}
