package orders

import "time"

// Times of a Coordinator.
const (
	// ResendAfter is how long an order may stay unanswered before it is given again:
	// several times the way between data halls of a region and back.
	ResendAfter = 20 * time.Millisecond
	// resendMost bounds the same for an order that was given resendSoon times: its rank
	// is out of reach rather than the order lost.
	resendMost = 160 * time.Millisecond
	resendSoon = 4
)

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
	given *NumberGenerator
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
func NewCoordinator(self, ranks int, e Epoch, given *NumberGenerator) *Coordinator {
	return &Coordinator{self: self, epoch: e, given: given, ranks: make([]rank, ranks)}
}

// Epoch is the formation of the group that this coordinator is for.
func (c *Coordinator) Epoch() Epoch { return c.epoch }

// Idle reports that no attempt is under way.
func (c *Coordinator) Idle() bool { return c.phase == idle }

// Phase names where the attempt stands, for logs.
func (c *Coordinator) Phase() string { return c.phase.String() }

// Holding reports that this coordinator has its rank hold a step.
func (c *Coordinator) Holding() bool { return c.phase >= holding }

// Current is the map in use, as far as it is known.
func (c *Coordinator) Current() (Placement, bool) { return c.current, c.current != nil }

// SetCurrent sets the map in use, as read from all ranks at the same version.
func (c *Coordinator) SetCurrent(p Placement) {
	if c.phase == idle {
		c.current = p
	}
}

// SetDistributionTime sets how long a map takes to reach all ranks, beside what any order
// takes: maps of large groups fill a narrow link for a while.
func (c *Coordinator) SetDistributionTime(d time.Duration) { c.telling = d }

// SetReadTime sets how long the slowest of a round of reads takes. Where that is longer than
// seenWithin, as through relays in a group of a hundred ranks, the news of all ranks is
// never so fresh at once, and no map would ever change.
func (c *Coordinator) SetReadTime(d time.Duration) { c.reach = d }

// TakeOutcomes returns the attempts that ended since the last call.
func (c *Coordinator) TakeOutcomes() []Outcome {
	list := c.ended
	c.ended = nil
	return list
}

// Propose starts an attempt to go over to the map, which takes so long to copy. It
// is false if one is under way or something is left to settle first.
func (c *Coordinator) Propose(now time.Time, p Placement, copying time.Duration) bool {
	if !c.CanPropose() {
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

// CanPropose reports that an attempt can be begun: none is under way, and every rank is known,
// steps, and has nothing armed or held.
func (c *Coordinator) CanPropose() bool {
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
