package distribution

import "time"

const (
	// latenessFactor is how many times longer than for half of the responses a relay waits for the
	// others: the last of ten responses over a narrow link takes twice as long as the fifth.
	latenessFactor = 3
	// minLateness is the least time that a relay waits after half of the responses: a round trip
	// within a region.
	minLateness = 20 * time.Millisecond
)

// Lateness decides how long a relay waits for the responses to an order that it sent to several
// engines. If it waited for all, one engine that does not answer would withhold the responses of the
// others from the coordinator, which would send the order to all of them again. It is not safe for
// concurrent use.
type Lateness struct {
	sent, received int
	half           time.Duration // from the start to half of the responses; 0 until then
}

// NewLateness returns the state after an order was sent to the number of engines.
func NewLateness(sent int) *Lateness { return &Lateness{sent: sent} }

// Received records a response, the given time after the order was sent.
func (l *Lateness) Received(after time.Duration) {
	l.received++
	if l.half == 0 && 2*l.received >= l.sent {
		l.half = max(after, 1)
	}
}

// Limit returns the time after the order was sent at which missing responses are late; false while
// that is not known.
func (l *Lateness) Limit() (time.Duration, bool) {
	return max(latenessFactor*l.half, l.half+minLateness), l.half > 0
}
