package orders

import "time"

// How fresh the news of the ranks must be.
const (
	// seenWithin is how long ago each rank must have been read for the group to be held:
	// one that was reached a moment ago can most likely be asked to arm, too. A rank that
	// stands still between the hold and its answer keeps the group held. One round of
	// reads takes some ten milliseconds; where it takes longer (SetReadTime), two of them.
	seenWithin = 50 * time.Millisecond
	// seenMost bounds that. A rank whose box stands still from when it was asked to copy
	// must not count as seen once the others have copied: it would keep its group held for as long
	// as it stands still.
	seenMost = 150 * time.Millisecond
)

// Observe takes the state of a rank, read just now. It is false if the rank is in
// another epoch, so that this coordinator is of no more use.
func (c *Coordinator) Observe(now time.Time, r int, s State) bool {
	if s.Epoch != c.epoch {
		return false
	}
	k := &c.ranks[r]
	k.state, k.known, k.seenAt = s, true, now
	c.cadence.saw(now, s.Step)
	for _, v := range []Version{s.Map, s.Prepared, armedVersion(s)} {
		c.floor = max(c.floor, v)
	}
	c.watchHold(now, k)
	return true
}

func armedVersion(s State) Version {
	if s.Armed == nil {
		return 0
	}
	return s.Armed.Version
}

// NeedsRead reports that the attempt goes on once the rank is seen to have taken a step:
// to have copied, or to hold no more; or once it is read again.
func (c *Coordinator) NeedsRead(now time.Time, r int) bool {
	switch c.phase {
	case preparing:
		return !c.hasCopied(r) || c.AllPrepared() && !c.seen(now, r)
	case releasing:
		return r == c.self
	default:
		return false
	}
}

// AllPrepared reports that all ranks have copied and the group is to be held as soon as all
// have been read.
func (c *Coordinator) AllPrepared() bool {
	if c.phase != preparing {
		return false
	}
	for r := range c.ranks {
		if !c.hasCopied(r) {
			return false
		}
	}
	return true
}

func (c *Coordinator) hasCopied(r int) bool { return c.ranks[r].state.Prepared == c.attempt.Version }

func (c *Coordinator) seen(now time.Time, r int) bool {
	return now.Sub(c.ranks[r].seenAt) <= min(max(seenWithin, 2*c.reach), seenMost)
}

func (c *Coordinator) farthest() Step {
	var s Step
	for _, r := range c.ranks {
		s = max(s, r.state.Step)
	}
	return s
}
