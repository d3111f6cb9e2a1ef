package ending_test

import (
	"testing"

	"clovertrail.dev/ending"
)

// TestStopIsSeenAfterLongPause guards against streams that were cut as their group stopped and count as complete because of one long
// pause before: of the target, the path or the box. The figures are those of the soak.
func TestStopIsSeenAfterLongPause(t *testing.T) {
	for name, s := range map[string]ending.Stream{
		"seed 7101":  {Events: 7, Waited: 1504 * ms, LongestWait: 1626 * ms, LongestPause: 1626 * ms, Left: 4337 * ms},
		"box paused": {Events: 9, Waited: 5 * ms, LongestPause: 1756 * ms, Left: 5926 * ms},
		"seed 7103":  {Events: 5, Waited: 768 * ms, LongestWait: 1661 * ms, LongestPause: 1661 * ms, Left: 4111 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			s.GroupInterrupted, s.PauseObjective = true, 500*ms
			if s.Doubt() == ending.None {
				t.Errorf("no doubt about a stream that ended %v after the box began to wait, its group interrupted", s.Waited)
			}
		})
	}
}
