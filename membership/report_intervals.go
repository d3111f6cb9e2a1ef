package membership

import "time"

const (
	// QueryInterval is the time between two queries of a box to one process: a few steps of an engine, and
	// shorter than a caller's request takes, so that a reported load is still valid when it is used.
	QueryInterval = 200 * time.Millisecond
	// fullRateBoxes is how many boxes may query a process at that interval. If there are more, each queries it
	// less often, so that the total rate at the process stays the same.
	fullRateBoxes = 12
	// minMaxReportAge is the lower limit of MaxReportAge: the time of several queries to a target and to the box that
	// reports on it. It is shorter than the time after which a target that does not report is suspect.
	minMaxReportAge = time.Second
)

// QueryIntervalFor returns the time between two queries of one box to a process that the given number of boxes
// query.
func QueryIntervalFor(boxes int) time.Duration {
	return QueryInterval * time.Duration(max(boxes, fullRateBoxes)) / fullRateBoxes
}

// HallQueryInterval returns the time between two queries of a box about a data hall, by its role in its own. If halls have
// hubs, only the hubs query other halls; otherwise all reachable boxes do, though not all query the same box.
func HallQueryInterval(r Role, boxes, halls int) time.Duration {
	if r != Standalone {
		return QueryIntervalFor(HubsPerHall * halls)
	}
	return QueryIntervalFor(boxes)
}

// MaxReportAge returns the age up to which a box that queries halls at the interval relies on another box's report of a
// target, before it queries the target itself. In a hall with hubs, a report passes through two boxes after the one
// that received it from the target.
func MaxReportAge(hallInterval time.Duration) time.Duration {
	return max(minMaxReportAge, 2*(QueryInterval+hallInterval))
}
