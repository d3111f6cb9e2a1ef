package orders

import "time"

// This file determines which orders to send, and when to send them again until each rank has
// responded: the deliveries of a phase, the redundant sends on lossy links, and the time to
// the next send. The phases are in attempt.go.

const (
	// lossWeight is the weight of one more order in the share of lost orders.
	lossWeight = 0.05
	// maxRedundancy bounds how many times an order is sent at once.
	maxRedundancy = 3
	// lossPerRedundantSend is the share of lost orders for each multiple of which orders are
	// sent one more time at once: with that send, a group of eight ranks usually receives
	// all orders at the first try.
	lossPerRedundantSend = 0.08
)

// assign creates a delivery for every rank, except those for which order returns nil.
func (c *Coordinator) assign(order func(rank int) Order) {
	c.lastDelivery++
	for r := range c.ranks {
		o := order(r)
		c.ranks[r].delivery = delivery{id: c.lastDelivery, order: o, done: o == nil}
	}
}

// assignTo creates a delivery for one rank, and leaves those of the others.
func (c *Coordinator) assignTo(r int, o Order) {
	c.lastDelivery++
	c.ranks[r].delivery = delivery{id: c.lastDelivery, order: o}
}

// assignSelf creates a delivery for the coordinator's own rank only.
func (c *Coordinator) assignSelf(o Order) {
	c.assign(func(r int) Order {
		if r == c.self {
			return o
		}
		return nil
	})
}

// Next returns the orders to send now. It must be called after every call of another
// method that changes the coordinator, and on every tick.
func (c *Coordinator) Next(now time.Time) []Call {
	c.advance(now)
	var calls []Call
	for r := range c.ranks {
		d := &c.ranks[r].delivery
		if c.phase == idle || d.done || !d.sentAt.IsZero() && now.Sub(d.sentAt) < c.resendDelay(d) {
			continue
		}
		c.recordLoss(!d.sentAt.IsZero())
		d.sentAt, d.ended = now, false
		d.sends++
		for range c.redundancyOf(d.order) {
			calls = append(calls, Call{Rank: r, Epoch: c.epoch, Fence: c.fence, Order: d.order, deliveryID: d.id})
		}
	}
	return calls
}

// resendDelay returns the time without a response after which the order is sent again.
func (c *Coordinator) resendDelay(d *delivery) time.Duration {
	delay := c.responses.timeout()
	for i := resendsBeforeBackoff; i < d.sends && delay < maxResendDelay; i++ {
		delay *= 2
	}
	if _, ok := d.order.(Prepare); ok && !d.ended {
		return delay + 2*c.distributionTime
	}
	return delay
}

// recordLoss updates the share of lost orders.
func (c *Coordinator) recordLoss(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	c.loss += lossWeight * (sample - c.loss)
}

// redundancy returns how many times each order is sent at once. Orders are idempotent.
func (c *Coordinator) redundancy() int { return min(1+int(c.loss/lossPerRedundantSend), maxRedundancy) }

// redundancyOf returns how many times the order is sent at once. A map whose distribution
// takes long is sent once: on a slow link, further sends delay it more.
func (c *Coordinator) redundancyOf(o Order) int {
	if _, ok := o.(Prepare); ok && c.distributionTime > ResendAfter/2 {
		return 1
	}
	return c.redundancy()
}

// HandleResult processes the result of a call that Next returned.
func (c *Coordinator) HandleResult(now time.Time, call Call, res Result) {
	d := &c.ranks[call.Rank].delivery
	if call.deliveryID != d.id || d.done || c.phase == idle {
		return
	}
	if _, prepare := d.order.(Prepare); !prepare && res != Lost {
		c.responses.add(now.Sub(d.sentAt))
	}
	switch res {
	case Done:
		c.handleDone(call.Rank)
	case Refused:
		c.handleRefused(now, call.Rank)
	case Outranked:
		c.handleOutranked(call.Rank)
	case Lost:
		d.ended = true // Next sends the order again
	}
}
