package rank

import (
	"context"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/node/telling"
	"clovertrail.dev/platform"
	"clovertrail.dev/telemetry"
)

// The times of an agent.
const (
	// readEvery is the time between two looks at the own engine: a few steps.
	readEvery = 100 * time.Millisecond
	// engineWithin bounds a call to the own engine, which answers in milliseconds.
	engineWithin = 300 * time.Millisecond
)

// Agent is the process beside a model engine. It reads the engine, gives it the
// orders that other ranks' agents hand it, and may coordinate its group.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type Agent struct {
	common   telemetry.Common
	network  process.Network
	settings func() process.AgentSettings // as they are now
	engine   *platform.Engine
	http     *http.Client
	mesh     *mesh.Client

	mu      sync.Mutex
	report  platform.Report
	readAt  time.Time
	members map[int]mesh.Member // of the own group, by rank
	epoch   orders.Epoch        // of the members
	shape   *rebalance.Shape
	helpers *telling.Helpers // processes that hand orders on
	turn    *orders.Election // whether this rank is to coordinate
	picks   *telling.Picks
	maps    *telling.Placements
	lost    bool // the engine does not answer
}

// NewAgent returns the process. now gives its settings as they are now.
func NewAgent(c telemetry.Common, n process.Network, now func() process.AgentSettings) *Agent {
	s := now()
	client := process.HTTPClient(n)
	return &Agent{
		common: c, network: n, settings: now, http: client,
		engine: platform.NewEngine(s.Engine, client),
		mesh:   mesh.NewClient(n.Dial),
		turn:   orders.NewElection(clock.Now()), helpers: telling.NewHelpers(),
		picks: telling.NewPicks(), maps: telling.NewPlacements(),
	}
}

// Run serves until leave is closed.
func (a *Agent) Run(leave <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := a.network.Listen(a.settings().Peers)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { process.Fail(failed, mesh.Serve(ctx, l, a.mux())) }()
	if err := process.NewServers(a.network, failed).ServeMetrics(a.common, a.settings().Metrics); err != nil {
		return err
	}
	a.common.Log.Info("started", "hall", a.settings().Hall, "engine", a.settings().Engine, "peers", a.settings().Peers)
	d := newGroupDuty(a)
	done := make(chan struct{})
	go func() {
		d.run(ctx)
		close(done)
	}()
	select {
	case err := <-failed:
		return err
	case <-leave:
	}
	return a.leave(d, done, cancel)
}

// leave lets an attempt to change maps come to its end, so that the group is not
// left held.
func (a *Agent) leave(d *groupDuty, done <-chan struct{}, cancel context.CancelFunc) error {
	began := clock.Now()
	a.common.Log.Info("leaving")
	d.stop()
	select {
	case <-done:
	case <-time.After(a.settings().Bounds.Stop.Std() - process.StopMargin):
		a.common.Log.Warn("stopped during a change of maps")
	}
	cancel()
	a.common.Log.Info("stopped", "after", clock.Since(began))
	return nil
}

func (a *Agent) mux() *mesh.Mux {
	m := mesh.NewMux()
	mesh.Handle(m, mesh.Watch, a.watch)
	mesh.Handle(m, mesh.Read, a.read)
	mesh.Handle(m, mesh.Command, a.command)
	mesh.Handle(m, mesh.Gather, a.gather)
	mesh.Handle(m, mesh.Deal, a.deal)
	return m
}

// watch answers an entry box.
func (a *Agent) watch(ctx context.Context, q *mesh.WatchQuery) (*mesh.RankReport, error) {
	if len(q.Members) > 0 {
		a.learn(q)
	}
	r, err := a.look(ctx, readEvery)
	if err != nil {
		return nil, err
	}
	out := reportOf(r)
	out.Knows = a.knows()
	return out, nil
}

// knows is the epoch for which the group's members are known.
func (a *Agent) knows() orders.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// learn takes who the other ranks are.
func (a *Agent) learn(q *mesh.WatchQuery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Epoch < a.epoch {
		return
	}
	if q.Epoch > a.epoch || a.members == nil {
		a.common.Log.Info("group received", "epoch", q.Epoch, "ranks", len(q.Members), "before", a.epoch)
		a.turn.MembersReceived(clock.Now())
	}
	a.epoch, a.shape = q.Epoch, q.Shape
	a.helpers.Learn(clock.Now(), q.Helpers)
	a.members = make(map[int]mesh.Member, len(q.Members))
	for _, m := range q.Members {
		a.members[m.Rank] = m
	}
}

// look gives the state of the engine, read at the most so long ago.
func (a *Agent) look(ctx context.Context, age time.Duration) (platform.Report, error) {
	a.mu.Lock()
	r, at := a.report, a.readAt
	a.mu.Unlock()
	if clock.Since(at) < age {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineWithin)
	defer cancel()
	r, err := a.engine.Report(ctx)
	a.noteEngine(err)
	if err != nil {
		return r, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if before := a.report; before.Born != r.Born && !a.readAt.IsZero() {
		a.common.Log.Info("engine started again", "engine", a.settings().Engine, "born", r.Born, "before", before.Born)
	}
	if before := a.report; before.Rank.Epoch != r.Rank.Epoch || before.Rank.Open != r.Rank.Open {
		a.common.Log.Info("group changed", "group", r.Rank.Group, "rank", r.Rank.Number, "epoch", r.Rank.Epoch, "open", r.Rank.Open,
			"epoch_before", before.Rank.Epoch, "open_before", before.Rank.Open, "step", r.State.Step)
		a.turn.GroupStateChanged(clock.Now())
	}
	a.report, a.readAt = r, clock.Now()
	return r, nil
}

// noteEngine logs when the engine is lost or answers again.
func (a *Agent) noteEngine(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lost := err != nil; lost != a.lost {
		a.lost = lost
		if lost {
			a.common.Log.Warn("engine lost", "engine", a.settings().Engine, "err", err)
		} else {
			a.common.Log.Info("engine answers again", "engine", a.settings().Engine)
		}
	}
}

func reportOf(r platform.Report) *mesh.RankReport {
	return &mesh.RankReport{
		Born: r.Born, Group: r.Rank.Group, Rank: r.Rank.Number, Size: r.Rank.Size, State: r.State,
		Running: r.Running, Waiting: r.Waiting, Pace: r.Slowdown, Leaving: r.Leaving,
	}
}

// read answers the coordinator of the group.
func (a *Agent) read(ctx context.Context, q *mesh.ReadQuery) (*mesh.RankReport, error) {
	a.mu.Lock()
	a.turn.ReadBy(clock.Now(), q.From)
	a.mu.Unlock()
	return a.readOwn(ctx, q)
}

// readOwn reads the own engine as a coordinator wants it.
func (a *Agent) readOwn(ctx context.Context, q *mesh.ReadQuery) (*mesh.RankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, engineWithin)
	defer cancel()
	r, err := a.look(ctx, 0)
	if err != nil {
		return nil, err
	}
	out := reportOf(r)
	if q.Picked {
		born, counts, err := a.engine.Counts(ctx)
		if err != nil {
			return nil, err
		}
		out.Picked = a.picks.Since(clock.Now(), telling.Asker{Group: r.Rank.Group, Rank: q.From}, born, counts)
	}
	if q.Holds {
		version, holds, err := a.engine.CurrentMap(ctx)
		if err != nil {
			return nil, err
		}
		out.State.Map, out.Holds = version, holds
	}
	return out, nil
}

// engineAt is the engine of another rank, for when its agent does not answer.
func (a *Agent) engineAt(m mesh.Member) *platform.Engine { return platform.NewEngine(m.Target, a.http) }

// readFar reads another rank's engine itself, without its counts. What it reports is a
// little old; the orders that follow are not given on its report alone.
func (a *Agent) readFar(ctx context.Context, m mesh.Member) (*mesh.RankReport, error) {
	r, err := a.engineAt(m).Report(ctx)
	if err != nil {
		return nil, err
	}
	return reportOf(r), nil
}

// command gives an order to the engine, or to another that the call names.
func (a *Agent) command(ctx context.Context, c *mesh.OrderCall) (*mesh.OrderReply, error) {
	if err := a.maps.Whole(c); err != nil {
		return nil, err
	}
	o := c.Order()
	if o == nil {
		return nil, fault.New(fault.BadRequest, "a call without an order")
	}
	if c.Engine != "" {
		return HandOn(ctx, a.common, a.http, c)
	}
	res, err := a.give(ctx, a.engine, orders.Call{Epoch: c.Epoch, Fence: c.Fence, Order: o})
	if err != nil {
		return nil, err
	}
	return &mesh.OrderReply{Result: res}, nil
}

// give gives an order to an engine.
func (a *Agent) give(ctx context.Context, e *platform.Engine, c orders.Call) (orders.Result, error) {
	return giveOrder(ctx, a.common, e, c)
}

// leads reports whether this rank is to coordinate.
func (a *Agent) leads(now time.Time, rank int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.turn.Leads(now, rank)
}

// membersIn are the ranks of the group in the epoch; false if they are not known.
func (a *Agent) membersIn(e orders.Epoch) (map[int]mesh.Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members, a.epoch == e && len(a.members) > 0
}

// group gives what is known of the group in the epoch; false if that is not enough.
func (a *Agent) group(e orders.Epoch, size int) (map[int]mesh.Member, rebalance.Shape, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.epoch != e || a.shape == nil || len(a.members) != size {
		return nil, rebalance.Shape{}, false
	}
	return a.members, *a.shape, true
}
