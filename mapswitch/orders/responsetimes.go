package orders

import "time"

// responseTimes estimates how long ranks take to respond to orders, so that an order is
// sent again when its response is late for this group, not for a small one: orders sent to
// a hundred ranks at once take several times longer than a single order, and sending all
// of them again delays the remaining ones further. The rule and its weights are those of
// the retransmission timer of TCP (RFC 6298).
type responseTimes struct {
	mean, deviation time.Duration
}

const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// add records the time from an order to its response.
func (t *responseTimes) add(d time.Duration) {
	diff := d - t.mean
	t.mean += time.Duration(meanWeight * float64(diff))
	t.deviation += time.Duration(deviationWeight * float64(max(diff, -diff)-t.deviation))
}

// timeout returns the time after which a response is late.
func (t *responseTimes) timeout() time.Duration {
	return min(max(ResendAfter, t.mean+deviationFactor*t.deviation), maxResendDelay)
}
