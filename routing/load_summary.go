package routing

import "time"

const (
	// maxReportAge is the age up to which the reported requests of a target are used. Boxes query
	// targets about once a second or more often, so that an older report has missed a renewal.
	maxReportAge = 2 * time.Second
	// minArrivals is the least number of expected arrivals: the request for which an option is chosen.
	minArrivals = 1
)

// loadSummary sums up what is known about the load of several options.
type loadSummary struct {
	inFlight, slots float64 // requests of this box and slots, of all options
	// The next fields are sums over the options that have a recent report.
	reported      int
	others        float64 // requests of other boxes
	reportedSlots float64
	age, interval time.Duration
	ended         recentMean // of the durations of requests of this box
}

func (s *loadSummary) add(now time.Time, o Option, l *load) {
	s.inFlight += float64(l.inFlight)
	s.slots += slotsOf(o)
	s.ended.join(l.ended)
	if !l.hasRecentReport(now) {
		return
	}
	s.reported++
	s.others += l.others
	s.reportedSlots += slotsOf(o)
	s.age += max(now.Sub(l.reportedAt), 0)
	s.interval += l.interval
}

// othersPerSlot returns the mean number of requests of other boxes for each slot; 0 without recent reports.
func (s *loadSummary) othersPerSlot() float64 {
	if s.reported == 0 {
		return 0
	}
	return s.others / s.reportedSlots
}

// meanDuration returns the mean duration of a request. Requests of all options count, since a box of a
// large fleet sends each target a request only every few seconds.
func (s *loadSummary) meanDuration() time.Duration {
	if mean := s.ended.value(); mean > 0 {
		return max(mean, minFade)
	}
	return initialDuration
}

// arrivals returns the number of requests that all boxes are expected to send to the options from the
// time of the reports until they are renewed, on average half an interval from now. By Little's law, the
// rate of arrivals is the number of present requests divided by their mean duration.
func (s *loadSummary) arrivals() float64 {
	if s.reported == 0 {
		return minArrivals
	}
	period := (s.age + s.interval/2) / time.Duration(s.reported)
	requests := s.inFlight + s.othersPerSlot()*s.slots
	return max(requests*float64(period)/float64(s.meanDuration()), minArrivals)
}

// hasRecentReport reports whether the requests of other boxes were reported up to maxReportAge ago.
func (l *load) hasRecentReport(now time.Time) bool { return now.Sub(l.reportedAt) <= maxReportAge }
