package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/gateway"
	"clovertrail.dev/liveness"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/node/rank"
	"clovertrail.dev/platform"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// sweepInterval is the time between two passes that close connections which were idle for too long.
const sweepInterval = time.Second

// Entry is the process of an entry box.
type Entry struct {
	common     telemetry.Common
	network    process.Network
	settings   func() process.EntrySettings // returns the current settings
	fleet      *fleet
	view       *view
	budgets    *budgets
	pool       *transport.Pool
	gateway    *gateway.Gateway
	callers    *gateway.Listener
	ready      *readiness
	mesh       *mesh.Client
	engines    *http.Client // for orders that are forwarded to engines
	peering    *peering
	hallPoller *hallPoller

	quarantine *quarantineSync
	timeline   *timeline
	pauses     *clock.Pauses
	limiting   *limiting

	// loggedStandings are the standings as last logged, at standingsLoggedAt. Both are used only by the
	// goroutine of checkReadiness.
	loggedStandings   map[domain.InstanceID]membership.Standing
	standingsLoggedAt time.Time
}

// NewEntry returns the process of an entry box. settings returns the current settings; ApplySettings applies
// settings that change while the process runs.
func NewEntry(c telemetry.Common, n process.Network, settings func() process.EntrySettings) *Entry {
	s := settings()
	e := &Entry{common: c, network: n, settings: settings, budgets: newBudgets(s.Bounds), ready: &readiness{}}
	e.pauses = clock.NewPauses(readinessInterval, clock.ReadMachineOffset)
	e.fleet = newFleet(c, s)
	e.fleet.applyOverload(s.Overload)
	e.pool = newPool(n, c)
	e.mesh = mesh.NewClient(n.Dial, func(m mesh.Method, sent, received int) { c.Metrics.CountCall(string(m), sent, received) })
	e.engines = process.HTTPClient(n)
	e.timeline = &timeline{common: c}
	e.quarantine = newQuarantineSync(c, s.FirstStart,
		func() { e.peering.notify() },
		func(now time.Time) quarantine.Fleet { return e.peering.fleet(now) },
		func() bool { return e.peering.isolated(clock.Now()) },
		func() store.Era { return e.timeline.latest().Era() })
	e.gateway = gateway.New(gateway.Dependencies{
		Common: c, Headers: platform.HeaderCodec{}, Fleet: e.fleet, Pool: e.pool, Budget: e.budgets.forService,
		Quarantine: e.quarantine, LastPause: e.pauses.LastEnd, MaxHeldBytes: s.MaxHeldBytes(),
	})
	e.callers = gateway.NewListener(process.HTTPServer(e.gateway))
	e.quarantine.changed, e.quarantine.siblings, e.quarantine.ended = e.gateway.QuarantineChanged, e.siblings, e.processEnded
	e.peering = newPeering(e)
	e.fleet.onFailure, e.fleet.onEjected, e.fleet.witnesses = e.peering.notify, e.onTargetEjected, e.witnesses
	e.fleet.onLeaving = e.onTargetLeaving
	e.fleet.shedding.enabled, e.fleet.shedding.onRefused = e.shedsLoad, e.onShed
	e.limiting = newLimiting(e)
	e.fleet.onLimitChanged, e.fleet.requestPermit = e.limiting.limitChanged, e.limiting.requestPermit
	e.fleet.waiting.boxes = e.peering.reachableCount
	e.fleet.waiting.formTime = e.formTime
	e.hallPoller = newHallPoller(e)
	e.view = &view{common: c, fleet: e.fleet, adopt: e.applyConfiguration, changed: e.peering.notify}
	return e
}

// siblings returns the other targets of the target's service that may have been running until now.
func (e *Entry) siblings(id domain.InstanceID) (list []domain.Target) {
	e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { list = r.Siblings(clock.Now(), id) })
	return list
}

// newPool returns the connections to the targets.
func newPool(n process.Network, c telemetry.Common) *transport.Pool {
	s := transport.DefaultSettings()
	s.ParseHealth = func(r *http.Response) transport.HealthResponse {
		request, instance := platform.HeaderCodec{}.ParseHealth(r)
		return transport.HealthResponse{Own: request == "", Instance: instance}
	}
	s.OnHealthCheck = func() { c.Metrics.Count(telemetry.ProcessChecks, "health check", 1) }
	return transport.NewPool(n.Dial, s)
}

// siblingCheckTimeout bounds the check whether another target ended too: that of a process that is ending takes as long as
// closing its sockets.
const siblingCheckTimeout = time.Second

// processEnded reports whether connections to the target are refused.
func (e *Entry) processEnded(t domain.Target) bool {
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(siblingCheckTimeout))
	defer cancel()
	return e.gateway.CheckTarget(ctx, t, nil) == liveness.Ended
}

// maxWitnesses is the number of witnesses of a target: enough that one of them runs when some boxes of the hall fail
// with the target.
const maxWitnesses = 3

// witnesses returns the addresses of other processes on the network path to the target: the agent on its box, and other
// entry boxes of its hall.
func (e *Entry) witnesses(t domain.Target) (list []string) {
	if _, ranked := t.Rank(); ranked && e.settings().AgentPort > 0 {
		list = append(list, agentAddress(t, e.settings().AgentPort))
	}
	for _, c := range e.peering.inHall(t.Hall()) {
		if len(list) == maxWitnesses {
			break
		}
		list = append(list, c.Address)
	}
	return list
}

// formTime returns the time that a group of the service takes to form; 0 if the configuration does not state
// it.
func (e *Entry) formTime(svc domain.ServiceName) time.Duration {
	c := e.gateway.Catalog()
	if c == nil {
		return 0
	}
	if s, ok := c.Service(svc); ok && s.Engine != nil && s.Engine.Experts != nil {
		return s.Engine.Experts.FormTime
	}
	return 0
}

// applyConfiguration puts the configuration in force.
func (e *Entry) applyConfiguration(c *catalog.Catalog) {
	e.gateway.Configure(c)
	e.callers.SetLimits(c.Limits())
	e.fleet.configure(c)
	e.ready.configured.Store(true)
}

// sendOrder forwards an order to one engine for the coordinator of a group.
func (e *Entry) sendOrder(ctx context.Context, c *mesh.OrderCall) (*mesh.OrderReply, error) {
	return rank.ForwardOrder(ctx, e.common, e.engines, c)
}

// fanOut forwards an order to many engines for the coordinator of a group.
func (e *Entry) fanOut(ctx context.Context, c *mesh.FanOutCall) (*mesh.FanOutReply, error) {
	return rank.ForwardToEngines(ctx, e.common, e.engines, c)
}

// Run serves until the stop is requested, then completes the requests in flight and returns.
func (e *Entry) Run(stop *process.Stop) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	err := e.startServers(ctx, process.NewServers(e.common, e.network, stop.Requested(), failed))
	if errors.Is(err, process.ErrStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	go e.peering.run(ctx)
	e.common.Log.Info("started", "hall", e.settings().Hall, "callers", e.settings().Callers, "peers", e.settings().Peers, "store", e.settings().Store)
	records := eraStore{
		RecordStore: platform.NewStore(e.settings().Store, process.HTTPClient(e.network), e.timeline.observeEra),
		timeline:    e.timeline,
	}
	e.followStore(ctx, records)
	go e.quarantine.run(ctx, records)
	go e.followQuarantines(records).run(ctx)
	go e.sweepConnections(ctx)
	go e.checkReadiness(ctx)
	if e.settings().AgentPort > 0 {
		go newAgentPoller(e).run(ctx)
	}
	select {
	case <-stop.Requested():
	case err := <-failed:
		return err
	}
	return e.stop(stop.Signal())
}

// followStore starts to follow the configuration and the targets in the store.
func (e *Entry) followStore(ctx context.Context, feed store.Feed) {
	configuration, targets := e.followConfiguration(feed), e.followTargets(feed)
	e.hallPoller.setStoreHealthy(func() bool { return configuration.healthy.Load() && targets.healthy.Load() })
	go configuration.run(ctx)
	go targets.run(ctx)
	if e.settings().Bounds.Evacuate > 0 {
		go e.followEvacuations(feed).run(ctx)
	}
}

// sweepConnections closes connections to targets that were idle for too long, until ctx ends.
func (e *Entry) sweepConnections(ctx context.Context) {
	for ctx.Err() == nil {
		clock.SleepUntil(ctx, clock.Now().Add(sweepInterval))
		e.pool.Sweep(clock.Now())
	}
}

// startServers starts the servers for callers, for the platform's readiness checks, for other boxes and for metrics.
func (e *Entry) startServers(ctx context.Context, s *process.Servers) error {
	if err := s.ServeMetrics(e.settings().Metrics); err != nil { // first, since it shows why the others wait
		return err
	}
	if err := s.Serve(e.callers, "callers", e.settings().Callers); err != nil {
		return err
	}
	if err := s.Serve(process.HTTPServer(e.ready), "ready", e.settings().Ready); err != nil {
		return err
	}
	return e.peering.serve(ctx, s)
}
