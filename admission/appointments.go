package admission

import (
	"time"

	"clovertrail.dev/core/urgency"
)

// Appointments assigns the times at which refused callers retry, evenly with respect to the times that it
// has already assigned.
type Appointments struct {
	origin time.Time     // start of bin 0
	counts map[int64]int // by bin: number of callers that retry in it
}

const (
	// appointmentBin is the resolution of the counts.
	appointmentBin = 100 * time.Millisecond
	// earliestShare and latestShare bound a retry time as shares of the longest time that callers honour: its
	// later half, less the time that the refusal may take to reach the caller.
	earliestShare, latestShare = 0.5, 0.97
	// classShare is the part of that range that callers of one class are spread over, if there are several
	// classes.
	classShare = 0.5
)

// NewAppointments returns appointments without any.
func NewAppointments() *Appointments { return &Appointments{counts: map[int64]int{}} }

// Assign returns after how long a caller of the class should retry that has the remaining time to its
// deadline: never more than a third of it. The more urgent retry earlier. spread is random in [0, 1).
func (a *Appointments) Assign(now time.Time, remaining time.Duration, c urgency.Class, spread float64) time.Duration {
	if remaining <= 0 {
		return 0
	}
	if a.origin.IsZero() {
		a.origin = now
	}
	passed := max(now.Sub(a.origin), 0)
	from, to := retryRange(remaining, c)
	a.dropBefore(int64(passed / appointmentBin))
	bin, within := a.leastUsed(int64((passed+from)/appointmentBin), int64((passed+to)/appointmentBin), spread)
	a.counts[bin]++
	start := time.Duration(bin)*appointmentBin - passed
	from, to = max(from, start), min(to, start+appointmentBin)
	return from + time.Duration(within*float64(to-from))
}

// leastUsed returns one of the bins with the lowest count, and a random place within it.
func (a *Appointments) leastUsed(first, last int64, spread float64) (bin int64, within float64) {
	n := last - first + 1
	at := spread * float64(n)
	offset := int64(at)
	bin = first + offset
	for i := range n {
		if b := first + (offset+i)%n; a.counts[b] < a.counts[bin] {
			bin = b
		}
	}
	return bin, at - float64(offset)
}

// dropBefore removes the bins before the given one.
func (a *Appointments) dropBefore(first int64) {
	for b := range a.counts {
		if b < first {
			delete(a.counts, b)
		}
	}
}

// retryRange returns the earliest and the latest retry time of a caller.
func retryRange(remaining time.Duration, c urgency.Class) (from, to time.Duration) {
	most := float64(remaining) * maxRetryAfterShare
	width := latestShare - earliestShare
	first := earliestShare
	if others := c.Count() - 1; others > 0 {
		first += width * (1 - classShare) * float64(c.Rank()) / float64(others)
		width *= classShare
	}
	return time.Duration(most * first), time.Duration(most * (first + width))
}
