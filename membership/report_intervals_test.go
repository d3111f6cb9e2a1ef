package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/membership"
)

// TestReportIntervals guards against processes that are queried more often the larger the fleet is, and against
// boxes that do not wait for reports that are on their way.
func TestReportIntervals(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name                  string
		role                  membership.Role
		boxes, halls          int
		wantInterval, wantAge time.Duration
	}{
		{"one box", membership.Standalone, 1, 1, 200 * ms, time.Second},
		{"twelve boxes", membership.Standalone, 12, 3, 200 * ms, time.Second},
		{"48 boxes", membership.Standalone, 48, 3, 800 * ms, 2 * time.Second},
		{"432 boxes in three halls with hubs", membership.Hub, 432, 3, 200 * ms, time.Second},
		{"a follower among them", membership.Follower, 432, 3, 200 * ms, time.Second},
		{"hubs of twelve halls", membership.Hub, 432, 12, membership.HubsPerHall * 200 * ms, max(time.Second, 2*(200*ms+membership.HubsPerHall*200*ms))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			interval := membership.HallQueryInterval(tc.role, tc.boxes, tc.halls)
			if age := membership.MaxReportAge(interval); interval != tc.wantInterval || age != tc.wantAge {
				t.Errorf("interval %v and age %v, want %v and %v", interval, age, tc.wantInterval, tc.wantAge)
			}
			if rate := float64(tc.boxes) / membership.QueryIntervalFor(tc.boxes).Seconds(); rate > 12/0.2+0.001 {
				t.Errorf("a process that all boxes query receives %.1f queries a second, want at most 60", rate)
			}
		})
	}
}
