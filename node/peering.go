package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/routing"
)

// The times and sizes of peering.
const (
	// meetEvery is the time between two rounds of adverts. News is told at once; the
	// rounds are for boxes that missed it.
	meetEvery = 500 * time.Millisecond
	// kickGap gathers news that comes in quick succession into one round.
	kickGap = 30 * time.Millisecond
	// meetWithin bounds a call to another box.
	meetWithin = 700 * time.Millisecond
	// meetMost is how many boxes are told in a round. With more boxes than that news
	// spreads over a few rounds; each box sends the same whatever their number.
	meetMost = 8
	// passOnMost is how many other boxes an advert names, and passOnFew how many of them
	// are not new. A box hears a few dozen adverts a second, so that even of hundreds of
	// boxes each is learned of within the time in which it counts.
	passOnMost, passOnFew = 16, 2
	// seedEvery is the time between two looks at a seed by a box that knows others: it
	// joins parts of the system that lost each other.
	seedEvery = 5 * time.Second
	// tellAllEvery is the time between two rounds in which a box reports all works in
	// quarantine: as long as a box has to catch up after it was cut off, while it learns of
	// them from several others on average.
	tellAllEvery = 3 * time.Second
)

// peering sends other entry boxes what this one knows, and asks them for what it
// does not: so a box that the store turns away still learns the news.
//
// Lock order: mu, then the locks of view and fleet.
type peering struct {
	entry *Entry
	self  membership.Contact
	kick  chan struct{}

	mu      sync.Mutex
	boxes   *membership.Boxes
	calling map[string]bool
	life    *membership.IncarnationTracker
	behind  time.Time
	seedAt  time.Time
	allAt   time.Time // of the last round in which all works in quarantine were told
	shared  int
	briefed bool // a box that has run for a while has told this one all limits
}

func newPeering(e *Entry) *peering {
	s := e.settings()
	life := membership.NewIncarnationTracker()
	return &peering{
		entry: e, life: life,
		self: membership.Contact{
			Box: domain.BoxID(s.Box), Address: s.Peers, Incarnation: life.Incarnation(),
		},
		kick:    make(chan struct{}, 1),
		boxes:   membership.NewBoxes(domain.BoxID(s.Box), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		calling: map[string]bool{},
		shared:  1,
	}
}

// inTouch is how many boxes send each other news now, this one included, and the place
// of this one among them.
func (p *peering) inTouch() (boxes, place int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.Reachable(clock.Now())
}

// issuer is the box that hands out the permits of the service; without a name if none is known.
func (p *peering) issuer(now time.Time, svc domain.ServiceName) membership.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.Issuer(now, svc, p.entry.gateway.Stopping())
}

// part is how many boxes this one counts as an issuer, and how many share limits.
func (p *peering) part(now time.Time) (heard, sharing int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.IssuerShare(now)
}

// near is how many boxes of the hall, this one included, are in touch.
func (p *peering) near(hall domain.HallName) int { return 1 + len(p.in(hall)) }

// in are the other boxes of the hall that are in touch.
func (p *peering) in(hall domain.HallName) []membership.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes.InHall(clock.Now(), hall)
}

// isolated reports whether this box has lost the boxes of all other data halls.
func (p *peering) isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, last := p.boxes.OtherHalls(now, domain.HallName(p.entry.settings().Hall))
	return known && now.Sub(last) > membership.ReachableFor
}

// notify makes the next round come at once.
func (p *peering) notify() {
	select {
	case p.kick <- struct{}{}:
	default: // a round is due already
	}
}

// serve answers other boxes at the addresses of the settings.
func (p *peering) serve(ctx context.Context, failed chan<- error) error {
	mux := mesh.NewMux()
	mesh.Handle(mux, mesh.Meet, p.meet)
	mesh.Handle(mux, mesh.Pull, p.pull)
	mesh.Handle(mux, mesh.Survey, p.entry.surveying.survey)
	mesh.Handle(mux, mesh.Permit, p.entry.limiting.permit)
	mesh.Handle(mux, mesh.Command, p.entry.command)
	mesh.Handle(mux, mesh.Deal, p.entry.deal)
	for _, address := range []string{p.entry.settings().Peers, p.entry.settings().Meeting} {
		if address == "" {
			continue
		}
		l, err := p.entry.network.Listen(address)
		if err != nil {
			return err
		}
		go func() { process.Fail(failed, mesh.Serve(ctx, l, mux)) }()
	}
	return nil
}

// run makes rounds until ctx ends.
func (p *peering) run(ctx context.Context) {
	var fullAt time.Time // of the last round that was not only for news
	for ctx.Err() == nil {
		full := clock.Since(fullAt) >= meetEvery
		if full {
			fullAt = clock.Now()
		}
		p.round(ctx, !full)
		select {
		case <-ctx.Done():
		case <-p.kick:
			clock.SleepUntil(ctx, clock.Now().Add(kickGap))
		case <-time.After(clock.Until(fullAt.Add(meetEvery))):
		}
	}
}

// round notifies some boxes, and asks one of them if this box is behind. Where it is only for
// news, no other boxes are named.
func (p *peering) round(ctx context.Context, news bool) {
	now := clock.Now()
	p.mu.Lock()
	var addresses []string
	for _, c := range p.boxes.Sample(now, meetMost) {
		addresses = append(addresses, c.Address)
	}
	if seeds := p.entry.settings().Seeds; len(seeds) > 0 && (len(addresses) == 0 || now.Sub(p.seedAt) > seedEvery) {
		p.seedAt = now
		addresses = append(addresses, seeds...)
	}
	if n := p.boxes.BoundSharers(now); n != p.shared {
		p.entry.common.Log.Info("boxes share bounds", "boxes", n, "before", p.shared)
		p.shared = n
		p.entry.budgets.setBoxes(n)
		p.entry.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.SetBoxes(n) })
	}
	all := now.Sub(p.allAt) >= tellAllEvery
	if all {
		p.allAt = now
	}
	p.mu.Unlock()
	for _, a := range addresses {
		p.start(a, func() { p.call(ctx, a, news, all) })
	}
	p.catchUp(ctx)
}

// start runs a call to the address unless one is under way.
func (p *peering) start(address string, call func()) {
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

// call exchanges adverts with the box at the address. One that does not answer is
// tried again in a later round.
func (p *peering) call(ctx context.Context, address string, news, all bool) {
	ctx, cancel := context.WithTimeout(ctx, meetWithin)
	defer cancel()
	reply, err := mesh.Call[mesh.Advert, mesh.Advert](ctx, p.entry.mesh, address, mesh.Meet, p.advert(news, all))
	if err == nil {
		p.outlive(reply.Remembered)
		p.receive(reply)
		p.noteBriefed(reply)
	}
}

// noteBriefed takes the answer of a box; one that has run for a while sent all limits.
func (p *peering) noteBriefed(reply *mesh.Advert) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.briefed = p.briefed || reply.Share != nil && reply.Share.Settled
}

// outlive makes this process later than the one of this box that another box remembers.
func (p *peering) outlive(remembered domain.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life.Observe(remembered) {
		p.self.Incarnation = p.life.Incarnation()
		p.notify()
	}
}

// noteBehind keeps since when this box is behind; mu is held.
func (p *peering) noteBehind(now time.Time, own membership.StoreProgress) {
	switch behind := p.boxes.Behind(own); {
	case !behind:
		p.behind = time.Time{}
	case p.behind.IsZero():
		p.behind = now
		time.AfterFunc(membership.PullDelay, p.notify)
	}
}

// catchUp asks a box that knows more.
func (p *peering) catchUp(ctx context.Context) {
	now := clock.Now()
	own := p.storeProgress()
	p.mu.Lock()
	p.noteBehind(now, own)
	c, ok := p.boxes.ChoosePullPeer(now, own, p.behind)
	p.mu.Unlock()
	if ok {
		p.start("pull "+c.Address, func() { p.ask(ctx, c, own) })
	}
}

// ask takes what the other box has that this one has not.
func (p *peering) ask(ctx context.Context, c membership.Contact, own membership.StoreProgress) {
	ctx, cancel := context.WithTimeout(ctx, meetWithin)
	defer cancel()
	q := &mesh.PullQuery{Config: own.Config, Targets: own.Targets}
	got, err := mesh.Call[mesh.PullQuery, mesh.Pulled](ctx, p.entry.mesh, c.Address, mesh.Pull, q)
	if err != nil {
		p.entry.common.Log.Warn("pull from peer failed, asking again", "peer", c.Box, "err", err)
		p.notify()
		return
	}
	source := "peer " + string(c.Box)
	if got.Config != nil {
		p.entry.view.configuration(got.Config.Raw, got.Config.At, source)
	}
	if got.At.IsZero() {
		return
	}
	news, err := got.News()
	if err != nil {
		p.entry.common.Log.Error("list of targets from peer rejected", "peer", c.Box, "err", err)
		return
	}
	p.entry.view.targets(got.At, news, source)
}

// pull implements mesh.Pull.
func (p *peering) pull(_ context.Context, q *mesh.PullQuery) (*mesh.Pulled, error) {
	out := &mesh.Pulled{}
	if raw, edition := p.entry.view.document(); edition.After(q.Config) {
		out.Config = &mesh.Document{At: edition.At, Raw: raw}
	}
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		if r.Newest().After(q.Targets) {
			out.At, out.Targets = r.Newest(), mesh.ListOf(r.All())
		}
	})
	return out, nil
}
