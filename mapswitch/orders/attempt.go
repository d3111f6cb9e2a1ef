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
	holding                // the coordinator's own rank is requested to hold a step
	arming                 // under the hold, ranks are requested to arm
	clearing               // under a hold, ranks are requested to disarm void versions and to prepare a replacement
	releasing              // ranks are requested to release their holds
)

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"idle", "preparing", "holding", "arming", "clearing", "releasing"}[p]
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
	// continue with the map in use, under a new version.
	NotArmed EndReason = "not_armed"
	// Completed: the attempt recovered an orphaned hold, and armed the remaining ranks with the
	// version of the ended attempt.
	Completed EndReason = "completed"
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
	// Version is the version that the attempt requested last.
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
	c.numbers.skipTo(c.highestRequested, len(c.ranks))
	c.fence = c.numbers.fence()
	c.attempt = Outcome{Rank: -1, StartedAt: now}
	c.holds, c.refusedStep, c.holdStep = 0, 0, 0
	c.replacements = 0
}

// handleDone records that a rank carried out its order.
func (c *Coordinator) handleDone(r int) {
	k := &c.ranks[r]
	switch o := k.delivery.order.(type) {
	case Disarm:
		c.prepareAfterDisarm(r)
		return
	case Prepare:
		c.voidBelow(o.Version)
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
	case holding:
		if c.allDelivered() {
			c.advanceHolding(now)
		}
	case arming:
		if c.allDelivered() {
			c.startReleasing(now)
		}
	case clearing:
		c.advanceClearing(now)
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

// startHolding requests the own rank to hold a step that this coordinator has not requested to
// hold before, so that a late Hold or Release of an earlier attempt does not disturb this one.
func (c *Coordinator) startHolding(now time.Time) {
	c.enterPhase(now, holding)
	c.holdStep = max(max(c.highestStep(), c.refusedStep)+c.steps.lead(now, c.redundancy()), c.lastHeldStep+1)
	c.lastHeldStep = c.holdStep
	c.assignSelf(Hold{Step: c.holdStep})
}

// advanceHolding requests all ranks to arm, now that the own rank holds the step.
func (c *Coordinator) advanceHolding(now time.Time) {
	c.attempt.HeldFrom = now
	c.startArming(now, Armed{Version: c.attempt.Version, Step: c.holdStep}, c.proposed, Committed)
}

// startArming requests all ranks to arm, except those that reported to be armed so already. The
// map of the version is nil if it is not known. The attempt ends for the reason given once all ranks
// are armed and the holds released.
func (c *Coordinator) startArming(now time.Time, a Armed, m Placement, reason EndReason) {
	c.enterPhase(now, arming)
	c.attempt.Version, c.attempt.Reason = a.Version, reason
	c.armStep, c.armedMap = a.Step, m
	c.assign(func(r int) Order {
		if s := c.ranks[r].state.Armed; s != nil && *s == a {
			return nil
		}
		return Arm(a)
	})
}

// startReleasing requests all ranks to release holds up to the step for which all ranks are armed.
// A copy of such a Release that arrives late is harmless: a hold up to that step is needed no
// more, and since armed ranks do not prepare another map, later attempts hold later steps. A hold of
// a later step is left, and recovered as an orphaned one.
func (c *Coordinator) startReleasing(now time.Time) {
	c.enterPhase(now, releasing)
	c.assign(func(r int) Order {
		h := c.ranks[r].state.Held
		if r == c.self && c.holdStep != 0 {
			h = &c.holdStep
		}
		if h == nil || *h > c.armStep {
			return nil
		}
		return Release{Step: *h}
	})
}

// advanceReleasing ends the attempt once the own rank reports that it no longer holds the
// step.
func (c *Coordinator) advanceReleasing(now time.Time) {
	if !c.allDelivered() {
		return
	}
	if h := c.ranks[c.self].state.Held; h != nil && *h <= c.armStep {
		if now.Sub(c.phaseSince) > ResendAfter {
			c.startReleasing(now) // a late Hold arrived after the Release
		}
		return
	}
	c.releasedStep = c.armStep
	if c.armedMap != nil {
		c.setMapInUse(c.armedMap, c.attempt.Version)
	}
	c.endAttempt(c.attempt.Reason)
}

func (c *Coordinator) endAttempt(reason EndReason) {
	c.attempt.Reason = reason
	c.outcomes = append(c.outcomes, c.attempt)
	c.phase = idle
	c.proposed, c.armedMap = nil, nil
	for r := range c.ranks {
		k := &c.ranks[r]
		k.read, k.orphanSince, k.refused = false, time.Time{}, false // ranks are read again before another attempt
	}
}

// handleRefused processes the refusal of an order. Before the hold no rank has changed
// anything, and the attempt ends; under the hold the attempt is aborted.
func (c *Coordinator) handleRefused(now time.Time, r int) {
	c.attempt.Rank = r
	switch c.phase {
	case preparing:
		c.endAttempt(NotPrepared)
	case holding:
		c.handleHoldRefused(now)
	case arming:
		c.handleArmRefused(now)
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
	if c.holds++; c.holds >= maxHolds {
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
