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
	"clovertrail.dev/node/telling"
	"clovertrail.dev/platform"
)

// The times of coordinating a group.
const (
	// dutyTick is the time between two looks at what is due: less than a step.
	dutyTick = 20 * time.Millisecond
	// idleTick is the same for a rank that does not coordinate: several looks within the
	// silence after which it would.
	idleTick = 100 * time.Millisecond
	// readWithin bounds a read of another rank.
	readWithin = 250 * time.Millisecond
	// orderWithin bounds an order to another rank; the coordinator gives it again.
	orderWithin = 150 * time.Millisecond
	// muteFor is how long an agent that did not answer is passed by: its engine is
	// asked itself, which the platform charges for. Together with a read that waits in
	// vain it is shorter than the silence after which the next rank takes over: an agent that is only slow must not take
	// the coordinator for lost.
	muteFor = 200 * time.Millisecond
	// tellingAtOnce is how long whole maps that are told at the same time may fill this
	// box's link: what is sent behind them waits no longer.
	tellingAtOnce = 25 * time.Millisecond
	// afterwards is how long after an attempt its ranks are read more often: until the
	// armed step has begun, a few steps later.
	afterwards = 250 * time.Millisecond
	// linkShare is the part of the box's link that reading and telling maps may take;
	// the rest is the engine's and the requests'.
	linkShare = 0.4
	// placeBytes and pickBytes are what one place of a map and one count of chosen
	// experts take on the wire, and reportBytes what the rest of a report does.
	placeBytes, pickBytes, reportBytes = 2, 1, 300
	// rowHead is how many places the head of a row takes as much as.
	rowHead = 3
	// slowdown is how much longer steps are while ranks copy, as the platform says.
	slowdown = 0.15
)

// groupDuty coordinates the group of the agent's rank while no lower rank does. One
// goroutine owns all of it but what is under mu.
type groupDuty struct {
	agent   *Agent
	numbers *orders.NumberGenerator // of this process
	results chan event

	rank     int
	size     int
	group    string
	coord    *orders.Coordinator
	members  map[int]mesh.Member
	shape    rebalance.Shape
	counts   *telling.Counter
	estimate *rebalance.Estimate
	paces    []float64       // by rank, as last reported
	holds    map[int][][]int // of the map in use, by rank
	holdsOf  orders.Version
	readAt   time.Time       // all ranks
	lookedAt time.Time       // those that an attempt waits for
	pickedAt time.Time       // when all ranks were last asked what was chosen
	relays   *telling.Relays // nil where every rank is spoken to by itself
	reach    time.Duration   // that the slowest reads take
	overhead time.Duration   // that changes take beside copies
	copying  time.Duration   // that the proposed map takes to copy
	told     *telling.SentMaps
	rows     int           // that the proposed map differs in from the one in use
	tellers  chan struct{} // one for each whole map that may be on its way
	endedAt  time.Time     // the last attempt
	due      bool          // the estimate moved since the last plan
	reading  map[int]bool
	leading  bool
	mute     *muteRanks
	unread   map[int]bool // ranks whose last read failed

	mu       sync.Mutex
	stopping bool
}

// event is what the duty's goroutines bring back. The set is closed: readDone, gatherDone,
// orderDone and dealDone.
type event interface{ event() }

type readDone struct {
	rank   int
	epoch  orders.Epoch // for which it was asked
	picked bool         // it was asked what was chosen
	began  time.Time
	report *mesh.RankReport
	err    error
}

// gatherDone is what a relay brought of a part.
type gatherDone struct {
	part   telling.Part
	epoch  orders.Epoch
	picked bool
	began  time.Time
	report *mesh.GatherReply
	err    error
}

type orderDone struct {
	call   orders.Call
	agent  bool // it went through the agent of its rank
	result orders.Result
	err    error
}

// dealDone is what became of orders that were given many at once.
type dealDone struct{ orders []orderDone }

func (readDone) event()   {}
func (gatherDone) event() {}
func (orderDone) event()  {}
func (dealDone) event()   {}

func newGroupDuty(a *Agent) *groupDuty {
	return &groupDuty{agent: a, numbers: orders.NewNumberGenerator(uint16(rand.Uint32())), results: make(chan event, 64), reading: map[int]bool{}, mute: newMuteRanks(), unread: map[int]bool{}}
}

// stop makes run return once no attempt is under way.
func (d *groupDuty) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

func (d *groupDuty) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// run does the duty until ctx ends, or until it is to stop and nothing is held.
func (d *groupDuty) run(ctx context.Context) {
	tick := time.NewTicker(idleTick)
	defer tick.Stop()
	every := idleTick
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-d.results:
			d.take(e)
		case <-tick.C:
			d.tick(ctx)
		}
		if d.coord != nil {
			d.next(ctx)
		}
		if want := d.tickEvery(); want != every {
			every = want
			tick.Reset(want)
		}
		if d.isStopping() && (d.coord == nil || !d.coord.Holding()) {
			return
		}
	}
}

// tickEvery is the time between two looks at what is due.
func (d *groupDuty) tickEvery() time.Duration {
	if d.coord == nil || !d.leading && d.coord.Idle() {
		return idleTick
	}
	return dutyTick
}

func (d *groupDuty) take(e event) {
	now := clock.Now()
	switch e := e.(type) {
	case readDone:
		d.tookRead(now, e)
	case gatherDone:
		d.tookGather(now, e)
	case orderDone:
		d.tookOrder(now, e)
	case dealDone:
		for _, o := range e.orders {
			d.tookOrder(now, o)
		}
	}
}

// tick looks at the own engine, decides whether to coordinate, and reads the ranks.
func (d *groupDuty) tick(ctx context.Context) {
	now := clock.Now()
	if now.Sub(d.readAt) < readEvery && !d.busy() {
		return
	}
	own, err := d.agent.look(ctx, readEvery/2)
	if err != nil || own.Rank.Size < 1 {
		return
	}
	d.follow(now, own)
	if d.coord == nil || !d.leading {
		return
	}
	switch since := now.Sub(d.readAt); {
	case since >= readEvery:
		d.readAt, d.lookedAt = now, now
		d.reach = time.Duration(reachFade * float64(d.reach))
		d.readRanks(ctx, func(int) bool { return true })
	case d.busy() && (now.Sub(d.lookedAt) >= readEvery/2 || d.coord.AllPrepared()):
		d.lookedAt = now
		d.readRanks(ctx, func(r int) bool { return r == d.rank || d.coord.NeedsRead(now, r) })
	}
}

// busy reports that an attempt, or what follows one, waits for something that only
// reads show.
func (d *groupDuty) busy() bool {
	return d.coord != nil && (!d.coord.Idle() || clock.Since(d.endedAt) < afterwards)
}

// follow starts to coordinate, or stops, as the group and the other ranks want it.
func (d *groupDuty) follow(now time.Time, own platform.Report) {
	leading := d.agent.leads(now, own.Rank.Number) && own.State.Open
	members, shape, known := d.agent.group(own.State.Epoch, own.Rank.Size)
	if d.coord != nil && d.coord.Epoch() != own.State.Epoch {
		d.log("group formed anew", "epoch", own.State.Epoch, "before", d.coord.Epoch())
		d.coord = nil
	}
	if !known {
		return
	}
	if d.coord == nil && leading {
		d.begin(own, members, shape)
	}
	if d.coord != nil && leading != d.leading {
		d.log("coordinating", "leading", leading, "epoch", own.State.Epoch, "relays", d.parts())
	}
	d.leading = leading || d.coord != nil && d.coord.Holding()
}

// parts is how many relays there are.
func (d *groupDuty) parts() int {
	if d.relays == nil {
		return 0
	}
	return d.relays.Parts()
}

func (d *groupDuty) begin(own platform.Report, members map[int]mesh.Member, shape rebalance.Shape) {
	d.rank, d.size, d.group = own.Rank.Number, own.Rank.Size, string(own.Rank.Group)
	shape.Ranks = d.size
	d.members, d.shape = members, shape
	d.coord = orders.NewCoordinator(d.rank, d.size, own.State.Epoch, d.numbers)
	d.counts = telling.NewCounter(shape)
	d.holds, d.holdsOf = map[int][][]int{}, 0
	clear(d.reading)
	d.mute.reset()
	d.told = telling.NewSentMaps()
	d.relays, d.reach = nil, 0
	if d.useRelays() {
		d.relays = telling.NewRelays(d.rank, members)
	}
	d.tellers = make(chan struct{}, max(1, int(tellingAtOnce/max(d.tellingOne(), 1))))
	d.rows = 0
	d.overhead = max(d.overhead, d.telling())
	d.estimate = rebalance.NewEstimate(shape)
	d.paces = make([]float64, d.size)
}

func (d *groupDuty) log(msg string, attrs ...any) {
	d.agent.common.Log.Info(msg, append([]any{"group", d.group, "rank", d.rank}, attrs...)...)
}
