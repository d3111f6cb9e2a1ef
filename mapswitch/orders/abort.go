package orders

import "time"

// abort disarms all ranks, whichever version they have armed, before the hold is released.
// A rank is cleared once it has accepted a Prepare of a new version: an armed rank refuses
// every Prepare, and no order for an earlier version can arm the rank any more.
func (c *Coordinator) abort(now time.Time) {
	c.attempt.Reason = NotArmed
	c.enterPhase(now, clearing)
	c.assign(func(r int) Order {
		switch a := c.ranks[r].state.Armed; {
		case a != nil:
			return Disarm{Version: a.Version}
		case c.attempt.Version != 0:
			return Disarm{Version: c.attempt.Version}
		default:
			return c.voidingOrder(r)
		}
	})
}

// voidingOrder returns a Prepare that makes earlier versions void at a rank. Its map is
// one that the rank can accept: the proposed map, which the rank prepared before, or the
// map in use. After each refusal, the other of the two is tried.
func (c *Coordinator) voidingOrder(r int) Order {
	m := c.proposed
	if m == nil || c.current != nil && c.ranks[r].refusals%2 == 1 {
		m = c.current
	}
	return Prepare{Version: c.newVersion(), Map: m}
}

// assignVoiding creates a delivery of a voiding order for one rank.
func (c *Coordinator) assignVoiding(r int) {
	c.lastDelivery++
	c.ranks[r].delivery = delivery{id: c.lastDelivery, order: c.voidingOrder(r)}
}

// handleClearingRefused processes a refusal while ranks are cleared. A rank refuses a
// Disarm if it already uses the map of that version, and then has nothing armed. A rank
// refuses a Prepare if an Arm that arrived late has armed it.
func (c *Coordinator) handleClearingRefused(r int) {
	k := &c.ranks[r]
	if _, disarming := k.delivery.order.(Disarm); disarming {
		k.state.Armed = nil
		c.assignVoiding(r)
		return
	}
	k.refusals++
	version := c.attempt.Version
	if k.state.Armed != nil {
		version = k.state.Armed.Version
	}
	c.lastDelivery++
	k.delivery = delivery{id: c.lastDelivery, order: Disarm{Version: version}, sentAt: k.delivery.sentAt}
}
