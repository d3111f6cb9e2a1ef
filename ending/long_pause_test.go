package ending_test

import (
	"testing"
	"time"

	"clovertrail.dev/ending"
)

// TestStopIsSeenAfterLongPause guards against streams that were cut as their group stopped and count as complete because of one long
// pause before: of the target, the path or the box. The figures are those of the soak.
func TestStopIsSeenAfterLongPause(t *testing.T) {
	const ms = time.Millisecond
	for name, s := range map[string]ending.Stream{
		"seed 7101":  {Events: 7, Silence: 1504 * ms, Waited: 1504 * ms, LongestPause: 1626 * ms, Left: 4337 * ms},
		"box paused": {Events: 9, Silence: 5 * ms, LongestPause: 1756 * ms, Left: 5926 * ms},
		"seed 7103":  {Events: 5, Silence: 768 * ms, Waited: 768 * ms, LongestPause: 1661 * ms, Left: 4111 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			s.GroupInterrupted, s.PauseObjective = true, 500*ms
			if s.Doubt() == ending.None {
				t.Errorf("no doubt about a stream that ended %v after its last event, its group interrupted", s.Silence)
			}
		})
	}
}
