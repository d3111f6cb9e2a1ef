package orders

import "time"

// Times of holds that another left behind.
const (
	// ownOrphanAfter is how long a hold at the own rank that no attempt of this
	// coordinator asked for is left alone: it may belong to a process before this one
	// while another rank's coordinator settles it already.
	ownOrphanAfter = 400 * time.Millisecond
	// orphanAfter is the same for a hold at another rank. Whoever coordinates has not
	// heard that rank's coordinator for long.
	orphanAfter = 100 * time.Millisecond
)

// watchHold notes since when a rank holds for no attempt of this coordinator.
func (c *Coordinator) watchHold(now time.Time, k *rank) {
	switch {
	case k.state.Held == nil || c.phase >= holding:
		k.orphan = time.Time{}
	case k.orphan.IsZero():
		k.orphan = now
	}
}

// settleOrphan takes care of a hold that a lost process left behind: it calls off
// whatever was under way. Before it changes anything it holds the same step at its
// own rank, so that its report counts until the end whatever happens to the other hold.
// It does not finish a switch that another began, since that other may still be at
// work on it.
func (c *Coordinator) settleOrphan(now time.Time) {
	step, found := c.orphanStep(now)
	if !found || !c.allKnown() || c.current == nil {
		return // calling off needs a map that all ranks take
	}
	c.begin(now, holding)
	c.adopting, c.step = true, step
	own := c.ranks[c.self].state.Held
	switch {
	case own != nil && *own < step:
		c.step = *own
	case own != nil && *own > step:
		// One rank holds one step. The lower hold elsewhere keeps the group meanwhile.
		c.enter(now, yielding)
		c.askSelf(Release{Step: *own})
		return
	}
	c.askSelf(Hold{Step: c.step})
}

// orphanStep is the lowest step that a rank holds for nobody.
func (c *Coordinator) orphanStep(now time.Time) (step Step, found bool) {
	for r, k := range c.ranks {
		after := orphanAfter
		if r == c.self {
			after = ownOrphanAfter
		}
		if k.orphan.IsZero() || now.Sub(k.orphan) < after || k.state.Held == nil {
			continue
		}
		if !found || *k.state.Held < step {
			step, found = *k.state.Held, true
		}
	}
	return step, found
}

func (c *Coordinator) allKnown() bool {
	for _, r := range c.ranks {
		if !r.known {
			return false
		}
	}
	return true
}
