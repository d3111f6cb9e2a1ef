package routing

import (
	"time"

	"clovertrail.dev/core/domain"
)

// ReportedLoad is the load of options as their targets reported it, corrected by the requests that this box has
// sent and finished since. In contrast to the loads by which a Balancer chooses, requests of other boxes do not
// decay: in a loaded group others begin as these end.
type ReportedLoad struct {
	Requests int // running and waiting
	Slots    int // of the options with a report that counts
	Age      time.Duration
}

// ReportedLoad returns the load of the options of the group by the reports that are at most maxAge old, with
// their mean age. It is zero if the options with such a report have less than half of the slots.
func (b *Balancer) ReportedLoad(now time.Time, group domain.GroupName, options []Option, maxAge time.Duration) ReportedLoad {
	var r ReportedLoad
	slots, ages, reports := 0, time.Duration(0), time.Duration(0)
	for i := range options {
		o := &options[i]
		if o.Group != group {
			continue
		}
		slots += o.Slots
		l, ok := b.targets[o.ID]
		if !ok || l.reportedAt.IsZero() || now.Sub(l.reportedAt).Abs() > maxAge {
			continue
		}
		r.Requests += l.inFlight + int(l.others)
		r.Slots += o.Slots
		ages += now.Sub(l.reportedAt)
		reports++
	}
	if reports == 0 || 2*r.Slots < slots {
		return ReportedLoad{}
	}
	r.Age = ages / reports
	return r
}
