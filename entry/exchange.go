package entry

import (
	"context"
	"sync"
	"time"

	"clovertrail.dev/config"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/once"
	"clovertrail.dev/store"
	"clovertrail.dev/wire/wirepb"
)

// Peer is another entry box as last heard.
type Peer struct {
	box       domain.Box
	seq       config.Seq
	connected bool
	heardAt   time.Time
}

// Box is the entry box.
func (p Peer) Box() domain.Box { return p.box }

// Seq is the number of the configuration in force there.
func (p Peer) Seq() config.Seq { return p.seq }

// HeardAt is when it was last heard; zero for never.
func (p Peer) HeardAt() time.Time { return p.heardAt }

// peerTable guards what is known of other entry boxes.
type peerTable struct {
	mu    sync.Mutex
	peers map[domain.BoxID]*Peer
	kick  chan struct{}
}

func newPeerTable() *peerTable {
	return &peerTable{peers: map[domain.BoxID]*Peer{}, kick: make(chan struct{}, 1)}
}

// heard takes a peer's own word.
func (t *peerTable) heard(now time.Time, n *wirepb.EntryNews) {
	box := domain.NewEntryBox(domain.BoxID(n.GetBox()), domain.HallName(n.GetHall()), n.GetAddress(), domain.Incarnation(n.GetIncarnation()))
	if n.GetLeaving() {
		box = box.WithState(domain.BoxLeaving)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[box.ID()]
	if !ok {
		p = &Peer{}
		t.peers[box.ID()] = p
	}
	if box.Incarnation() < p.box.Incarnation() {
		return
	}
	p.box, p.seq, p.connected, p.heardAt = box, config.Seq(n.GetConfigSeq()), n.GetPlatformReached(), now
}

// listed takes the platform's list: it adds boxes, and drops those that are
// neither listed nor heard.
func (t *peerTable) listed(now time.Time, self domain.BoxID, boxes []domain.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[domain.BoxID]bool{}
	for _, b := range boxes {
		if b.Role() != domain.EntryRole || b.ID() == self {
			continue
		}
		present[b.ID()] = true
		if p, ok := t.peers[b.ID()]; !ok {
			t.peers[b.ID()] = &Peer{box: b}
		} else if now.Sub(p.heardAt) > silentPeer {
			p.box = b
		}
	}
	for id, p := range t.peers {
		if !present[id] && now.Sub(p.heardAt) > silentPeer {
			delete(t.peers, id)
		}
	}
}

const silentPeer = 10 * time.Second

func (t *peerTable) all() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, *p)
	}
	return list
}

func (t *peerTable) address(id domain.BoxID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[id]; ok {
		return p.box.Address()
	}
	return ""
}

// addressOf is the address of a member, as long as the box still runs that
// incarnation.
func (t *peerTable) addressOf(m once.Member) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[m.Box]; ok && p.box.Incarnation() == m.Incarnation {
		return p.box.Address()
	}
	return ""
}

// Peers returns the other entry boxes.
func (e *Entry) Peers() []Peer { return e.peers.all() }

func (e *Entry) kickExchange() {
	select {
	case e.peers.kick <- struct{}{}:
	default:
	}
}

// exchangeNews tells other entry boxes how things stand here, and hears how they
// stand there, until ctx ends.
func (e *Entry) exchangeNews(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchangeOnce(ctx)
		sleepUntil(ctx, time.Now().Add(e.settings.ExchangeEvery.Std()), e.peers.kick)
	}
}

func (e *Entry) exchangeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.ExchangeEvery.Std())
	defer cancel()
	news := e.news()
	var wg sync.WaitGroup
	for _, address := range e.peerAddresses() {
		wg.Go(func() { e.exchangeWith(ctx, address, news) })
	}
	wg.Wait()
}

// peerAddresses are the known peers, and the seeds while there are none.
func (e *Entry) peerAddresses() []string {
	var list []string
	for _, p := range e.peers.all() {
		list = append(list, p.box.Address())
	}
	if len(list) > 0 {
		return list
	}
	for _, s := range e.settings.Seeds {
		if s != e.settings.Peers {
			list = append(list, s)
		}
	}
	return list
}

func (e *Entry) news() *wirepb.EntryNews {
	n := &wirepb.EntryNews{
		Box: e.settings.Box, Hall: e.settings.Hall, Address: e.settings.Peers,
		Incarnation: uint64(e.incarnation), ConfigSeq: uint64(e.config.seq()), Leaving: e.leaving.Load(),
	}
	e.config.follow(func(f *config.Follower) { n.PlatformReached = f.Connected() })
	n.ClaimsVersion = uint64(e.claims.version())
	for _, b := range e.members.spread(time.Now()) {
		n.Boxes = append(n.Boxes, &wirepb.BoxNews{Box: string(b.ID()), Incarnation: uint64(b.Incarnation()), State: uint32(b.State())})
	}
	return n
}

func (e *Entry) exchangeWith(ctx context.Context, address string, news *wirepb.EntryNews) {
	client, err := e.conns.entry(address)
	if err != nil {
		return
	}
	reply, err := client.Exchange(ctx, news)
	if err == nil {
		e.heardPeer(reply)
	}
}

// Exchange implements wirepb.EntryServer.
func (e *Entry) Exchange(_ context.Context, n *wirepb.EntryNews) (*wirepb.EntryNews, error) {
	e.heardPeer(n)
	return e.news(), nil
}

func (e *Entry) heardPeer(n *wirepb.EntryNews) {
	now := time.Now()
	if n.GetBox() == e.settings.Box {
		return
	}
	e.peers.heard(now, n)
	ahead := config.Seq(n.GetConfigSeq()) > e.config.seq()
	e.config.follow(func(f *config.Follower) {
		f.PeerHeard(now, domain.BoxID(n.GetBox()), domain.HallName(n.GetHall()), config.Seq(n.GetConfigSeq()), n.GetPlatformReached())
	})
	e.members.with(func(t *membership.Table) {
		for _, b := range n.GetBoxes() {
			t.Told(now, domain.BoxID(b.GetBox()), domain.Incarnation(b.GetIncarnation()), domain.BoxState(b.GetState()))
		}
	})
	if ahead {
		e.config.nudge()
	}
	e.claims.heardVersion(store.Version(n.GetClaimsVersion()))
}

// readBoxes reads the platform's list until ctx ends.
func (e *Entry) readBoxes(ctx context.Context) {
	for ctx.Err() == nil {
		e.readBoxesOnce(ctx)
		sleepUntil(ctx, time.Now().Add(e.settings.BoxesEvery.Std()), nil)
	}
}

func (e *Entry) readBoxesOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	boxes, err := e.store.Boxes(ctx)
	e.countPlatform("boxes", err)
	if err != nil {
		return
	}
	e.tookBoxes(boxes)
}

func (e *Entry) tookBoxes(boxes store.Boxes) {
	now := time.Now()
	self := domain.BoxID(e.settings.Box)
	e.peers.listed(now, self, boxes.All())
	var entries, mine []domain.Box
	for _, b := range boxes.All() {
		if b.Role() == domain.EntryRole {
			entries = append(entries, b)
		}
	}
	for _, b := range boxes.All() {
		if b.Role() == domain.TargetRole && reportsTo(b, entries, self, e.settings.Reporters) {
			mine = append(mine, b)
		}
	}
	e.members.with(func(t *membership.Table) { t.Listed(now, uint64(boxes.Version()), mine) })
	e.dropUnused()
}

func reportsTo(target domain.Box, entries []domain.Box, self domain.BoxID, n int) bool {
	for _, b := range membership.Reporters(target.ID(), entries, n) {
		if b.ID() == self {
			return true
		}
	}
	return false
}

// dropUnused closes connections and forgets loads of boxes that are gone.
func (e *Entry) dropUnused() {
	used := map[string]bool{}
	ids := map[domain.BoxID]bool{}
	e.members.with(func(t *membership.Table) {
		for _, m := range t.All() {
			used[m.Box().Address()] = true
			ids[m.Box().ID()] = true
		}
	})
	for _, p := range e.peers.all() {
		used[p.box.Address()] = true
	}
	for _, s := range e.settings.Seeds {
		used[s] = true
	}
	e.conns.keep(used)
	e.routes.mu.Lock()
	defer e.routes.mu.Unlock()
	e.routes.picker.Forget(ids)
}

// Report implements wirepb.EntryServer: an agent reports.
func (e *Entry) Report(_ context.Context, r *wirepb.AgentReport) (*wirepb.AgentOrders, error) {
	box := domain.NewTargetBox(domain.BoxID(r.GetBox()), domain.HallName(r.GetHall()), domain.ServiceName(r.GetService()),
		r.GetAddress(), domain.Incarnation(r.GetLoad().GetIncarnation()))
	e.heardTarget(box, r.GetLoad())
	e.groups.reported(time.Now(), box.ID(), domain.GroupName(r.GetHeldGroup()))
	orders := &wirepb.AgentOrders{ConfigSeq: uint64(e.config.seq())}
	e.members.with(func(t *membership.Table) {
		if m, ok := t.Get(box.ID()); ok {
			orders.BoxState = uint32(m.Box().State())
			orders.LeavingIncarnation = uint64(m.Box().Incarnation())
		}
	})
	for _, b := range membership.Reporters(box.ID(), e.entryBoxes(), e.settings.Reporters) {
		orders.Entries = append(orders.Entries, b.Address())
	}
	return orders, nil
}

// entryBoxes are all entry boxes that are known, this one included.
func (e *Entry) entryBoxes() []domain.Box {
	list := []domain.Box{e.box()}
	for _, p := range e.peers.all() {
		list = append(list, p.box)
	}
	return list
}

// heardTarget takes a load that came straight from the agent of the box.
func (e *Entry) heardTarget(box domain.Box, l *wirepb.Load) {
	now := time.Now()
	if s := domain.BoxState(l.GetState()); s != 0 {
		box = box.WithState(s)
	}
	e.members.with(func(t *membership.Table) { t.Heard(now, box) })
	e.routes.mu.Lock()
	defer e.routes.mu.Unlock()
	e.routes.picker.Report(now, box.ID(), loadOf(l))
}
