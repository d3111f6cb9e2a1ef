package node

import (
	"context"
	"math"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
)

// What adverts hold, and how boxes take them.

// advert is what this box reports: about other boxes, too, unless it is only for news, and with all
// what the other box may have missed of works in quarantine.
func (p *peering) advert(news, all bool) *mesh.Advert {
	now := clock.Now()
	others := otherLimitsPerRound
	if news {
		others = 0
	}
	own := p.storeProgress()
	failureReports, works := p.failureReports(now), p.entry.quarantine.observations(now, all)
	limits, apart := p.entry.limiting.reportsForPeers(now, others), p.entry.limiting.usesFallback(now)
	limited := p.entry.fleet.hasLimits()
	var leavers []domain.InstanceID
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { leavers = r.LeavingTargets(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &mesh.Advert{
		Self: contactOf(p.self, 0), Hall: domain.HallName(p.entry.settings().Hall), Leaving: p.entry.gateway.Stopping(),
		Config: own.Config, Targets: own.Targets, News: news,
		FailureReports: failureReports, Leavers: leavers, Works: works,
		Limits: limits, Blank: !p.briefed,
	}
	if limited {
		a.Share = p.shareReport(now, apart)
	}
	if news {
		return a
	}
	for c, ago := range p.boxes.PeersToAdvertise(now, passOnMost, passOnFew) {
		a.Known = append(a.Known, contactOf(c, ago))
	}
	return a
}

// shareReport is how this box shares limits; mu is held.
func (p *peering) shareReport(now time.Time, apart bool) *mesh.ShareReport {
	return &mesh.ShareReport{Boxes: p.boxes.LimitSharers(now), Apart: apart, Settled: p.boxes.Settled(now)}
}

func contactOf(c membership.Contact, ago time.Duration) mesh.Contact {
	return mesh.Contact{Box: c.Box, Address: c.Address, Incarnation: c.Incarnation, Ago: ago, Hall: c.Hall}
}

func contactFrom(c mesh.Contact) membership.Contact {
	return membership.Contact{Box: c.Box, Address: c.Address, Incarnation: c.Incarnation, Hall: c.Hall}
}

// shareReportFrom gives nothing for a box that knows no limits.
func shareReportFrom(w *mesh.ShareReport) membership.ShareReport {
	if w == nil {
		return membership.ShareReport{}
	}
	return membership.ShareReport{Boxes: w.Boxes, UsesFallback: w.Apart, Settled: w.Settled}
}

// failureReports are what boxes report against targets, to be passed on.
func (p *peering) failureReports(now time.Time) []mesh.FailureReport {
	var list []mesh.FailureReport
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		for _, c := range r.FailureReports(now) {
			list = append(list, mesh.FailureReport{Target: c.Target, By: c.By, Ago: now.Sub(c.At)})
		}
	})
	return list
}

// receiveFailureReports takes what other boxes report against targets.
func (p *peering) receiveFailureReports(now time.Time, list []mesh.FailureReport) {
	if len(list) == 0 {
		return
	}
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		for _, c := range list {
			if r.ReceiveFailureReport(now, membership.FailureReport{Target: c.Target, By: c.By, At: now.Add(-c.Ago)}) {
				p.entry.fleet.onEjected(c.Target)
			}
		}
	})
}

// storeProgress is how far this box knows what the store holds.
func (p *peering) storeProgress() membership.StoreProgress {
	_, edition := p.entry.view.document()
	l := membership.StoreProgress{Config: edition}
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { l.Targets = r.Newest() })
	return l
}

// meet implements mesh.Meet.
func (p *peering) meet(_ context.Context, a *mesh.Advert) (*mesh.Advert, error) {
	p.mu.Lock()
	before := p.boxes.LatestIncarnation(a.Self.Box)
	p.mu.Unlock()
	p.receive(a)
	reply := p.advert(a.News, false)
	reply.Remembered = before
	if a.Blank {
		p.addLimits(reply)
	}
	return reply, nil
}

// addLimits adds to an advert what a box that has just started is to know of limits.
func (p *peering) addLimits(reply *mesh.Advert) {
	now := clock.Now()
	reply.Limits = p.entry.limiting.reportsForPeers(now, math.MaxInt)
	apart := p.entry.limiting.usesFallback(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	reply.Share = p.shareReport(now, apart)
}

// receive takes an advert. If it shows that this box is behind, a round follows in
// which it asks.
func (p *peering) receive(a *mesh.Advert) {
	now := clock.Now()
	p.entry.timeline.observe(store.Later(a.Targets, a.Config.At), "peer "+string(a.Self.Box))
	own := p.storeProgress()
	p.receiveFailureReports(now, a.FailureReports)
	for _, id := range a.Leavers {
		p.entry.fleet.leavingReported(now, id, "peer "+string(a.Self.Box))
	}
	p.entry.quarantine.receive(now, a.Works, "peer "+string(a.Self.Box))
	p.entry.limiting.receiveReports(now, a.Limits, "peer "+string(a.Self.Box))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes.Receive(now, contactFrom(a.Self), a.Hall, membership.StoreProgress{Config: a.Config, Targets: a.Targets}, a.Leaving)
	p.boxes.ReceiveShareReport(a.Self.Box, shareReportFrom(a.Share))
	for _, c := range a.Known {
		p.boxes.ReceiveIndirect(now, contactFrom(c), c.Ago)
	}
	p.noteBehind(now, own)
}
