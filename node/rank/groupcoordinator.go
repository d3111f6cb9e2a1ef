package rank

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/distribution"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/platform"
)

// Intervals, timeouts and sizes used to coordinate a group.
const (
	// coordinatorTick is the time between two checks for due work: less than a step.
	coordinatorTick = 20 * time.Millisecond
	// idleTick is the time between two checks of a rank that does not coordinate: several
	// checks within the time without a read after which the rank takes over.
	idleTick = 100 * time.Millisecond
	// readTimeout bounds a read of another rank.
	readTimeout = 250 * time.Millisecond
	// orderTimeout bounds an order to another rank; the coordinator resends the order.
	orderTimeout = 150 * time.Millisecond
	// unresponsivePeriod is how long an agent that did not respond is bypassed: its engine
	// is read directly, which the platform charges for. Together with readTimeout it is
	// shorter than the time without a read after which the next rank takes over: an agent
	// that is only slow must not consider the coordinator lost.
	unresponsivePeriod = 200 * time.Millisecond
	// parallelMapSendTime bounds how long whole maps that are sent in parallel fill this
	// box's link. It thereby bounds the delay of messages queued behind the maps.
	parallelMapSendTime = 25 * time.Millisecond
	// frequentReadPeriod is how long the ranks are still read more often after an attempt at
	// a map change: until the armed step has begun, a few steps later.
	frequentReadPeriod = 250 * time.Millisecond
	// linkShare is the share of the box's link that reads and the distribution of maps may
	// use; the rest is left to the engine and to requests.
	linkShare = 0.4
	// Sizes on the wire: of one slot of a map, of the count of one expert, and of a report
	// without its counts.
	bytesPerSlot, bytesPerCount, reportBytes = 2, 1, 300
	// rowHeaderSlots is the size of the header of a row on the wire, in slots.
	rowHeaderSlots = 3
	// copySlowdown is the increase of the step time while ranks copy, as a share; the
	// platform specifies it.
	copySlowdown = 0.15
)

// groupCoordinator coordinates the group of the agent's rank while no lower rank does. All
// fields that mu does not guard belong to the goroutine of run.
type groupCoordinator struct {
	agent   *Agent
	numbers *orders.NumberGenerator // shared by all coordinators of the process
	results chan event

	rank      int
	size      int
	group     string
	coord     *orders.Coordinator
	members   map[int]mesh.Member
	shape     rebalance.Shape
	counts    *distribution.Counter
	estimate  *rebalance.Estimate
	pace      rebalance.Pace
	slowdowns *rebalance.Slowdowns
	shift     rebalance.ShiftResponse
	observed  stepReport // last observation of the own engine
	observeAt time.Time  // from when on the own engine is observed again
	change    mapChange
	skewHigh  bool // the skew exceeded highSkew at the last plan
	// skewHighAt is the time of the last plan at which the skew exceeded highSkew, or of the first plan.
	skewHighAt time.Time
	// experts holds the experts of the map in use, of version expertsVersion, by rank. Ranks
	// whose experts have not been read are missing.
	experts         map[int][][]int
	expertsVersion  orders.Version
	lastFullRead    time.Time            // start of the last read of all ranks
	lastPartialRead time.Time            // start of the last read of the ranks that an attempt needs
	lastCountsRead  time.Time            // start of the last read that requested counts
	relays          *distribution.Relays // nil if each rank is called directly
	readTime        time.Duration        // duration of the slowest recent read, decaying with each round
	overhead        time.Duration        // average time that a map change takes in addition to its copies
	copyTime        time.Duration        // expected time of the copies for the proposed map
	sentMaps        *distribution.SentMaps
	changedRows     int           // rows of the proposed map that differ from the map in use
	mapSends        chan struct{} // semaphore that limits the whole maps sent in parallel
	lastAttemptEnd  time.Time
	planDue         bool         // counts were added to the estimate since the last plan
	readInFlight    map[int]bool // by rank; reads without counts
	countsInFlight  map[int]bool // by rank; reads with counts
	leading         bool
	unresponsive    *unresponsiveAgents
	readFailed      map[int]bool // by rank, for the last read

	mu       sync.Mutex
	stopping bool
}

// event is the outcome of a call, sent to the goroutine of run. The set of types is closed:
// readDone, gatherDone, orderDone and batchDone.
type event interface{ event() }

// readDone is the outcome of a read of one rank.
type readDone struct {
	rank       int
	epoch      orders.Epoch // at the start of the read
	withCounts bool         // the read requested expert counts
	before     float64      // share of the counts that is from before a long step
	startedAt  time.Time
	report     *mesh.RankReport
	err        error
}

// gatherDone is the outcome of a read of several ranks through a relay.
type gatherDone struct {
	assignment distribution.Assignment
	epoch      orders.Epoch
	withCounts bool
	before     float64 // share of the counts that is from before a long step
	startedAt  time.Time
	report     *mesh.GatherReply
	err        error
}

// orderDone is the outcome of an order to one rank.
type orderDone struct {
	call     orders.Call
	viaAgent bool // sent through the agent of the rank
	result   orders.Result
	err      error
}

// batchDone is the outcome of orders that were sent in one call.
type batchDone struct{ orders []orderDone }

func (readDone) event()   {}
func (gatherDone) event() {}
func (orderDone) event()  {}
func (batchDone) event()  {}

func newGroupCoordinator(a *Agent) *groupCoordinator {
	return &groupCoordinator{agent: a, numbers: orders.NewNumberGenerator(uint16(rand.Uint32())), results: make(chan event, 64), readInFlight: map[int]bool{}, countsInFlight: map[int]bool{}, unresponsive: newUnresponsiveAgents(), readFailed: map[int]bool{}}
}

// beginStop makes run return as soon as no attempt holds the group.
func (g *groupCoordinator) beginStop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

func (g *groupCoordinator) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// run handles events and coordinates the group until ctx ends, or until beginStop was called
// and no attempt holds the group.
func (g *groupCoordinator) run(ctx context.Context) {
	tick := time.NewTicker(idleTick)
	defer tick.Stop()
	every := idleTick
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-g.results:
			g.handleEvent(e)
		case <-tick.C:
			g.tick(ctx)
		}
		if g.coord != nil {
			g.issueOrders(ctx)
		}
		if want := g.tickInterval(); want != every {
			every = want
			tick.Reset(want)
		}
		if g.isStopping() && (g.coord == nil || !g.coord.Holding()) {
			return
		}
	}
}

// tickInterval returns the time between two checks for due work.
func (g *groupCoordinator) tickInterval() time.Duration {
	if g.coord == nil || !g.leading && g.coord.Idle() {
		return idleTick
	}
	return coordinatorTick
}

func (g *groupCoordinator) handleEvent(e event) {
	now := clock.Now()
	switch e := e.(type) {
	case readDone:
		g.handleRead(now, e)
	case gatherDone:
		g.handleGather(now, e)
	case orderDone:
		g.handleOrder(now, e)
	case batchDone:
		for _, o := range e.orders {
			g.handleOrder(now, o)
		}
	}
}

// tick reads the own engine, decides whether to coordinate, and starts the reads that are due.
func (g *groupCoordinator) tick(ctx context.Context) {
	now := clock.Now()
	g.observeStep(ctx, now)
	if now = clock.Now(); now.Sub(g.lastFullRead) < readInterval && !g.awaitsReads() && !g.shift.ReadDue(now) {
		return
	}
	own, err := g.agent.engineReport(ctx, readInterval/2)
	if err != nil || own.Rank.Size < 1 {
		return
	}
	g.updateRole(now, own)
	if g.coord == nil || !g.leading {
		return
	}
	g.planIfDue(now)
	switch since := now.Sub(g.lastFullRead); {
	case since >= readInterval || g.shift.ReadDue(now):
		g.reportSkewAge(now)
		g.lastFullRead, g.lastPartialRead = now, now
		g.readTime = time.Duration(readTimeDecay * float64(g.readTime))
		g.readRanks(ctx, g.countsDue(now), func(int) bool { return true })
	case g.awaitsReads() && (now.Sub(g.lastPartialRead) >= readInterval/2 || g.coord.AllPrepared() || g.coord.CopiesJustDue(now)):
		g.lastPartialRead = now
		g.readRanks(ctx, false, func(r int) bool { return r == g.rank || g.coord.NeedsRead(now, r) })
	}
}

// awaitsReads reports whether an attempt is under way or has ended within frequentReadPeriod:
// only reads of the ranks show its progress.
func (g *groupCoordinator) awaitsReads() bool {
	return g.coord != nil && (!g.coord.Idle() || clock.Since(g.lastAttemptEnd) < frequentReadPeriod)
}

// updateRole starts or stops coordinating, depending on the state of the group and on whether
// a lower rank coordinates. A coordinator that holds the group continues until the release.
func (g *groupCoordinator) updateRole(now time.Time, own platform.Report) {
	leading := g.agent.leads(now, own.Rank.Number) && own.State.Open
	members, shape, known := g.agent.groupIn(own.State.Epoch, own.Rank.Size)
	if g.coord != nil && g.coord.Epoch() != own.State.Epoch {
		g.log("group formed anew", "epoch", own.State.Epoch, "before", g.coord.Epoch())
		g.coord = nil
	}
	if !known {
		return
	}
	if g.coord == nil && leading {
		g.startCoordinating(own, members, shape)
	}
	if g.coord != nil && leading != g.leading {
		g.log("coordinating", "leading", leading, "epoch", own.State.Epoch, "relays", g.relayPartitions())
	}
	g.leading = leading || g.coord != nil && g.coord.Holding()
}

// relayPartitions returns the number of partitions that relays read; 0 without relays.
func (g *groupCoordinator) relayPartitions() int {
	if g.relays == nil {
		return 0
	}
	return g.relays.Partitions()
}

// startCoordinating resets the state for the group in its present epoch.
func (g *groupCoordinator) startCoordinating(own platform.Report, members map[int]mesh.Member, shape rebalance.Shape) {
	g.rank, g.size, g.group = own.Rank.Number, own.Rank.Size, string(own.Rank.Group)
	shape.Ranks = g.size
	g.members, g.shape = members, shape
	g.coord = orders.NewCoordinator(g.rank, g.size, own.State.Epoch, g.numbers)
	g.counts = distribution.NewCounter(shape)
	g.experts, g.expertsVersion = map[int][][]int{}, 0
	clear(g.readInFlight)
	clear(g.countsInFlight)
	g.unresponsive.reset()
	g.sentMaps = distribution.NewSentMaps()
	g.relays, g.readTime = nil, 0
	if g.needsRelays() {
		g.relays = distribution.NewRelays(g.rank, members)
	}
	g.mapSends = make(chan struct{}, max(1, int(parallelMapSendTime/max(g.wholeMapSendTime(), 1))))
	g.changedRows = 0
	g.overhead = max(g.overhead, g.distributionTime())
	g.estimate, g.pace = rebalance.NewEstimate(shape), rebalance.Pace{}
	g.slowdowns, g.shift, g.observed, g.change = rebalance.NewSlowdowns(g.size), rebalance.ShiftResponse{}, stepReport{}, mapChange{}
	g.skewHigh, g.skewHighAt = false, time.Time{}
}

// log logs the message with the group and the own rank.
func (g *groupCoordinator) log(msg string, attrs ...any) {
	g.agent.common.Log.Info(msg, append([]any{"group", g.group, "rank", g.rank}, attrs...)...)
}
