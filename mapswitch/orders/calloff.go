package orders

import "time"

// callOff takes the attempt, and whatever else is armed, back at all ranks before
// the hold is let go. A rank is clear once it has taken a Prepare of a new version:
// it was not armed then, and no order for an earlier version arms it any more.
func (c *Coordinator) callOff(now time.Time) {
	c.attempt.Reason = NotArmed
	c.enter(now, clearing)
	c.ask(func(r int) Order {
		switch a := c.ranks[r].state.Armed; {
		case a != nil:
			return Disarm{Version: a.Version}
		case c.attempt.Version != 0:
			return Disarm{Version: c.attempt.Version}
		default:
			return c.voiding(r)
		}
	})
}

// voiding is the Prepare that makes earlier versions void at a rank. Its map is one
// that the rank is known to take: the goal, which it prepared before, or the one in
// use, by turns if one of them is refused.
func (c *Coordinator) voiding(r int) Order {
	m := c.goal
	if m == nil || c.current != nil && c.ranks[r].refusals%2 == 1 {
		m = c.current
	}
	return Prepare{Version: c.newVersion(), Map: m}
}

// voidRank asks the rank to prepare a version that voids.
func (c *Coordinator) voidRank(r int) {
	c.jobs++
	c.ranks[r].job = job{id: c.jobs, order: c.voiding(r)}
}

// clearRefused: a rank that refuses to disarm has the map in use and nothing armed;
// one that refuses to prepare is armed after all, by an order that came late.
func (c *Coordinator) clearRefused(r int) {
	k := &c.ranks[r]
	if _, disarming := k.job.order.(Disarm); disarming {
		k.state.Armed = nil
		c.voidRank(r)
		return
	}
	k.refusals++
	version := c.attempt.Version
	if k.state.Armed != nil {
		version = k.state.Armed.Version
	}
	c.jobs++
	k.job = job{id: c.jobs, order: Disarm{Version: version}, sentAt: k.job.sentAt}
}
