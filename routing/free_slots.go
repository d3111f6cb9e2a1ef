package routing

import "time"

// FreeSlots returns the number of slots of the options without a request, by their last reports and by what
// this box has sent and finished since, and the time of the oldest of these reports. Options without a
// report count as empty; the time is zero if none has one.
func (b *Balancer) FreeSlots(options []Option) (free int, reportedAt time.Time) {
	for _, o := range options {
		l := b.load(o.ID)
		free += max(0, o.Slots-int(l.others)-l.inFlight)
		if !l.reportedAt.IsZero() && (reportedAt.IsZero() || l.reportedAt.Before(reportedAt)) {
			reportedAt = l.reportedAt
		}
	}
	return free, reportedAt
}
