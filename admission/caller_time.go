package admission

import "time"

// callerTimePeriod is how long the longest time to the deadline of a caller counts at least, and half of how long it
// counts at most. New callers arrive within it even at a box that receives a request in some seconds.
const callerTimePeriod = 15 * time.Second

// callerTime is the longest time that recent callers of a route had to their deadlines.
type callerTime struct {
	current, previous time.Duration // longest of the present and of the last period
	until             time.Time     // end of the present period
}

// add records a caller and returns the longest recent time, including that of the caller.
func (c *callerTime) add(now time.Time, remaining time.Duration) time.Duration {
	if !now.Before(c.until) {
		if c.previous = c.current; now.Sub(c.until) >= callerTimePeriod {
			c.previous = 0
		}
		c.current, c.until = 0, now.Add(callerTimePeriod)
	}
	c.current = max(c.current, remaining)
	return max(c.current, c.previous)
}

// limit reduces the recorded times to a new timeout of the route.
func (c *callerTime) limit(timeout time.Duration) {
	c.current, c.previous = min(c.current, timeout), min(c.previous, timeout)
}
