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

// recoverOrphan aborts the attempt of a lost process that left a hold behind. Before
// anything else, the coordinator holds the same step at its own rank, so that the group
// stays held until the end of the abort, whatever becomes of the orphaned hold. It does not
// complete the map change of the other process, which may still be running.
func (c *Coordinator) recoverOrphan(now time.Time) {
	step, found := c.lowestOrphan(now)
	if !found || !c.allRead() || c.current == nil {
		return // an abort needs a map that all ranks accept
	}
	c.beginAttempt(now, holding)
	c.recovering, c.holdStep = true, step
	own := c.ranks[c.self].state.Held
	switch {
	case own != nil && *own < step:
		c.holdStep = *own
	case own != nil && *own > step:
		// A rank holds only one step. The lower hold elsewhere keeps the group held meanwhile.
		c.enterPhase(now, yielding)
		c.assignSelf(Release{Step: *own})
		return
	}
	c.assignSelf(Hold{Step: c.holdStep})
}

// releaseAgain releases a hold of the own rank for the step that this coordinator has held and
// released before: a repetition of the Hold has arrived after the Release. All ranks are armed for
// the step or cleared since, so that nothing has to be aborted, and the group is not left held for
// ownOrphanAfter. If another coordinator found the hold in between, it holds the step itself.
func (c *Coordinator) releaseAgain(now time.Time) bool {
	own := c.ranks[c.self].state.Held
	if own == nil || c.releasedStep == 0 || *own != c.releasedStep {
		return false
	}
	c.beginAttempt(now, releasing)
	c.attempt.Reason, c.holdStep = ReleasedAgain, *own
	c.assignSelf(Release{Step: *own})
	return true
}

// lowestOrphan returns the lowest step whose hold is orphaned.
func (c *Coordinator) lowestOrphan(now time.Time) (step Step, found bool) {
	for r, k := range c.ranks {
		after := orphanAfter
		if r == c.self {
			after = ownOrphanAfter
		}
		if k.orphanSince.IsZero() || now.Sub(k.orphanSince) < after || k.state.Held == nil {
			continue
		}
		if !found || *k.state.Held < step {
			step, found = *k.state.Held, true
		}
	}
	return step, found
}

func (c *Coordinator) allRead() bool {
	for _, r := range c.ranks {
		if !r.read {
			return false
		}
	}
	return true
}
