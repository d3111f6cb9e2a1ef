package rank

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/distribution"
	"clovertrail.dev/platform"
)

// The times of coordinating a group.
const (
	// dutyTick is the time between two looks at what is due: less than a step.
	coordinatorTick = 20 * time.Millisecond
	// idleTick is the same for a rank that does not coordinate: several looks within the
	// silence after which it would.
	idleTick = 100 * time.Millisecond
	// readWithin bounds a read of another rank.
	readTimeout = 250 * time.Millisecond
	// orderWithin bounds an order to another rank; the coordinator gives it again.
	orderTimeout = 150 * time.Millisecond
	// muteFor is how long an agent that did not answer is passed by: its engine is
	// asked itself, which the platform charges for. Together with a read that waits in
	// vain it is shorter than the silence after which the next rank takes over: an agent that is only slow must not take
	// the coordinator for lost.
	unresponsivePeriod = 200 * time.Millisecond
	// tellingAtOnce is how long whole maps that are told at the same time may fill this
	// box's link: what is sent behind them waits no longer.
	parallelMapSendTime = 25 * time.Millisecond
	// afterwards is how long after an attempt its ranks are read more often: until the
	// armed step has begun, a few steps later.
	frequentReadPeriod = 250 * time.Millisecond
	// linkShare is the part of the box's link that reading and telling maps may take;
	// the rest is the engine's and the requests'.
	linkShare = 0.4
	// placeBytes and pickBytes are what one place of a map and one count of chosen
	// experts take on the wire, and reportBytes what the rest of a report does.
	bytesPerSlot, bytesPerCount, reportBytes = 2, 1, 300
	// rowHead is how many places the head of a row takes as much as.
	rowHeaderSlots = 3
	// slowdown is how much longer steps are while ranks copy, as the platform says.
	copySlowdown = 0.15
)

// groupDuty coordinates the group of the agent's rank while no lower rank does. One
// goroutine owns all of it but what is under mu.
type groupCoordinator struct {
	agent   *Agent
	numbers *orders.NumberGenerator // of this process
	results chan event

	rank            int
	size            int
	group           string
	coord           *orders.Coordinator
	members         map[int]mesh.Member
	shape           rebalance.Shape
	counts          *distribution.Counter
	estimate        *rebalance.Estimate
	slowdowns       []float64       // by rank, as last reported
	experts         map[int][][]int // of the map in use, by rank
	expertsVersion  orders.Version
	lastFullRead    time.Time            // all ranks
	lastPartialRead time.Time            // those that an attempt waits for
	lastCountsRead  time.Time            // when all ranks were last asked what was chosen
	relays          *distribution.Relays // nil where every rank is spoken to by itself
	readTime        time.Duration        // that the slowest reads take
	overhead        time.Duration        // that changes take beside copies
	copyTime        time.Duration        // that the proposed map takes to copy
	sentMaps        *distribution.SentMaps
	changedRows     int           // that the proposed map differs in from the one in use
	mapSends        chan struct{} // one for each whole map that may be on its way
	lastAttemptEnd  time.Time     // the last attempt
	planDue         bool          // the estimate moved since the last plan
	readInFlight    map[int]bool
	leading         bool
	unresponsive    *unresponsiveAgents
	readFailed      map[int]bool // ranks whose last read failed

	mu       sync.Mutex
	stopping bool
}

// event is what the duty's goroutines bring back. The set is closed: readDone, gatherDone,
// orderDone and dealDone.
type event interface{ event() }

type readDone struct {
	rank       int
	epoch      orders.Epoch // for which it was asked
	withCounts bool         // it was asked what was chosen
	startedAt  time.Time
	report     *mesh.RankReport
	err        error
}

// gatherDone is what a relay brought of a part.
type gatherDone struct {
	assignment distribution.Assignment
	epoch      orders.Epoch
	withCounts bool
	startedAt  time.Time
	report     *mesh.Gathered
	err        error
}

type orderDone struct {
	call     orders.Call
	viaAgent bool // it went through the agent of its rank
	result   orders.Result
	err      error
}

// dealDone is what became of orders that were given many at once.
type batchDone struct{ orders []orderDone }

func (readDone) event()   {}
func (gatherDone) event() {}
func (orderDone) event()  {}
func (batchDone) event()  {}

func newGroupCoordinator(a *Agent) *groupCoordinator {
	return &groupCoordinator{agent: a, numbers: orders.NewNumberGenerator(uint16(rand.Uint32())), results: make(chan event, 64), readInFlight: map[int]bool{}, unresponsive: newUnresponsiveAgents(), readFailed: map[int]bool{}}
}

// stop makes run return once no attempt is under way.
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

// run does the duty until ctx ends, or until it is to stop and nothing is held.
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

// tickEvery is the time between two looks at what is due.
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

// tick looks at the own engine, decides whether to coordinate, and reads the ranks.
func (g *groupCoordinator) tick(ctx context.Context) {
	now := clock.Now()
	if now.Sub(g.lastFullRead) < readInterval && !g.awaitsReads() {
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
	switch since := now.Sub(g.lastFullRead); {
	case since >= readInterval:
		g.lastFullRead, g.lastPartialRead = now, now
		g.readTime = time.Duration(readTimeDecay * float64(g.readTime))
		g.readRanks(ctx, func(int) bool { return true })
	case g.awaitsReads() && (now.Sub(g.lastPartialRead) >= readInterval/2 || g.coord.AllPrepared()):
		g.lastPartialRead = now
		g.readRanks(ctx, func(r int) bool { return r == g.rank || g.coord.NeedsRead(now, r) })
	}
}

// busy reports that an attempt, or what follows one, waits for something that only
// reads show.
func (g *groupCoordinator) awaitsReads() bool {
	return g.coord != nil && (!g.coord.Idle() || clock.Since(g.lastAttemptEnd) < frequentReadPeriod)
}

// follow starts to coordinate, or stops, as the group and the other ranks want it.
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

// parts is how many relays there are.
func (g *groupCoordinator) relayPartitions() int {
	if g.relays == nil {
		return 0
	}
	return g.relays.Partitions()
}

func (g *groupCoordinator) startCoordinating(own platform.Report, members map[int]mesh.Member, shape rebalance.Shape) {
	g.rank, g.size, g.group = own.Rank.Number, own.Rank.Size, string(own.Rank.Group)
	shape.Ranks = g.size
	g.members, g.shape = members, shape
	g.coord = orders.NewCoordinator(g.rank, g.size, own.State.Epoch, g.numbers)
	g.counts = distribution.NewCounter(shape)
	g.experts, g.expertsVersion = map[int][][]int{}, 0
	clear(g.readInFlight)
	g.unresponsive.reset()
	g.sentMaps = distribution.NewSentMaps()
	g.relays, g.readTime = nil, 0
	if g.needsRelays() {
		g.relays = distribution.NewRelays(g.rank, members)
	}
	g.mapSends = make(chan struct{}, max(1, int(parallelMapSendTime/max(g.wholeMapSendTime(), 1))))
	g.changedRows = 0
	g.overhead = max(g.overhead, g.distributionTime())
	g.estimate = rebalance.NewEstimate(shape)
	g.slowdowns = make([]float64, g.size)
}

func (g *groupCoordinator) log(msg string, attrs ...any) {
	g.agent.common.Log.Info(msg, append([]any{"group", g.group, "rank", g.rank}, attrs...)...)
}
