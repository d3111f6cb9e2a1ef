package waitqueue

import "time"

// Room is what the usable targets of a service have free.
type Room struct {
	// Free is the number of slots without a request, as last reported.
	Free int
	// ReportedAt is the time of the oldest of these reports; zero if the targets report nothing.
	ReportedAt time.Time
	// Boxes is the number of boxes that choose among the targets; less than 1 counts as 1.
	Boxes float64
}

// share returns the part of the free slots that one box may use.
func (r Room) share() int { return int(float64(r.Free) / max(r.Boxes, 1)) }
