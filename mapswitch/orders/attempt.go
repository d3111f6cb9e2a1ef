package orders

import "time"

// prepareGrace is the time that ranks have to prepare a map in addition to twice the
// expected time of copying and distribution: lost orders are sent again within it.
const prepareGrace = 3 * time.Second

// phase is the state of an attempt.
type phase int

const (
	idle      phase = iota // no attempt is under way
	preparing              // ranks copy the experts of the proposed map
	yielding               // the coordinator's own rank is requested to release a hold later than an orphaned one
	holding                // the coordinator's own rank is requested to hold a step
	arming                 // under the hold, ranks are requested to arm
	clearing               // under the hold, ranks are requested to disarm and to prepare a new version that voids earlier ones
	releasing              // ranks are requested to release their holds
)

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"idle", "preparing", "yielding", "holding", "arming", "clearing", "releasing"}[p]
}

// EndReason states why an attempt ended.
type EndReason string

// The reasons for the end of an attempt.
const (
	// Committed: all ranks are armed and use the map from the held step on.
	Committed EndReason = "committed"
	// NotPrepared: a rank refused to prepare the map, or was not ready in time.
	NotPrepared EndReason = "not_prepared"
	// NotHeld: the coordinator's own rank refused the hold.
	NotHeld EndReason = "not_held"
	// NotArmed: a rank refused to arm, or the attempt recovered an orphaned hold; all ranks
	// were disarmed.
	NotArmed EndReason = "not_armed"
	// ReleasedAgain: the own rank carried out a late Hold of an attempt that had ended, and has
	// released it.
	ReleasedAgain EndReason = "released_again"
	// Overruled: a rank has received a higher fence, so another coordinator is active.
	Overruled EndReason = "overruled"
	// Regrouped: the group was formed anew.
	Regrouped EndReason = "regrouped"
)

// Outcome describes an attempt.
type Outcome struct {
	Version Version
	Reason  EndReason
	// Rank is the rank that made the attempt fail; -1 if none did.
	Rank      int
	StartedAt time.Time
	// HeldFrom is the time from which the own rank held the step; zero if it never did.
	HeldFrom time.Time
	// PrepareTime is the time from the start until all ranks had prepared the map.
	PrepareTime time.Duration
}

func (c *Coordinator) beginAttempt(now time.Time, p phase) {
	c.phase, c.phaseSince = p, now
	c.fence = c.numbers.fence()
	c.attempt = Outcome{Rank: -1, StartedAt: now}
	c.holds, c.refusedStep = 0, 0
}

// handleDone records that a rank carried out its order. A rank that has disarmed is then
// requested to prepare a voiding version (see voidingOrder).
func (c *Coordinator) handleDone(r int) {
	k := &c.ranks[r]
	if _, disarmed := k.delivery.order.(Disarm); disarmed && c.phase == clearing {
		k.state.Armed = nil
		c.assignVoiding(r)
		return
	}
	k.delivery.done = true
}

// allDelivered reports whether all deliveries of the phase are done.
func (c *Coordinator) allDelivered() bool {
	for _, r := range c.ranks {
		if !r.delivery.done {
			return false
		}
	}
	return true
}

// advance enters the next phase if the current one is complete.
func (c *Coordinator) advance(now time.Time) {
	switch c.phase {
	case idle:
		if !c.releaseAgain(now) {
			c.recoverOrphan(now)
		}
	case preparing:
		c.advancePreparing(now)
	case yielding:
		if c.allDelivered() {
			c.enterPhase(now, holding)
			c.assignSelf(Hold{Step: c.holdStep})
		}
	case holding:
		if c.allDelivered() {
			c.advanceHolding(now)
		}
	case arming:
		if c.allDelivered() {
			c.attempt.Reason = Committed
			c.startReleasing(now)
		}
	case clearing:
		if c.allDelivered() {
			c.startReleasing(now)
		}
	case releasing:
		c.advanceReleasing(now)
	}
}

func (c *Coordinator) enterPhase(now time.Time, p phase) { c.phase, c.phaseSince = p, now }

// advancePreparing starts the hold once all ranks have prepared the map and their states
// are fresh, and ends the attempt if that takes too long.
func (c *Coordinator) advancePreparing(now time.Time) {
	for r := range c.ranks {
		if !c.hasPrepared(r) || !c.isFresh(now, r) {
			if now.Sub(c.phaseSince) > (c.copyTime+c.distributionTime)*2+prepareGrace {
				c.attempt.Rank = r
				c.endAttempt(NotPrepared)
			}
			return
		}
	}
	c.attempt.PrepareTime = now.Sub(c.attempt.StartedAt)
	c.startHolding(now)
}

// startHolding requests the own rank to hold a step that was never held before, so that a
// late release of an earlier hold does not release this one.
func (c *Coordinator) startHolding(now time.Time) {
	c.enterPhase(now, holding)
	c.holdStep = max(max(c.highestStep(), c.refusedStep)+c.steps.lead(now, c.redundancy()), c.lastHeldStep+1)
	c.assignSelf(Hold{Step: c.holdStep})
}

// advanceHolding requests all ranks to arm, now that the own rank holds the step. An
// attempt that recovers an orphaned hold aborts instead.
func (c *Coordinator) advanceHolding(now time.Time) {
	c.attempt.HeldFrom = now
	c.lastHeldStep = max(c.lastHeldStep, c.holdStep)
	if c.recovering {
		c.abort(now)
		return
	}
	c.enterPhase(now, arming)
	c.assign(func(int) Order { return Arm{Version: c.attempt.Version, Step: c.holdStep} })
}

// startReleasing requests the own rank to release its hold and, in an attempt that
// recovers an orphaned hold, all other ranks to release theirs.
func (c *Coordinator) startReleasing(now time.Time) {
	c.enterPhase(now, releasing)
	c.assign(func(r int) Order {
		h := c.ranks[r].state.Held
		switch {
		case r == c.self:
			return Release{Step: c.holdStep}
		case c.recovering && h != nil:
			return Release{Step: *h}
		default:
			return nil
		}
	})
}

// advanceReleasing ends the attempt once the own rank reports that it no longer holds the
// step.
func (c *Coordinator) advanceReleasing(now time.Time) {
	s := c.ranks[c.self].state
	if !c.allDelivered() || s.Held != nil && *s.Held == c.holdStep {
		if c.allDelivered() && now.Sub(c.phaseSince) > ResendAfter {
			c.startReleasing(now) // a late Hold arrived after the Release
		}
		return
	}
	c.releasedStep = c.holdStep
	if c.attempt.Reason == Committed && c.proposed != nil {
		c.current = c.proposed
	}
	c.endAttempt(c.attempt.Reason)
}

func (c *Coordinator) endAttempt(reason EndReason) {
	c.attempt.Reason = reason
	c.outcomes = append(c.outcomes, c.attempt)
	c.phase = idle
	c.proposed = nil
	c.recovering = false
	for r := range c.ranks {
		k := &c.ranks[r]
		k.read, k.orphanSince, k.refusals = false, time.Time{}, 0 // ranks are read again before another attempt
	}
}

// handleRefused processes the refusal of an order. Before the hold no rank has changed
// anything, and the attempt ends; under the hold the attempt is aborted.
func (c *Coordinator) handleRefused(now time.Time, r int) {
	c.attempt.Rank = r
	switch c.phase {
	case preparing:
		c.endAttempt(NotPrepared)
	case yielding:
		c.ranks[r].delivery.done = true // the rank has no such hold
	case holding:
		c.handleHoldRefused(now)
	case arming:
		c.abort(now)
	case clearing:
		c.handleClearingRefused(r)
	case releasing:
		c.ranks[r].delivery.done = true // the rank has no such hold
	}
}

// maxHolds is the number of steps that an attempt requests to hold, one after another, before it
// ends: if each began before its hold arrived, the steps are much shorter than expected.
const maxHolds = 3

// handleHoldRefused requests to hold a later step, since most likely the refused one had begun, and
// the map is still prepared everywhere.
func (c *Coordinator) handleHoldRefused(now time.Time) {
	if c.holds++; c.recovering || c.holds >= maxHolds {
		c.endAttempt(NotHeld)
		return
	}
	c.refusedStep, c.attempt.Rank = c.holdStep, -1
	c.startHolding(now)
}

// handleOutranked ends the attempt, since another coordinator has taken over. If the
// attempt's hold remains, a coordinator finds it as an orphan.
func (c *Coordinator) handleOutranked(r int) {
	c.numbers.raiseFence()
	c.attempt.Rank = r
	c.endAttempt(Overruled)
}
