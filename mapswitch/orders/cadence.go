package orders

import "time"

// cadence follows how long the steps of the group are, so that a hold is as many steps
// ahead as arming needs and no more: a map that waits for several steps of a group with a slow
// rank comes seconds late to mend them.
type cadence struct {
	step   Step // the farthest that was seen to have begun
	at     time.Time
	length time.Duration // mean of a step
}

const (
	// leadFor is how long before its step a hold is given: the age of the last reads and
	// the way of a few orders.
	leadFor = 50 * time.Millisecond
	// copyLeadFor is the same for each further copy of orders, where many are lost.
	copyLeadFor = 100 * time.Millisecond
	// leadSlack is the share of a step that leadFor may fall short by: the step that
	// runs may end before the hold comes, and then the attempt is made anew. A step of
	// four times leadFor is so held before the next one.
	leadSlack = 0.2
	// cadenceWeight is the weight of one more step in the mean.
	cadenceWeight = 0.3
	// cadenceFirst is taken to be the length before any step was seen.
	cadenceFirst = 50 * time.Millisecond
)

// saw takes that a rank has begun the step.
func (c *cadence) saw(now time.Time, s Step) {
	switch {
	case c.at.IsZero():
		c.step, c.at, c.length = s, now, cadenceFirst
	case s > c.step:
		each := now.Sub(c.at) / time.Duration(s-c.step)
		c.length += time.Duration(cadenceWeight * float64(each-c.length))
		c.step, c.at = s, now
	}
}

// usual is the length of a step: the mean, or that of the one that runs if it is longer.
func (c *cadence) usual(now time.Time) time.Duration {
	if c.at.IsZero() {
		return cadenceFirst
	}
	return max(c.length, now.Sub(c.at))
}

// lead is how many steps after the farthest begun a hold is to be placed, with so many
// copies of each order.
func (c *cadence) lead(now time.Time, copies int) Step {
	within := leadFor + time.Duration(copies-1)*copyLeadFor
	return 1 + Step(float64(within)/float64(c.usual(now))+1-leadSlack)
}
