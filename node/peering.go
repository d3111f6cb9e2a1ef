package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/routing"
)

// Times and sizes of the exchange of adverts.
const (
	// updateBatchDelay collects updates that follow each other quickly into one round.
	updateBatchDelay = 30 * time.Millisecond
	// peerCallTimeout bounds a call to another box.
	peerCallTimeout = 700 * time.Millisecond
	// maxAdvertised is how many other boxes an advert lists, and maxAdvertisedOld how many of
	// them may be boxes that are not new. A box receives a few dozen adverts a second. Even with
	// hundreds of boxes, these adverts list each box at least once within the time for which a box
	// counts as alive.
	maxAdvertised, maxAdvertisedOld = 16, 2
)

// peering sends other entry boxes the updates that this box has, and pulls from them the updates that
// this box lacks, so that a box whose calls the store rejects still receives all updates. When it does so, and
// with which boxes, is decided by membership.AdvertRounds.
//
// Lock order: mu, then the locks of view and fleet.
type peering struct {
	entry *Entry
	self  membership.Contact
	wake  chan struct{} // starts the next round at once

	mu           sync.Mutex
	boxes        *membership.Boxes
	rounds       *membership.AdvertRounds
	calling      map[string]bool // calls in progress, by address; the key of a pull begins with "pull "
	incarnations *membership.IncarnationTracker
}

func newPeering(e *Entry) *peering {
	s := e.settings()
	incarnations := membership.NewIncarnationTracker()
	boxes := membership.NewBoxes(domain.BoxID(s.Box), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &peering{
		entry: e, incarnations: incarnations,
		self: membership.Contact{
			Box: domain.BoxID(s.Box), Address: s.Peers, Incarnation: incarnations.Incarnation(),
		},
		wake:    make(chan struct{}, 1),
		boxes:   boxes,
		rounds:  membership.NewAdvertRounds(domain.HallName(s.Hall), boxes),
		calling: map[string]bool{},
	}
}

// reachable returns how many boxes are reachable now, including this one, and the position of this
// one among them.
func (p *peering) reachable() (boxes, position int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.Reachable(clock.Now())
}

// reachableCount returns how many boxes are reachable now, including this one.
func (p *peering) reachableCount() int {
	boxes, _ := p.reachable()
	return boxes
}

// fleet returns the boxes for the decision which of them tries a work in quarantine.
func (p *peering) fleet(now time.Time) quarantine.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return quarantine.Fleet{Self: p.self.Box, Known: p.boxes.LimitSharers(now), Reached: p.rounds.TrialBoxes(now, p.entry.gateway.Stopping())}
}

// issuer returns the box that issues the permits of the service; its name is empty if no issuer is
// known.
func (p *peering) issuer(now time.Time, svc domain.ServiceName) membership.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.Issuer(now, svc, p.entry.gateway.Stopping())
}

// issuerShare returns the number of boxes for which this one issues permits, and the number of boxes
// that share limits.
func (p *peering) issuerShare(now time.Time) (served, sharing int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.IssuerShare(now)
}

// boundSharerCount returns how many boxes share the bounds, including this one.
func (p *peering) boundSharerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rounds.BoundSharers()
}

// countInHall returns how many boxes of the hall are reachable, including this one.
func (p *peering) countInHall(hall domain.HallName) int { return 1 + len(p.inHall(hall)) }

// inHall returns the other boxes of the hall that are reachable.
func (p *peering) inHall(hall domain.HallName) []membership.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.InHall(clock.Now(), hall)
}

// isolated reports whether this box knows boxes of other data halls and has received nothing from any
// of them for longer than membership.ReachableFor.
func (p *peering) isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rounds.Isolated(now)
}

// notify starts the next round at once.
func (p *peering) notify() {
	select {
	case p.wake <- struct{}{}:
	default: // a round is pending already
	}
}

// serve serves the calls of other boxes at the addresses of the settings. The second address is only for boxes that start, so
// this one does not wait for it.
func (p *peering) serve(ctx context.Context, s *process.Servers) error {
	mux := mesh.NewMux()
	mesh.Handle(mux, mesh.ExchangeAdverts, p.exchangeAdverts)
	mesh.Handle(mux, mesh.Pull, p.pull)
	mesh.Handle(mux, mesh.QueryHall, p.entry.hallPoller.report)
	mesh.Handle(mux, mesh.Permit, p.entry.limiting.permit)
	mesh.Handle(mux, mesh.SendOrder, p.entry.sendOrder)
	mesh.Handle(mux, mesh.FanOut, p.entry.fanOut)
	srv := process.ServerFunc(func(l net.Listener) error { return mesh.Serve(ctx, l, mux) })
	if err := s.Serve(srv, "peers", p.entry.settings().Peers); err != nil {
		return err
	}
	return s.ServeOptional(srv, "meeting", p.entry.settings().Meeting)
}

// run runs rounds of adverts until ctx ends.
func (p *peering) run(ctx context.Context) {
	for ctx.Err() == nil {
		next := p.round(ctx)
		select {
		case <-ctx.Done():
		case <-p.wake:
			clock.SleepUntil(ctx, clock.Now().Add(updateBatchDelay))
		case <-time.After(clock.Until(next)):
		}
	}
}

// round sends adverts to some boxes, and pulls updates from one if this box is behind. It returns when the next
// full round is due.
func (p *peering) round(ctx context.Context) (nextFull time.Time) {
	now := clock.Now()
	p.mu.Lock()
	r := p.rounds.Begin(now, p.entry.settings().Seeds)
	nextFull = p.rounds.NextFullAt()
	p.mu.Unlock()
	if r.SharersChanged {
		p.applySharers(r)
	}
	var counts []mesh.RequestCounts
	if r.Full {
		counts = p.entry.fleet.ownRequestCounts(now)
	}
	for _, a := range r.Adverts {
		sent := counts
		if !a.Counts {
			sent = nil
		}
		p.startCall(a.Address, func() { p.exchange(ctx, a.Address, r, sent) })
	}
	p.entry.limiting.dropFormerTurns(now) // the issuer also changes as time passes
	p.catchUp(ctx)
	return nextFull
}

// applySharers passes on how many boxes share bounds.
func (p *peering) applySharers(r membership.Round) {
	p.entry.common.Log.Info("number of boxes that share bounds changed", "boxes", r.Sharers, "before", r.SharersBefore)
	p.entry.budgets.setBoxes(r.Sharers)
	p.entry.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.SetBoxes(r.Sharers) })
}

// startCall runs the call in the background unless a call with the same key in calling is in progress.
func (p *peering) startCall(address string, call func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calling[address] {
		return
	}
	p.calling[address] = true
	go func() {
		call()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calling, address)
	}()
}

// exchange exchanges adverts with the box at the address, and sends it the counts. A box that does not
// respond is called again in a later round, without these counts.
func (p *peering) exchange(ctx context.Context, address string, r membership.Round, counts []mesh.RequestCounts) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	a := p.advert(!r.Full, r.AllWorks)
	a.Organisations = counts
	reply, err := mesh.Call[mesh.Advert, mesh.Advert](ctx, p.entry.mesh, address, mesh.ExchangeAdverts, a)
	if err == nil {
		p.supersede(reply.LatestIncarnation)
		p.receive(reply)
		p.recordReply(reply)
	}
}

func (p *peering) recordReply(reply *mesh.Advert) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rounds.Replied(shareReportFrom(reply.Share))
}

// supersede gives this process a higher incarnation than the one that another box has on record for
// this box from an earlier process.
func (p *peering) supersede(remembered domain.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnations.Observe(remembered) {
		p.self.Incarnation = p.incarnations.Incarnation()
		p.notify()
	}
}

// trackBehind records whether this box is behind another, and starts a round if it still is after a while; mu is
// held.
func (p *peering) trackBehind(now time.Time, own membership.StoreProgress) {
	if p.rounds.TrackBehind(now, own) {
		time.AfterFunc(membership.PullDelay, p.notify)
	}
}

// catchUp pulls updates from a box that has newer ones, if this box is behind.
func (p *peering) catchUp(ctx context.Context) {
	now := clock.Now()
	own := p.storeProgress()
	p.mu.Lock()
	p.trackBehind(now, own)
	c, ok := p.rounds.PullPeer(now, own)
	p.mu.Unlock()
	if ok {
		p.startCall("pull "+c.Address, func() { p.pullFrom(ctx, c, own) })
	}
}

// pullFrom requests the records that the other box has in a newer version, and applies them.
func (p *peering) pullFrom(ctx context.Context, c membership.Contact, own membership.StoreProgress) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	q := &mesh.PullQuery{Config: own.Config, Targets: own.Targets, Evacuations: own.Evacuations, AcceptsChanges: true}
	got, err := mesh.Call[mesh.PullQuery, mesh.PullReply](ctx, p.entry.mesh, c.Address, mesh.Pull, q)
	if err != nil {
		p.entry.common.Log.Warn("pull from peer failed, retrying", "peer", c.Box, "err", err)
		p.notify()
		return
	}
	source := "peer " + string(c.Box)
	if got.Config != nil {
		p.entry.view.applyConfiguration(got.Config.Raw, got.Config.At, source)
	}
	if l := got.Evacuations; l != nil {
		p.entry.view.applyEvacuations(l.At, l.Updates(), source)
	}
	if got.At.IsZero() {
		return
	}
	updates, err := got.TargetUpdates(clock.Now())
	if err != nil {
		p.entry.common.Log.Error("list from peer has invalid targets, not using them", "peer", c.Box, "err", err)
	}
	p.entry.view.applyFromPeer(membership.TargetList{At: got.At, Updates: updates, ChangesOnly: got.ChangesOnly}, source)
}

// pull implements mesh.Pull.
func (p *peering) pull(_ context.Context, q *mesh.PullQuery) (*mesh.PullReply, error) {
	out := &mesh.PullReply{}
	if raw, edition := p.entry.view.document(); edition.After(q.Config) {
		out.Config = &mesh.Document{At: edition.At, Raw: raw}
	}
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		if l, lacks := r.ListSince(q.Targets, q.AcceptsChanges); lacks {
			out.At, out.Targets, out.ChangesOnly = l.At, mesh.NewTargetUpdates(clock.Now(), l.Updates), l.ChangesOnly
		}
		if at, halls, lacks := r.Evacuations().ListSince(q.Evacuations); lacks {
			out.Evacuations = mesh.NewEvacuationList(at, halls)
		}
	})
	return out, nil
}
