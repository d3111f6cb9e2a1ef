package orders

import "time"

// A version is void if no rank will ever arm it again, and not all ranks were armed with it. Ranks may
// be disarmed from void versions only: a version with which all ranks were armed at some time may have
// been released, and steps may begin on it. Since a rank does not accept a version below one
// that it has had, and prepares no version while it is armed, a version is void as soon as one rank
// that is not armed with it has a higher one; or it has been in use, and then Disarm has no effect.

// isVoid reports whether the version is known to be void, or to have been in use.
func (c *Coordinator) isVoid(v Version) bool { return v < c.voidBound }

// voidBelow records that a rank has the version v, so that lower ones are void.
func (c *Coordinator) voidBelow(v Version) { c.voidBound = max(c.voidBound, v) }

// handleArmRefused aborts the attempt. A rank that refuses to arm a version that it had prepared has a
// higher one.
func (c *Coordinator) handleArmRefused(now time.Time) {
	failed := c.attempt.Version
	c.voidBelow(failed + 1)
	c.abort(now, failed)
}

// maxReplacements is the number of replacements that an attempt requests before it ends: if other
// coordinators make each of them void, these recover the hold.
const maxReplacements = 4

// abort ends what was armed under a hold. If all ranks are or can still be armed with the same version, this
// is completed, since the hold may have been released already. Otherwise the ranks are
// requested to prepare a replacement, which makes all earlier versions void, and to arm it: the hold
// must not be released before all ranks are armed (see startReleasing). The failed version is the one
// that a rank refused to arm, 0 if none did.
func (c *Coordinator) abort(now time.Time, failed Version) {
	if a, _, ok := c.completable(); ok {
		c.startArming(now, a, nil, Completed)
		return
	}
	if c.replacements++; c.replacements > maxReplacements {
		c.endAttempt(NotArmed)
		return
	}
	c.enterPhase(now, clearing)
	c.attempt.Version = c.newVersion()
	c.armedMap, c.attempt.Reason = c.replacementMap()
	c.assign(func(r int) Order {
		c.ranks[r].refused = false
		switch a := c.ranks[r].state.Armed; {
		case a != nil && c.isVoid(a.Version):
			return Disarm{Version: a.Version}
		case failed != 0:
			return Disarm{Version: failed}
		default:
			return c.replacement()
		}
	})
}

// completable returns what ranks are armed with if all ranks can be armed with it, and the number of
// ranks that are not armed yet; false if there is none.
func (c *Coordinator) completable() (a Armed, missing int, ok bool) {
	for _, r := range c.ranks {
		if s := r.state.Armed; s != nil && s.Version >= a.Version {
			a, ok = *s, true
		}
	}
	if !ok || c.isVoid(a.Version) {
		return a, 0, false
	}
	for _, r := range c.ranks {
		switch s := r.state; {
		case s.Armed != nil && *s.Armed == a:
		case s.Armed == nil && s.Prepared == a.Version:
			missing++
		default:
			return a, 0, false
		}
	}
	return a, missing, true
}

// replacementMap returns the map of a replacement, and the reason for the end of an attempt that arms it:
// the map in use, whose experts need not be copied, or, since ranks may refuse it, the proposed map
// in turn.
func (c *Coordinator) replacementMap() (Placement, EndReason) {
	if c.current == nil || c.proposed != nil && c.replacements%2 == 0 {
		return c.proposed, Committed
	}
	return c.current, NotArmed
}

func (c *Coordinator) replacement() Order {
	return Prepare{Version: c.attempt.Version, Map: c.armedMap}
}

// prepareAfterDisarm requests a rank to prepare the replacement. A rank that refused to disarm
// uses the map of that version, and then has nothing armed.
func (c *Coordinator) prepareAfterDisarm(r int) {
	k := &c.ranks[r]
	if o, ok := k.delivery.order.(Disarm); ok && k.state.Armed != nil && k.state.Armed.Version == o.Version {
		k.state.Armed = nil
	}
	c.assignTo(r, c.replacement())
}

// handleClearingRefused processes a refusal while ranks are cleared. A rank refuses the replacement if
// it is armed or has a higher version; the next read shows which.
func (c *Coordinator) handleClearingRefused(r int) {
	k := &c.ranks[r]
	if _, disarming := k.delivery.order.(Disarm); disarming {
		c.prepareAfterDisarm(r)
		return
	}
	k.delivery.done, k.refused, k.read = true, true, false
}

// advanceClearing requests all ranks to arm the replacement once all of them have prepared it. Under
// a hold that is reported together with the prepared replacement, since only that hold cannot be
// released before all ranks are armed with the replacement or a higher version.
func (c *Coordinator) advanceClearing(now time.Time) {
	if a, missing, ok := c.completable(); ok && missing == 0 {
		c.startArming(now, a, nil, Completed)
		return
	}
	if c.isVoid(c.attempt.Version) || !c.disarmRefusing() {
		c.abort(now, 0)
		return
	}
	step, held := c.holdStep, false
	for r, k := range c.ranks {
		if !c.hasPrepared(r) {
			return
		}
		if k.state.Held != nil {
			step, held = max(step, *k.state.Held), true
		}
	}
	if !held {
		c.endAttempt(NotArmed)
		return
	}
	c.startArming(now, Armed{Version: c.attempt.Version, Step: step}, c.armedMap, c.attempt.Reason)
}

// disarmRefusing requests ranks that refused the replacement to disarm, if they are armed with a void
// version. It returns false if a rank refused for another reason, so that the replacement has failed.
func (c *Coordinator) disarmRefusing() bool {
	for r := range c.ranks {
		k := &c.ranks[r]
		if !k.refused || !k.read || c.hasPrepared(r) {
			continue
		}
		if k.state.Armed == nil {
			return false
		}
		if c.isVoid(k.state.Armed.Version) {
			k.refused = false
			c.assignTo(r, Disarm{Version: k.state.Armed.Version})
		}
	}
	return true
}
