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
		c.voidBelow(v)
	}
	c.trackOrphan(now, k)
	c.confirm(k)
	return true
}

// confirm records the order of a rank as carried out if the rank's state shows that: its response
// may have been lost. The version of the attempt stands for one map, and only this attempt arms it
// for the held step, so a state that shows the order proves what a response would.
func (c *Coordinator) confirm(k *rank) {
	switch o := k.delivery.order.(type) {
	case Prepare:
		if k.state.Prepared == o.Version {
			k.delivery.done = true
		}
	case Arm:
		if c.phase == arming && k.state.Armed != nil && *k.state.Armed == Armed(o) {
			k.delivery.done = true
		}
	}
}

// ObserveBegin records that the step began between two observations of an engine, the time between
// which is a fraction of a step.
func (c *Coordinator) ObserveBegin(before, now time.Time, s Step) {
	c.steps.observeBegin(before, now, s)
}

func armedVersion(s State) Version {
	if s.Armed == nil {
		return 0
	}
	return s.Armed.Version
}

// NeedsRead reports whether the attempt waits for a read of the rank. While preparing, it waits
// for the ranks to report the prepared map once their copies are expected to be done. At that
// time, ranks whose states are no longer fresh are read, too, so that one round of reads suffices
// for the hold; later, once all ranks have prepared the map. While arming, it waits for the ranks
// whose responses are late, while clearing, for the ranks to report the prepared replacement, and
// while releasing, for the own rank to report that it no longer holds the step.
func (c *Coordinator) NeedsRead(now time.Time, r int) bool {
	switch c.phase {
	case preparing:
		if now.Before(c.copiesDue()) {
			return false
		}
		return !c.hasPrepared(r) || !c.isFresh(now, r) && (c.CopiesJustDue(now) || c.AllPrepared())
	case arming:
		d := &c.ranks[r].delivery
		return !d.done && d.sends > 1
	case clearing:
		return !c.hasPrepared(r)
	case releasing:
		return r == c.self
	default:
		return false
	}
}

// copiesDue returns when the copies for the proposed map are expected to be done.
func (c *Coordinator) copiesDue() time.Time { return c.phaseSince.Add(c.copyTime) }

// CopiesJustDue reports whether the copies for the proposed map are expected to have been done in
// the last moment.
func (c *Coordinator) CopiesJustDue(now time.Time) bool {
	due := c.copiesDue()
	return c.phase == preparing && !now.Before(due) && now.Before(due.Add(freshFor))
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
	s := c.steps.latest
	for _, r := range c.ranks {
		s = max(s, r.state.Step)
	}
	return s
}
