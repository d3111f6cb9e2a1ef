package orders

import "time"

const (
	// ResendAfter is the least time without a response after which an order is sent
	// again: several round trips between data halls of a region.
	ResendAfter = 20 * time.Millisecond
	// maxResendDelay is the delay from which the resend delay no longer doubles. It doubles
	// with each send after the first resendsBeforeBackoff, since a rank that has not
	// responded to these is more likely unreachable than all of the orders lost. The timeout
	// of responseTimes does not exceed it either.
	maxResendDelay       = 160 * time.Millisecond
	resendsBeforeBackoff = 4
)

// delivery is one order to one rank, sent until the rank responds.
type delivery struct {
	id     uint64
	order  Order
	done   bool
	sentAt time.Time // zero before the first send
	// ended reports whether the last call ended without a response, so that the order is no
	// longer in transit from this box.
	ended bool
	sends int
}

// rank is the coordinator's record of one rank.
type rank struct {
	state State
	// read reports whether the state was read since the last attempt ended.
	read   bool
	readAt time.Time
	// orphanSince is when the rank was first seen to hold a step that no attempt of this
	// coordinator requested; zero if it holds none.
	orphanSince time.Time
	delivery    delivery
	// refused reports whether the rank refused to prepare the replacement (see abort) and has not
	// been requested to disarm since.
	refused bool
}

// Coordinator changes the maps of one group in one epoch. It is not safe for
// concurrent use.
type Coordinator struct {
	self    int
	epoch   Epoch
	numbers *NumberGenerator
	ranks   []rank

	phase      phase
	phaseSince time.Time
	attempt    Outcome
	fence      Fence
	proposed   Placement
	// current is the last known map in use; nil until it has been read. It is the map in use while
	// no rank reports a version above currentVersion.
	current        Placement
	currentVersion Version
	// holdStep is the step that the attempt holds or is about to hold at the own rank; 0 if none.
	holdStep Step
	// armStep is the step for which the last attempt that armed did so, armedMap its map; nil if
	// that is not known.
	armStep  Step
	armedMap Placement
	// voidBound is above all versions that are known to be void (see isVoid).
	voidBound Version
	// replacements is the number of replacements (see abort) that the attempt has requested.
	replacements int
	// holds is the number of steps that the attempt was refused to hold, refusedStep the last one.
	holds       int
	refusedStep Step
	// copyTime is the expected time to copy the experts of the proposed map.
	copyTime     time.Duration
	lastDelivery uint64
	// highestRequested is the highest version that any coordinator is known to have
	// requested in this epoch.
	highestRequested Version
	// lastHeldStep is the last step that the own rank was requested to hold.
	lastHeldStep Step
	// releasedStep is the step up to which the last attempt that released holds did so; 0 if none did.
	releasedStep Step
	// loss is the share of orders that get no response in time.
	loss float64
	// distributionTime is the time to send a map to all ranks.
	distributionTime time.Duration
	// readTime is the time of the slowest reply of a round of reads.
	readTime  time.Duration
	responses responseTimes
	steps     stepTimes
	outcomes  []Outcome
}

// NewCoordinator returns a coordinator that runs beside the rank self. All coordinators of
// a process share one NumberGenerator.
func NewCoordinator(self, ranks int, e Epoch, numbers *NumberGenerator) *Coordinator {
	return &Coordinator{self: self, epoch: e, numbers: numbers, ranks: make([]rank, ranks)}
}

// Epoch returns the epoch of the group that the coordinator was created for.
func (c *Coordinator) Epoch() Epoch { return c.epoch }

// Idle reports whether no attempt is under way.
func (c *Coordinator) Idle() bool { return c.phase == idle }

// Phase returns the name of the attempt's phase, for logs.
func (c *Coordinator) Phase() string { return c.phase.String() }

// Holding reports whether the coordinator has requested its own rank to hold a step, or is
// recovering an orphaned hold.
func (c *Coordinator) Holding() bool { return c.phase >= holding }

// Current returns the map in use; false if it has not been read yet, or was changed by another
// coordinator.
func (c *Coordinator) Current() (Placement, bool) {
	if c.current == nil {
		return nil, false
	}
	for _, r := range c.ranks {
		if r.state.Map > c.currentVersion {
			return nil, false
		}
	}
	return c.current, true
}

// SetCurrent sets the map in use, as read from all ranks at the same version. It is ignored if
// ranks report different versions since then.
func (c *Coordinator) SetCurrent(p Placement) {
	version := c.ranks[c.self].state.Map
	for _, r := range c.ranks {
		if r.state.Map != version {
			return
		}
	}
	if c.phase == idle {
		c.setMapInUse(p, version)
	}
}

func (c *Coordinator) setMapInUse(p Placement, v Version) { c.current, c.currentVersion = p, v }

// SetDistributionTime sets how long sending a map to all ranks takes, in addition to the
// time of any order: maps of large groups fill a narrow link for a while.
func (c *Coordinator) SetDistributionTime(d time.Duration) { c.distributionTime = d }

// SetReadTime sets the time of the slowest reply of a round of reads. Where this time
// exceeds freshFor, as through relays in a group of a hundred ranks, states count as fresh
// for two rounds: otherwise those of all ranks would never be fresh at the same time, and no
// map would ever change.
func (c *Coordinator) SetReadTime(d time.Duration) { c.readTime = d }

// TakeOutcomes returns the outcomes of the attempts that ended since the last call.
func (c *Coordinator) TakeOutcomes() []Outcome {
	list := c.outcomes
	c.outcomes = nil
	return list
}

// Propose starts an attempt to change to the map p, whose experts are expected to be
// copied within copyTime. It returns false if CanPropose does.
func (c *Coordinator) Propose(now time.Time, p Placement, copyTime time.Duration) bool {
	if !c.CanPropose() {
		return false
	}
	c.beginAttempt(now, preparing)
	c.proposed, c.copyTime = p, copyTime
	c.attempt.Version = c.newVersion()
	c.assign(func(int) Order { return Prepare{Version: c.attempt.Version, Map: p} })
	return true
}

// newVersion returns a version that no coordinator has requested in this epoch. If one
// version stood for two maps, ranks could switch to different maps.
func (c *Coordinator) newVersion() Version {
	c.highestRequested = c.numbers.version(c.highestRequested, c.self, len(c.ranks))
	return c.highestRequested
}

// CanPropose reports whether an attempt can be started: none is under way, and every rank
// has been read, runs steps, and has nothing armed or held.
func (c *Coordinator) CanPropose() bool {
	if c.phase != idle {
		return false
	}
	for _, r := range c.ranks {
		if !r.read || !r.state.Open || r.state.Armed != nil || r.state.Held != nil {
			return false
		}
	}
	return true
}
