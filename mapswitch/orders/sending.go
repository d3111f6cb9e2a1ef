package orders

import "time"

// How orders are given and given again until each rank has taken its own: the jobs of a
// phase, their copies where many are lost, and the time to the next try. What the phases
// are is in coordinator.go.

const (
	// lossWeight is the weight of one more order in the share that is lost.
	lossWeight = 0.05
	// mostCopies is how often an order is given at once when many are lost.
	mostCopies = 3
	// copyLoss is the share of lost orders for which one more copy is given: with it
	// the group of eight ranks usually has all orders at the first try.
	copyLoss = 0.08
)

// ask gives every rank a job; a nil order gives none.
func (c *Coordinator) ask(order func(rank int) Order) {
	c.jobs++
	for r := range c.ranks {
		o := order(r)
		c.ranks[r].job = job{id: c.jobs, order: o, done: o == nil}
	}
}

// askSelf gives only the own rank a job.
func (c *Coordinator) askSelf(o Order) {
	c.ask(func(r int) Order {
		if r == c.self {
			return o
		}
		return nil
	})
}

// Next gives the orders to be given now. It is to be called after everything else,
// and on every tick.
func (c *Coordinator) Next(now time.Time) []Call {
	c.advance(now)
	var calls []Call
	for r := range c.ranks {
		j := &c.ranks[r].job
		if c.phase == idle || j.done || !j.sentAt.IsZero() && now.Sub(j.sentAt) < c.resendAfter(j) {
			continue
		}
		c.noteLoss(!j.sentAt.IsZero())
		j.sentAt = now
		j.tries++
		for range c.copiesOf(j.order) {
			calls = append(calls, Call{Rank: r, Epoch: c.epoch, Fence: c.fenceNow, Order: j.order, id: j.id})
		}
	}
	return calls
}

// resendAfter is how long the order may stay unanswered before it is given again.
func (c *Coordinator) resendAfter(j *job) time.Duration {
	d := c.answers.late()
	for i := resendSoon; i < j.tries && d < resendMost; i++ {
		d *= 2
	}
	if _, ok := j.order.(Prepare); ok {
		return d + 2*c.telling
	}
	return d
}

func (c *Coordinator) noteLoss(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	c.loss += lossWeight * (sample - c.loss)
}

// copies is how often each order is given at once. To give one twice does no harm.
func (c *Coordinator) copies() int { return min(1+int(c.loss/copyLoss), mostCopies) }

// copiesOf is the same for the order. A map that takes long to send is sent once:
// where it is late, more of them make it later.
func (c *Coordinator) copiesOf(o Order) int {
	if _, ok := o.(Prepare); ok && c.telling > ResendAfter/2 {
		return 1
	}
	return c.copies()
}

// HandleResult takes what became of a call.
func (c *Coordinator) HandleResult(now time.Time, call Call, res Result) {
	j := &c.ranks[call.Rank].job
	if call.id != j.id || j.done || c.phase == idle {
		return
	}
	if _, copies := j.order.(Prepare); !copies && res != Lost {
		c.answers.took(now.Sub(j.sentAt))
	}
	switch res {
	case Done:
		c.took(call.Rank)
	case Refused:
		c.refused(now, call.Rank)
	case Outranked:
		c.outranked(call.Rank)
	case Lost: // it is given again
	}
}
