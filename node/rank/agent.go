package rank

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/distribution"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform"
	"clovertrail.dev/telemetry"
)

// Intervals and timeouts of an agent.
const (
	// readInterval is the time between two reads of the own engine: a few steps.
	readInterval = 100 * time.Millisecond
	// engineTimeout bounds a call to the own engine, which responds within milliseconds.
	engineTimeout = 300 * time.Millisecond
)

// Agent runs beside a model engine. It reads the engine, passes on to it the orders that it
// receives from other ranks' agents, and may coordinate its group.
//
// Lock order: mu is the only lock, and no I/O is done while it is held.
type Agent struct {
	common   telemetry.Common
	network  process.Network
	settings func() process.AgentSettings // returns the current settings
	engine   *platform.Engine
	http     *http.Client
	mesh     *mesh.Client

	mu           sync.Mutex
	report       platform.Report     // last report of the engine
	readAt       time.Time           // when report was read
	members      map[int]mesh.Member // members of the own group, by rank
	epoch        orders.Epoch        // the epoch for which members were received
	shape        *rebalance.Shape
	forwarders   *distribution.Forwarders
	election     *orders.Election // decides whether this rank coordinates
	countDeltas  *distribution.CountDeltas
	receivedMaps *distribution.ReceivedMaps
	engineLost   bool // the last read of the engine failed
}

// NewAgent returns an agent that is not running yet. The function settings returns the
// current settings.
func NewAgent(c telemetry.Common, n process.Network, settings func() process.AgentSettings) *Agent {
	s := settings()
	client := process.HTTPClient(n)
	return &Agent{
		common: c, network: n, settings: settings, http: client,
		engine:   platform.NewEngine(s.Engine, client),
		mesh:     mesh.NewClient(n.Dial, func(m mesh.Method, sent, received int) { c.Metrics.CountCall(string(m), sent, received) }),
		election: orders.NewElection(clock.Now()), forwarders: distribution.NewForwarders(),
		countDeltas: distribution.NewCountDeltas(), receivedMaps: distribution.NewReceivedMaps(),
	}
}

// Run serves until the stop is requested.
func (a *Agent) Run(stop *process.Stop) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	err := a.startServers(ctx, process.NewServers(a.common, a.network, stop.Requested(), failed))
	if errors.Is(err, process.ErrStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	a.common.Log.Info("started", "hall", a.settings().Hall, "engine", a.settings().Engine, "peers", a.settings().Peers)
	g := newGroupCoordinator(a)
	done := make(chan struct{})
	go func() {
		g.run(ctx)
		close(done)
	}()
	select {
	case err := <-failed:
		return err
	case <-stop.Requested():
	}
	return a.stop(g, done, cancel)
}

// startServers starts the servers for metrics and for other boxes.
func (a *Agent) startServers(ctx context.Context, s *process.Servers) error {
	if err := s.ServeMetrics(a.settings().Metrics); err != nil { // first, since it shows why the other waits
		return err
	}
	srv := process.ServerFunc(func(l net.Listener) error { return mesh.Serve(ctx, l, a.mux()) })
	return s.Serve(srv, "peers", a.settings().Peers)
}

// stop waits until no map change of this coordinator holds the group, so that the group is not
// left held. The wait is bounded by the stop time of the settings.
func (a *Agent) stop(g *groupCoordinator, done <-chan struct{}, cancel context.CancelFunc) error {
	startedAt := clock.Now()
	a.common.Log.Info("leaving")
	g.beginStop()
	select {
	case <-done:
	case <-time.After(a.settings().Bounds.Stop.Std() - process.StopMargin):
		a.common.Log.Warn("map change did not end within the stop time; stopping during it")
	}
	cancel()
	a.common.Log.Info("stopped", "after", clock.Since(startedAt))
	return nil
}

func (a *Agent) mux() *mesh.Mux {
	m := mesh.NewMux()
	mesh.Handle(m, mesh.Watch, a.handleWatch)
	mesh.Handle(m, mesh.Read, a.handleRead)
	mesh.Handle(m, mesh.SendOrder, a.handleSendOrder)
	mesh.Handle(m, mesh.Gather, a.handleGather)
	mesh.Handle(m, mesh.FanOut, a.handleFanOut)
	return m
}

// handleWatch serves an entry box: it records the members of the group, if the query
// contains them, and returns the state of the engine.
func (a *Agent) handleWatch(ctx context.Context, q *mesh.WatchQuery) (*mesh.RankReport, error) {
	if len(q.Members) > 0 {
		a.updateMembers(q)
	}
	r, err := a.engineReport(ctx, readInterval)
	if err != nil {
		return nil, err
	}
	out := rankReport(r)
	out.MembersEpoch = a.memberEpoch()
	return out, nil
}

// memberEpoch returns the epoch for which the members of the group were received.
func (a *Agent) memberEpoch() orders.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// updateMembers stores the members and the shape of the group, unless they belong to an
// earlier epoch.
func (a *Agent) updateMembers(q *mesh.WatchQuery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Epoch < a.epoch {
		return
	}
	if q.Epoch > a.epoch || a.members == nil {
		a.common.Log.Info("group members received", "epoch", q.Epoch, "ranks", len(q.Members), "before", a.epoch)
		a.election.MembersReceived(clock.Now())
	}
	a.epoch, a.shape = q.Epoch, q.Shape
	a.forwarders.Add(clock.Now(), q.Forwarders)
	a.members = make(map[int]mesh.Member, len(q.Members))
	for _, m := range q.Members {
		a.members[m.Rank] = m
	}
}

// engineReport returns the last report of the engine if it is younger than maxAge, and reads
// the engine otherwise.
func (a *Agent) engineReport(ctx context.Context, maxAge time.Duration) (platform.Report, error) {
	a.mu.Lock()
	r, at := a.report, a.readAt
	a.mu.Unlock()
	if clock.Since(at) < maxAge {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := a.engine.Report(ctx)
	a.recordEngineState(err)
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
		a.election.GroupStateChanged(clock.Now())
	}
	a.report, a.readAt = r, clock.Now()
	return r, nil
}

// recordEngineState logs when the engine stops responding and when it responds again.
func (a *Agent) recordEngineState(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lost := err != nil; lost != a.engineLost {
		a.engineLost = lost
		if lost {
			a.common.Log.Warn("engine did not respond; reading it again", "engine", a.settings().Engine, "err", err)
		} else {
			a.common.Log.Info("engine responds again", "engine", a.settings().Engine)
		}
	}
}

func rankReport(r platform.Report) *mesh.RankReport {
	return &mesh.RankReport{
		Born: r.Born, Group: r.Rank.Group, Rank: r.Rank.Number, Size: r.Rank.Size, State: r.State,
		Running: r.Running, Waiting: r.Waiting, Slowdown: r.Slowdown, Leaving: r.Leaving,
	}
}

// handleRead serves the coordinator of the group.
func (a *Agent) handleRead(ctx context.Context, q *mesh.ReadQuery) (*mesh.RankReport, error) {
	a.mu.Lock()
	a.election.ReadBy(clock.Now(), q.From)
	a.mu.Unlock()
	return a.readOwn(ctx, q)
}

// readOwn reads the own engine, with the counts and the experts that the coordinator requests.
func (a *Agent) readOwn(ctx context.Context, q *mesh.ReadQuery) (*mesh.RankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := a.engineReport(ctx, 0)
	if err != nil {
		return nil, err
	}
	out := rankReport(r)
	if q.WantExpertCounts {
		born, counts, err := a.engine.Counts(ctx)
		if err != nil {
			return nil, err
		}
		out.ExpertCounts = a.countDeltas.Since(clock.Now(), distribution.Requester{Group: r.Rank.Group, Rank: q.From}, born, counts)
		if n := a.countDeltas.TakeReversals(); n > 0 {
			a.common.Metrics.Count(telemetry.BadReports, "counts", n)
		}
	}
	if q.WantExperts {
		version, holds, err := a.engine.CurrentMap(ctx)
		if err != nil {
			return nil, err
		}
		out.State.Map, out.Experts = version, holds
	}
	return out, nil
}

// engineAt returns a client of another rank's engine, for use while that rank's agent does
// not respond.
func (a *Agent) engineAt(m mesh.Member) *platform.Engine { return platform.NewEngine(m.Target, a.http) }

// readEngine reads another rank's engine directly, without its counts. The report of an engine
// is slightly old, so no order is sent on the strength of that report alone.
func (a *Agent) readEngine(ctx context.Context, m mesh.Member) (*mesh.RankReport, error) {
	r, err := a.engineAt(m).Report(ctx)
	if err != nil {
		return nil, err
	}
	return rankReport(r), nil
}

// handleSendOrder sends an order to the own engine, or to another engine if the call names one.
func (a *Agent) handleSendOrder(ctx context.Context, c *mesh.OrderCall) (*mesh.OrderReply, error) {
	if err := a.receivedMaps.Expand(c); err != nil {
		return nil, err
	}
	o := c.Order()
	if o == nil {
		return nil, fault.New(fault.BadRequest, "command without an order")
	}
	if c.Engine != "" {
		return ForwardOrder(ctx, a.common, a.http, c)
	}
	res, err := a.sendToEngine(ctx, a.engine, orders.Call{Epoch: c.Epoch, Fence: c.Fence, Order: o})
	if err != nil {
		return nil, err
	}
	return &mesh.OrderReply{Result: res}, nil
}

func (a *Agent) sendToEngine(ctx context.Context, e *platform.Engine, c orders.Call) (orders.Result, error) {
	return issueOrder(ctx, a.common, e, c)
}

// leads reports whether this rank is to coordinate the group now.
func (a *Agent) leads(now time.Time, rank int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.election.Leads(now, rank)
}

// membersIn returns the ranks of the group in the epoch; false if they were not received.
func (a *Agent) membersIn(e orders.Epoch) (map[int]mesh.Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members, a.epoch == e && len(a.members) > 0
}

// groupIn returns the members and the shape of the group in the epoch; false unless the shape
// and all members were received.
func (a *Agent) groupIn(e orders.Epoch, size int) (map[int]mesh.Member, rebalance.Shape, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.epoch != e || a.shape == nil || len(a.members) != size {
		return nil, rebalance.Shape{}, false
	}
	return a.members, *a.shape, true
}
