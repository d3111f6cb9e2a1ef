package orders

import "time"

// A hold is orphaned if the rank holds a step for an attempt that no coordinator runs any
// more.
const (
	// ownOrphanAfter is how long the own rank must hold a step that no attempt of this
	// coordinator requested before the hold counts as orphaned: it may be left from the
	// previous process of this agent, and the coordinator of another rank may be
	// recovering it already.
	ownOrphanAfter = 400 * time.Millisecond
	// orphanAfter is the same time for a hold at another rank. It is shorter, since a rank
	// starts to coordinate only after it has received no read from that rank's coordinator
	// for a long time.
	orphanAfter = 100 * time.Millisecond
)

// trackOrphan records since when a rank holds a step that no attempt of this coordinator
// requested.
func (c *Coordinator) trackOrphan(now time.Time, k *rank) {
	switch {
	case k.state.Held == nil || c.phase >= holding:
		k.orphanSince = time.Time{}
	case k.orphanSince.IsZero():
		k.orphanSince = now
	}
}

// recoverOrphan completes or aborts the attempt of a lost process that left a hold behind.
// That process may still be running, or its orders in transit.
func (c *Coordinator) recoverOrphan(now time.Time) {
	if !c.hasOrphan(now) || !c.allRead() || c.current == nil {
		return // an abort needs a map that all ranks accept
	}
	c.beginAttempt(now, clearing)
	c.attempt.HeldFrom = now
	c.abort(now, 0)
}

// releaseAgain releases a hold of the own rank up to the step for which the last attempt had armed all
// ranks: a repetition of the Hold has arrived after the Release. Nothing has to be aborted, and the
// group is not left held for ownOrphanAfter.
func (c *Coordinator) releaseAgain(now time.Time) bool {
	own := c.ranks[c.self].state.Held
	if own == nil || *own > c.releasedStep {
		return false
	}
	c.beginAttempt(now, releasing)
	c.attempt.Reason, c.holdStep, c.armStep = ReleasedAgain, *own, c.releasedStep
	c.assignSelf(Release{Step: *own})
	return true
}

// hasOrphan reports whether the hold of a rank is orphaned.
func (c *Coordinator) hasOrphan(now time.Time) bool {
	for r, k := range c.ranks {
		after := orphanAfter
		if r == c.self {
			after = ownOrphanAfter
		}
		if !k.orphanSince.IsZero() && now.Sub(k.orphanSince) >= after {
			return true
		}
	}
	return false
}

func (c *Coordinator) allRead() bool {
	for _, r := range c.ranks {
		if !r.read {
			return false
		}
	}
	return true
}
