package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"clovertrail.dev/config"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/retry"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/wire"
	"clovertrail.dev/wire/wirepb"
)

// Entry is the shell around the tables of an entry box. Its methods may be called
// from any goroutine.
//
// Lock order: none of the tables' locks is held while another is taken, nor
// during I/O.
type Entry struct {
	wirepb.UnimplementedEntryServer

	common      telemetry.Common
	settings    Settings
	store       store.Store
	incarnation domain.Incarnation
	conns       *connections
	config      *configTable
	members     *memberTable
	routes      *routeTable
	peers       *peerTable
	budget      *budgetTable
	claims      *claimTable
	groups      *groupTable
	limits      *limitTable

	requests atomic.Uint64
	inFlight sync.WaitGroup
	leaving  atomic.Bool
}

// New returns the entry box of the incarnation, with the platform behind store
// and other processes behind dial.
func New(c telemetry.Common, s Settings, store store.Store, dial wire.Dialer, inc domain.Incarnation) *Entry {
	rnd := rand.New(rand.NewPCG(uint64(inc), uint64(len(s.Box))))
	return &Entry{
		common:      c,
		settings:    s,
		store:       store,
		incarnation: inc,
		conns:       newConnections(dial),
		config:      newConfigTable(domain.BoxID(s.Box), domain.HallName(s.Hall)),
		members:     &memberTable{table: membership.New(membership.DefaultPolicy())},
		routes:      &routeTable{picker: routing.NewPicker(routing.Corrected{Affinity: s.Affinity}, rnd)},
		peers:       newPeerTable(),
		claims:      newClaimTable(s, inc),
		groups:      newGroupTable(),
		limits:      newLimitTable(time.Now()),
		budget:      &budgetTable{budget: retry.NewBudget(s.RetryShare, s.RetriesPerSecond)},
	}
}

// Register adds the entry box to the gRPC server for agents and peers.
func (e *Entry) Register(s grpc.ServiceRegistrar) { wirepb.RegisterEntryServer(s, e) }

// Run does the duties of the box until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	duties := []func(context.Context){e.followConfig, e.exchangeNews, e.readBoxes, e.keepClaims, e.keepGroups, e.keepLimits}
	var wg sync.WaitGroup
	for _, d := range duties {
		wg.Go(func() { d(ctx) })
	}
	wg.Wait()
	e.conns.close()
}

// Ready tells whether the box may serve: its configuration is in force and it is
// not leaving.
func (e *Entry) Ready() bool { return e.config.ready() && !e.leaving.Load() }

// Stop makes Ready false, so that the platform's balancer sends no more, and
// waits until no request is in flight or ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.common.Log.Info("draining")
	e.kickExchange()
	done := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextRequestID is unique over all boxes and incarnations.
func (e *Entry) nextRequestID() string {
	n := e.requests.Add(1)
	return e.settings.Box + "." + strconv.FormatUint(uint64(e.incarnation), 36) + "." + strconv.FormatUint(n, 36)
}

// box is this entry box as others see it.
func (e *Entry) box() domain.Box {
	return domain.NewEntryBox(domain.BoxID(e.settings.Box), domain.HallName(e.settings.Hall), e.settings.Peers, e.incarnation)
}

// View gives the configuration in force here.
func (e *Entry) View(read func(*config.Replica)) { e.config.view(read) }

func sleepUntil(ctx context.Context, t time.Time, wake <-chan struct{}) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
