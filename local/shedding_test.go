package local_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
)

// TestNewCallersOfLoadedGroupAreRefused guards against a concurrency limit that does not receive the gaps, the
// reports or the settings, and against refusals whose cause or time to retry is missing.
func TestNewCallersOfLoadedGroupAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		gap     time.Duration // the routes allow 500 ms
		loadGap time.Duration
		callers int
		off     bool
		want    bool
	}{
		{"long steps at a high load", 200 * time.Millisecond, 5 * time.Millisecond, 182, false, true},
		{"the same with the limit disabled", 200 * time.Millisecond, 5 * time.Millisecond, 182, true, false},
		{"long steps at a low load", 498 * time.Millisecond, 0, 60, false, false},
		{"short steps at a high load", 200 * time.Millisecond, 0, 182, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log bytes.Buffer
			sc := scenario{seed: 1, length: 12 * time.Second, callers: tc.callers, paths: []string{standin.GroupPath + "x"}, events: 7, eventGap: tc.gap, loadGap: tc.loadGap, log: &log}
			if tc.off {
				sc.overload = &process.Overload{InterpretReports: true}
			}
			sc.run(t, func(sys *local.System, h *history) {
				shed, began := strings.Count(log.String(), "are refused from"), strings.Count(log.String(), "load shedding began")
				if (shed > 0) != tc.want || (began > 0) != tc.want || began > 2*len(sys.Entries()) {
					t.Errorf("%d of %d were refused, shedding began %d times", shed, len(h.exchanges), began)
				}
				for _, a := range h.exchanges {
					if after := a.reply.RetryAfter; a.reply.NotRun() && (after < a.request.Timeout/6-50*time.Millisecond || after > a.request.Timeout/3) {
						t.Errorf("refused for %v of %v", after, a.request.Timeout)
					}
				}
			})
		})
	}
}
