package orders

import "time"

// prepareWithin bounds the wait for copies beside what they are worked out to
// take: orders that are lost are given again within it.
const prepareWithin = 3 * time.Second

// phase is where an attempt stands.
type phase int

const (
	idle      phase = iota // no attempt
	preparing              // ranks copy
	yielding               // the own rank is asked to let a later hold go
	holding                // the own rank is asked to hold
	arming                 // held; ranks are asked to arm
	clearing               // held; ranks are asked to disarm and to prepare a version that voids
	releasing              // the hold is let go
)

// String gives the name of the phase.
func (p phase) String() string {
	return [...]string{"idle", "preparing", "yielding", "holding", "arming", "clearing", "releasing"}[p]
}

// EndReason is how an attempt ended.
type EndReason string

// The ends of an attempt.
const (
	// Committed: all ranks use the map from the step on.
	Committed EndReason = "committed"
	// NotPrepared: a rank refused to copy, or took too long.
	NotPrepared EndReason = "not_prepared"
	// NotHeld: the own rank did not hold.
	NotHeld EndReason = "not_held"
	// NotArmed: a rank refused to arm, and all others were disarmed.
	NotArmed EndReason = "not_armed"
	// Overruled: another coordinator is at work.
	Overruled EndReason = "overruled"
	// Regrouped: the group was formed anew.
	Regrouped EndReason = "regrouped"
)

// Outcome reports how an attempt went.
type Outcome struct {
	Version     Version
	Reason      EndReason
	Rank        int           // that caused it; -1 if none did
	StartedAt   time.Time     // the attempt
	HeldFrom    time.Time     // the hold was in place; zero if it was not
	PrepareTime time.Duration // until all ranks had prepared
}

func (c *Coordinator) begin(now time.Time, p phase) {
	c.phase, c.entered = p, now
	c.fenceNow = c.given.fence()
	c.attempt = Outcome{Rank: -1, StartedAt: now}
}

// took notes that a rank took its order. A rank that has disarmed is then asked to
// prepare.
func (c *Coordinator) took(r int) {
	k := &c.ranks[r]
	if _, disarmed := k.job.order.(Disarm); disarmed && c.phase == clearing {
		k.state.Armed = nil
		c.voidRank(r)
		return
	}
	k.job.done = true
}

// done reports that all jobs of the phase are.
func (c *Coordinator) done() bool {
	for _, r := range c.ranks {
		if !r.job.done {
			return false
		}
	}
	return true
}

// advance goes on to the next phase when the present one is over.
func (c *Coordinator) advance(now time.Time) {
	switch c.phase {
	case idle:
		c.settleOrphan(now)
	case preparing:
		c.prepared(now)
	case yielding:
		if c.done() {
			c.enter(now, holding)
			c.askSelf(Hold{Step: c.step})
		}
	case holding:
		if c.done() {
			c.held(now)
		}
	case arming:
		if c.done() {
			c.attempt.Reason = Committed
			c.release(now)
		}
	case clearing:
		if c.done() {
			c.release(now)
		}
	case releasing:
		c.released(now)
	}
}

func (c *Coordinator) enter(now time.Time, p phase) { c.phase, c.entered = p, now }

// prepared holds once all ranks have the map ready and can be reached.
func (c *Coordinator) prepared(now time.Time) {
	for r := range c.ranks {
		if !c.hasCopied(r) || !c.seen(now, r) {
			if now.Sub(c.entered) > (c.copying+c.telling)*2+prepareWithin {
				c.attempt.Rank = r
				c.end(NotPrepared)
			}
			return
		}
	}
	c.attempt.PrepareTime = now.Sub(c.attempt.StartedAt)
	c.hold(now)
}

// hold asks the own rank to hold a step that was never held before: a late release
// of an earlier hold must not let it go.
func (c *Coordinator) hold(now time.Time) {
	c.enter(now, holding)
	c.step = max(c.farthest()+c.cadence.lead(now, c.copies()), c.lastHeld+1)
	c.askSelf(Hold{Step: c.step})
}

// held goes on once the own rank holds.
func (c *Coordinator) held(now time.Time) {
	c.attempt.HeldFrom = now
	c.lastHeld = max(c.lastHeld, c.step)
	if c.adopting {
		c.callOff(now)
		return
	}
	c.enter(now, arming)
	c.ask(func(int) Order { return Arm{Version: c.attempt.Version, Step: c.step} })
}

// release lets the hold go, and with it what others left behind.
func (c *Coordinator) release(now time.Time) {
	c.enter(now, releasing)
	c.ask(func(r int) Order {
		h := c.ranks[r].state.Held
		switch {
		case r == c.self:
			return Release{Step: c.step}
		case c.adopting && h != nil:
			return Release{Step: *h}
		default:
			return nil
		}
	})
}

// released ends the attempt once the own rank is seen to hold no more.
func (c *Coordinator) released(now time.Time) {
	s := c.ranks[c.self].state
	if !c.done() || s.Held != nil && *s.Held == c.step {
		if c.done() && now.Sub(c.entered) > ResendAfter {
			c.release(now) // it was let go before the hold came, which was late
		}
		return
	}
	if c.attempt.Reason == Committed && c.goal != nil {
		c.current = c.goal
	}
	c.end(c.attempt.Reason)
}

func (c *Coordinator) end(e EndReason) {
	c.attempt.Reason = e
	c.ended = append(c.ended, c.attempt)
	c.phase = idle
	c.goal = nil
	c.adopting = false
	for r := range c.ranks {
		k := &c.ranks[r]
		k.known, k.orphan, k.refusals = false, time.Time{}, 0 // to be read again before another attempt
	}
}

// refused: what that means depends on the phase. Before the hold nothing has
// happened; after it the attempt is called off under the hold.
func (c *Coordinator) refused(now time.Time, r int) {
	c.attempt.Rank = r
	switch c.phase {
	case preparing:
		c.end(NotPrepared)
	case yielding:
		c.ranks[r].job.done = true // it holds for nobody
	case holding:
		c.end(NotHeld)
	case arming:
		c.callOff(now)
	case clearing:
		c.clearRefused(r)
	case releasing:
		c.ranks[r].job.done = true // it holds for nobody
	}
}

// outranked: another coordinator has taken over. This one stands down; if its hold
// is left behind, it is found as one that nobody wants.
func (c *Coordinator) outranked(r int) {
	c.given.outranked()
	c.attempt.Rank = r
	c.end(Overruled)
}
