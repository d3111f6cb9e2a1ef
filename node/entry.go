package node

import (
	"context"
	"net/http"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/gateway"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/node/rank"
	"clovertrail.dev/platform"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// The times of connections to targets and the store.
const (
	// sweepEvery is the time between two looks for connections that are too old.
	sweepEvery = time.Second
)

// Entry is the process of an entry box.
type Entry struct {
	common    telemetry.Common
	network   process.Network
	settings  func() process.EntrySettings // as they are now
	fleet     *fleet
	view      *view
	budgets   *budgets
	pool      *transport.Pool
	gateway   *gateway.Gateway
	ready     *readiness
	mesh      *mesh.Client
	engines   *http.Client // for orders that are handed on
	peering   *peering
	surveying *surveying

	quarantine *quarantining
	timeline   *timeline
	limiting   *limiting

	standings map[domain.InstanceID]membership.Standing // as they were last logged; judge's own
}

// NewEntry returns the process. now gives its settings as they are now; those that
// change while it runs are put in force by Took.
func NewEntry(c telemetry.Common, n process.Network, now func() process.EntrySettings) *Entry {
	s := now()
	e := &Entry{common: c, network: n, settings: now, budgets: newBudgets(s.Bounds), ready: &readiness{}}
	e.fleet = newFleet(domain.BoxID(s.Box), domain.HallName(s.Hall), rosterPolicy(s))
	e.pool = transport.NewPool(n.Dial, transport.DefaultSettings())
	e.mesh = mesh.NewClient(n.Dial)
	e.engines = process.HTTPClient(n)
	e.timeline = &timeline{common: c}
	e.quarantine = newQuarantining(c,
		func() { e.peering.notify() },
		func() bool { return e.peering.isolated(clock.Now()) },
		func() store.Era { return e.timeline.latest().Era() })
	e.gateway = gateway.New(gateway.Dependencies{
		Common: c, Headers: platform.HeaderCodec{}, Fleet: e.fleet, Pool: e.pool, Budget: e.budgets.purse,
		Quarantine: e.quarantine,
	})
	e.peering = newPeering(e)
	e.fleet.letDown, e.fleet.ejected, e.fleet.witness = e.peering.notify, e.noteEjected, e.witness
	e.fleet.left = e.noteLeft
	e.limiting = newLimiting(e)
	e.fleet.limited, e.fleet.permits = e.limiting.named, e.limiting.permits
	e.surveying = newSurveying(e)
	e.view = &view{common: c, fleet: e.fleet, adopt: e.adopt, moved: e.peering.notify}
	return e
}

// witness is the address of another process that is reached on the way to the target: the
// agent on its box, or another entry box of its hall; empty if there is none.
func (e *Entry) witness(t domain.Target) string {
	if _, ranked := t.Rank(); ranked && e.settings().AgentPort > 0 {
		return agentOf(t, e.settings().AgentPort)
	}
	for _, c := range e.peering.in(t.Hall()) {
		return c.Address
	}
	return ""
}

// adopt puts a configuration in force.
func (e *Entry) adopt(c *catalog.Catalog) {
	e.gateway.Configure(c)
	e.ready.configured.Store(true)
}

// command hands an order on for the coordinator of a group.
func (e *Entry) command(ctx context.Context, c *mesh.OrderCall) (*mesh.OrderReply, error) {
	return rank.HandOn(ctx, e.common, e.engines, c)
}

// deal hands an order on to many engines.
func (e *Entry) deal(ctx context.Context, c *mesh.DealCall) (*mesh.DealReply, error) {
	return rank.DealOut(ctx, e.common, e.engines, c)
}

// Run serves until leave is closed, then finishes what is in flight and returns.
func (e *Entry) Run(leave <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	door, err := e.listen(failed)
	if err != nil {
		return err
	}
	if err := e.peering.serve(ctx, failed); err != nil {
		return err
	}
	go e.peering.run(ctx)
	e.common.Log.Info("started", "hall", e.settings().Hall, "callers", e.settings().Callers, "peers", e.settings().Peers, "store", e.settings().Store)
	kept := completing{
		RecordStore: platform.NewStore(e.settings().Store, process.HTTPClient(e.network), e.timeline.stated),
		timeline:    e.timeline,
	}
	e.follow(ctx, kept)
	go e.quarantine.run(ctx, kept, e.settings().FirstStart)
	go e.sweep(ctx)
	go e.judge(ctx)
	if e.settings().AgentPort > 0 {
		go newWatching(e).run(ctx)
	}
	select {
	case <-leave:
	case err := <-failed:
		return err
	}
	return e.leave(door)
}

func (e *Entry) follow(ctx context.Context, feed store.Feed) {
	configuration, targets := e.followConfiguration(feed), e.followTargets(feed)
	e.surveying.follows(func() bool { return configuration.well.Load() && targets.well.Load() })
	go configuration.run(ctx)
	go targets.run(ctx)
}

func (e *Entry) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		clock.SleepUntil(ctx, clock.Now().Add(sweepEvery))
		e.pool.Sweep(clock.Now())
	}
}

// listen opens what callers and the platform ask. The door takes callers.
func (e *Entry) listen(failed chan<- error) (*gateway.Listener, error) {
	s := process.NewServers(e.network, failed)
	limits := catalog.DefaultLimits()
	door := gateway.NewListener(&http.Server{
		Handler: e.gateway, MaxHeaderBytes: limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
	if err := s.Serve(door, e.settings().Callers); err != nil {
		return nil, err
	}
	if err := s.Serve(&http.Server{Handler: e.ready, ReadHeaderTimeout: limits.HeaderTimeout}, e.settings().Ready); err != nil {
		return nil, err
	}
	return door, s.ServeMetrics(e.common, e.settings().Metrics)
}
