package orders

import (
	"time"
)

// Times of a Coordinator.
const (
	// ResendAfter is how long an order may stay unanswered before it is given again:
	// several times the way between data halls of a region and back.
	ResendAfter = 20 * time.Millisecond
	// resendMost bounds the same for an order that was given resendSoon times: its rank
	// is out of reach rather than the order lost.
	resendMost = 160 * time.Millisecond
	resendSoon = 4
	// seenWithin is how long ago each rank must have been read for the group to be held:
	// one that was reached a moment ago can most likely be asked to arm, too. A rank that
	// stands still between the hold and its answer keeps the group held. One round of
	// reads takes some ten milliseconds; where it takes longer (SetReach), two of them.
	seenWithin = 50 * time.Millisecond
	// seenMost bounds that. A rank whose box stands still from when it was asked to copy
	// must not count as seen once the others have copied, some 0.2 s later: with 0.5 s, as
	// slow reads allowed, one of 96 ranks that stood still for 7.6 s kept its group held
	// for 7.3 s.
	seenMost = 150 * time.Millisecond
	// prepareWithin bounds the wait for copies beside what they are worked out to
	// take: orders that are lost are given again within it.
	prepareWithin = 3 * time.Second
)

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

// End is how an attempt ended.
type End string

// The ends of an attempt.
const (
	// Committed: all ranks use the map from the step on.
	Committed End = "committed"
	// NotPrepared: a rank refused to copy, or took too long.
	NotPrepared End = "not_prepared"
	// NotHeld: the own rank did not hold.
	NotHeld End = "not_held"
	// NotArmed: a rank refused to arm, and all others were disarmed.
	NotArmed End = "not_armed"
	// Overruled: another coordinator is at work.
	Overruled End = "overruled"
	// Regrouped: the group was formed anew.
	Regrouped End = "regrouped"
)

// Outcome tells how an attempt went.
type Outcome struct {
	Version  Version
	End      End
	Rank     int           // that caused it; -1 if none did
	Began    time.Time     // the attempt
	HeldFrom time.Time     // the hold was in place; zero if it was not
	Copying  time.Duration // until all ranks had prepared
}

// job is one order to one rank, given until it is answered.
type job struct {
	id     uint64
	order  Order
	done   bool
	sentAt time.Time // zero before the first time
	tries  int       // times that it was given
}

// rank is what is known of one rank.
type rank struct {
	state  State
	known  bool
	seenAt time.Time // when it was read last
	orphan time.Time // since when it is seen to hold for no attempt of this coordinator
	job    job
	// refusals counts the versions that were to void and were refused.
	refusals int
}

// Coordinator changes the maps of one group in one epoch. It is not safe for
// concurrent use.
type Coordinator struct {
	self  int
	epoch Epoch
	given *Numbers
	ranks []rank

	phase    phase
	entered  time.Time // the phase
	attempt  Outcome
	fenceNow Fence
	goal     Placement
	current  Placement     // nil until it is known
	step     Step          // that is held
	copying  time.Duration // that the goal is worked out to take
	jobs     uint64
	floor    Version // the highest version that was ever asked for
	lastHeld Step
	adopting bool          // the attempt settles what another left behind
	loss     float64       // share of orders that are not answered in time
	telling  time.Duration // that a map takes to reach all ranks
	reach    time.Duration // that a read of all ranks takes
	answers  answerTimes
	cadence  cadence
	ended    []Outcome
}

// NewCoordinator returns the coordinator beside the rank self. given are the numbers of its
// process, the same for all its coordinators.
func NewCoordinator(self, ranks int, e Epoch, given *Numbers) *Coordinator {
	return &Coordinator{self: self, epoch: e, given: given, ranks: make([]rank, ranks)}
}

// Epoch is the formation of the group that this coordinator is for.
func (c *Coordinator) Epoch() Epoch { return c.epoch }

// Idle tells that no attempt is under way.
func (c *Coordinator) Idle() bool { return c.phase == idle }

// Phase names where the attempt stands, for logs.
func (c *Coordinator) Phase() string { return c.phase.String() }

// Holding tells that this coordinator has its rank hold a step.
func (c *Coordinator) Holding() bool { return c.phase >= holding }

// Current is the map in use, as far as it is known.
func (c *Coordinator) Current() (Placement, bool) { return c.current, c.current != nil }

// SetCurrent tells the map in use, as read from all ranks at the same version.
func (c *Coordinator) SetCurrent(p Placement) {
	if c.phase == idle {
		c.current = p
	}
}

// SetTelling tells how long a map takes to reach all ranks, beside what any order
// takes: maps of large groups fill a narrow link for a while.
func (c *Coordinator) SetTelling(d time.Duration) { c.telling = d }

// SetReach tells how long the slowest of a round of reads takes. Where that is longer than
// seenWithin, as through relays in a group of a hundred ranks, the word of all ranks is
// never so fresh at once, and no map would ever change.
func (c *Coordinator) SetReach(d time.Duration) { c.reach = d }

// TakeEnded returns the attempts that ended since the last call.
func (c *Coordinator) TakeEnded() []Outcome {
	list := c.ended
	c.ended = nil
	return list
}

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

// Propose starts an attempt to go over to the map, which takes so long to copy. It
// is false if one is under way or something is left to settle first.
func (c *Coordinator) Propose(now time.Time, p Placement, copying time.Duration) bool {
	if !c.Settled() {
		return false
	}
	c.begin(now, preparing)
	c.goal, c.copying = p, copying
	c.attempt.Version = c.newVersion()
	c.ask(func(int) Order { return Prepare{Version: c.attempt.Version, Map: p} })
	return true
}

// newVersion gives a version that was never asked for in this epoch, by whomever. A version
// that stood for two maps would let ranks take different ones.
func (c *Coordinator) newVersion() Version {
	c.floor = c.given.version(c.floor, c.self, len(c.ranks))
	return c.floor
}

// Settled tells that an attempt can be begun: none is under way, and every rank is known,
// steps, and has nothing armed or held.
func (c *Coordinator) Settled() bool {
	if c.phase != idle {
		return false
	}
	for _, r := range c.ranks {
		if !r.known || !r.state.Open || r.state.Armed != nil || r.state.Held != nil {
			return false
		}
	}
	return true
}

func (c *Coordinator) begin(now time.Time, p phase) {
	c.phase, c.entered = p, now
	c.fenceNow = c.given.fence()
	c.attempt = Outcome{Rank: -1, Began: now}
}

// Awaits tells that the attempt goes on once the rank is seen to have taken a step:
// to have copied, or to hold no more; or once it is read again.
func (c *Coordinator) Awaits(now time.Time, r int) bool {
	switch c.phase {
	case preparing:
		return !c.hasCopied(r) || c.Ready() && !c.seen(now, r)
	case releasing:
		return r == c.self
	default:
		return false
	}
}

// Ready tells that all ranks have copied and the group is to be held as soon as all
// have been read.
func (c *Coordinator) Ready() bool {
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

// done tells that all jobs of the phase are.
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
			c.attempt.End = Committed
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
	c.attempt.Copying = now.Sub(c.attempt.Began)
	c.hold(now)
}

// hold asks the own rank to hold a step that was never held before: a late release
// of an earlier hold must not let it go.
func (c *Coordinator) hold(now time.Time) {
	c.enter(now, holding)
	c.step = max(c.farthest()+c.cadence.lead(now, c.copies()), c.lastHeld+1)
	c.askSelf(Hold{Step: c.step})
}

func (c *Coordinator) farthest() Step {
	var s Step
	for _, r := range c.ranks {
		s = max(s, r.state.Step)
	}
	return s
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
	if c.attempt.End == Committed && c.goal != nil {
		c.current = c.goal
	}
	c.end(c.attempt.End)
}

func (c *Coordinator) end(e End) {
	c.attempt.End = e
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
