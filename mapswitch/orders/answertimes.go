package orders

import "time"

// answerTimes follows how long orders take to be answered, so that one is given again
// when its answer is late rather than when it would be in a small group: orders for a
// hundred ranks, given many at once, take several times longer than one does, and giving
// all of them again makes the rest later still. The rule and its weights are those of the
// retransmission timer of TCP (RFC 6298).
type answerTimes struct {
	mean, spread time.Duration
}

const (
	answerWeight = 1.0 / 8
	spreadWeight = 1.0 / 4
	spreadTimes  = 4
)

// took takes the time from an order to its answer.
func (a *answerTimes) took(d time.Duration) {
	off := d - a.mean
	a.mean += time.Duration(answerWeight * float64(off))
	a.spread += time.Duration(spreadWeight * float64(max(off, -off)-a.spread))
}

// late is after how long an answer is late.
func (a *answerTimes) late() time.Duration {
	return min(max(ResendAfter, a.mean+spreadTimes*a.spread), resendMost)
}
