package orders

import "time"

const (
	// freshFor is how long a state counts as fresh after it was read. A hold is requested
	// only while the states of all ranks are fresh: a rank that was reached a moment ago
	// most likely receives the Arm, too, whereas a rank that stalls after the hold and
	// before it responds to the Arm keeps the group held. One round of reads takes some ten
	// milliseconds; where it takes longer (SetReadTime), states are fresh for two rounds.
	freshFor = 50 * time.Millisecond
	// maxFreshFor bounds how long a state counts as fresh after slow reads. A rank whose
	// box stalls after it was requested to copy must not count as fresh when the others
	// have copied: it would keep its group held until the box resumes.
	maxFreshFor = 150 * time.Millisecond
)

// Observe processes the state of a rank, read just now. It returns false, and ignores the
// state, if the rank is in another epoch than the coordinator.
func (c *Coordinator) Observe(now time.Time, r int, s State) bool {
	if s.Epoch != c.epoch {
		return false
	}
	k := &c.ranks[r]
	k.state, k.read, k.readAt = s, true, now
	c.steps.observe(now, s.Step)
	for _, v := range []Version{s.Map, s.Prepared, armedVersion(s)} {
		c.highestRequested = max(c.highestRequested, v)
	}
	c.trackOrphan(now, k)
	return true
}

func armedVersion(s State) Version {
	if s.Armed == nil {
		return 0
	}
	return s.Armed.Version
}

// NeedsRead reports whether the attempt waits for a read of the rank. While preparing, it
// waits for every rank to report the prepared map, and then for the states that are not
// fresh; while releasing, for the own rank to report that it no longer holds the step.
func (c *Coordinator) NeedsRead(now time.Time, r int) bool {
	switch c.phase {
	case preparing:
		return !c.hasPrepared(r) || c.AllPrepared() && !c.isFresh(now, r)
	case releasing:
		return r == c.self
	default:
		return false
	}
}

// AllPrepared reports whether all ranks have prepared the map, so that the group is held
// as soon as the states of all ranks are fresh.
func (c *Coordinator) AllPrepared() bool {
	if c.phase != preparing {
		return false
	}
	for r := range c.ranks {
		if !c.hasPrepared(r) {
			return false
		}
	}
	return true
}

func (c *Coordinator) hasPrepared(r int) bool {
	return c.ranks[r].state.Prepared == c.attempt.Version
}

// isFresh reports whether the rank was read recently enough for the group to be held.
func (c *Coordinator) isFresh(now time.Time, r int) bool {
	return now.Sub(c.ranks[r].readAt) <= min(max(freshFor, 2*c.readTime), maxFreshFor)
}

// highestStep returns the highest step that a rank has reported.
func (c *Coordinator) highestStep() Step {
	var s Step
	for _, r := range c.ranks {
		s = max(s, r.state.Step)
	}
	return s
}
