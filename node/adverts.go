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

// This file builds the adverts of this box and processes those of other boxes.

// advert returns an advert of this box. If changesOnly is set, the advert lists no other boxes, and
// only limits that changed recently. If all is set, the advert contains the observations of all works in
// quarantine and not only the recent ones, for boxes that may have missed some.
func (p *peering) advert(changesOnly, all bool) *mesh.Advert {
	now := clock.Now()
	others := otherLimitsPerRound
	if changesOnly {
		others = 0
	}
	progress := p.storeProgress()
	failureReports := p.failureReports(now)
	works, cleared := p.entry.quarantine.observations(now, all)
	trials, lifts := p.entry.quarantine.trialsAndLifts(now)
	limits, usesFallback := p.entry.limiting.reportsForPeers(now, others), p.entry.limiting.usesFallback(now)
	hasLimits := p.entry.fleet.hasLimits()
	var leavers []domain.InstanceID
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { leavers = r.LeavingTargets(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &mesh.Advert{
		Self: contactOf(p.self, 0), Hall: domain.HallName(p.entry.settings().Hall), Leaving: p.entry.gateway.Stopping(),
		Config: progress.Config, Targets: progress.Targets, Evacuations: progress.Evacuations, UpdateOnly: changesOnly,
		FailureReports: failureReports, LeavingTargets: leavers, WorkObservations: works, ClearedEnds: cleared, Trials: trials, Lifts: lifts,
		Limits: limits, NeedsAllLimits: p.rounds.NeedsAllLimits(),
	}
	if hasLimits {
		a.Share = p.shareReport(now, usesFallback)
	}
	if changesOnly {
		return a
	}
	for c, ago := range p.boxes.PeersToAdvertise(now, a.Hall, maxAdvertised, maxAdvertisedOld) {
		a.Peers = append(a.Peers, contactOf(c, ago))
	}
	return a
}

// shareReport returns how this box shares limits with others. mu is held.
func (p *peering) shareReport(now time.Time, usesFallback bool) *mesh.ShareReport {
	return &mesh.ShareReport{Boxes: p.boxes.LimitSharers(now), UsesFallback: usesFallback, Settled: p.boxes.Settled(now)}
}

func contactOf(c membership.Contact, ago time.Duration) mesh.Contact {
	return mesh.Contact{Box: c.Box, Address: c.Address, Incarnation: c.Incarnation, Age: ago, Hall: c.Hall}
}

func contactFrom(c mesh.Contact) membership.Contact {
	return membership.Contact{Box: c.Box, Address: c.Address, Incarnation: c.Incarnation, Hall: c.Hall}
}

// shareReportFrom returns a zero report for nil, which is sent by boxes that have no limits.
func shareReportFrom(r *mesh.ShareReport) membership.ShareReport {
	if r == nil {
		return membership.ShareReport{}
	}
	return membership.ShareReport{Boxes: r.Boxes, UsesFallback: r.UsesFallback, Settled: r.Settled}
}

// failureReports returns the failure reports to send to other boxes, those of this box and of others.
func (p *peering) failureReports(now time.Time) []mesh.FailureReport {
	var list []mesh.FailureReport
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		for _, f := range r.FailureReports(now) {
			list = append(list, mesh.FailureReport{Target: f.Target, By: f.By, Age: now.Sub(f.At)})
		}
	})
	return list
}

// receiveFailureReports records the failure reports of another box.
func (p *peering) receiveFailureReports(now time.Time, list []mesh.FailureReport) {
	if len(list) == 0 {
		return
	}
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		for _, f := range list {
			if r.ReceiveFailureReport(now, membership.FailureReport{Target: f.Target, By: f.By, At: now.Add(-f.Age)}) {
				p.entry.fleet.onEjected(f.Target)
			}
		}
	})
}

// storeProgress returns how much of the store's contents this box has received.
func (p *peering) storeProgress() membership.StoreProgress {
	_, edition := p.entry.view.document()
	progress := membership.StoreProgress{Config: edition}
	p.entry.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		progress.Targets, progress.Evacuations = r.Newest(), r.Evacuations().Newest()
	})
	return progress
}

// exchangeAdverts implements mesh.ExchangeAdverts.
func (p *peering) exchangeAdverts(_ context.Context, a *mesh.Advert) (*mesh.Advert, error) {
	p.mu.Lock()
	remembered := p.boxes.LatestIncarnation(a.Self.Box) // read before receive records the incarnation in the advert
	p.mu.Unlock()
	p.receive(a)
	reply := p.advert(a.UpdateOnly, false)
	reply.LatestIncarnation = remembered
	if a.NeedsAllLimits {
		p.addLimits(reply)
	}
	return reply, nil
}

// addLimits adds all limits and the share report to the reply to a box that has just started.
func (p *peering) addLimits(reply *mesh.Advert) {
	now := clock.Now()
	reply.Limits = p.entry.limiting.reportsForPeers(now, math.MaxInt)
	usesFallback := p.entry.limiting.usesFallback(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	reply.Share = p.shareReport(now, usesFallback)
}

// receive processes an advert of another box. If the advert shows that this box lacks a part of the
// store's contents, a round follows in which it queries a peer for that part.
func (p *peering) receive(a *mesh.Advert) {
	now := clock.Now()
	defer p.entry.limiting.dropFormerTurns(now) // after mu is unlocked; the advert may change the issuer
	source := "peer " + string(a.Self.Box)
	p.entry.timeline.observe(store.Later(store.Later(a.Targets, a.Evacuations), a.Config.At), source)
	progress := p.storeProgress()
	p.receiveFailureReports(now, a.FailureReports)
	for _, id := range a.LeavingTargets {
		p.entry.fleet.leavingReported(now, id, source)
	}
	p.entry.quarantine.receiveLifts(now, a.Lifts, source)
	p.entry.quarantine.receive(now, a.WorkObservations, source)
	p.entry.quarantine.receiveCleared(now, a.ClearedEnds, source)
	p.entry.quarantine.receiveTrials(now, a.Trials)
	p.entry.limiting.receiveReports(now, a.Limits, source)
	p.receiveRequestCounts(now, a.Self.Box, a.Organisations)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes.Receive(now, contactFrom(a.Self), a.Hall, membership.StoreProgress{Config: a.Config, Targets: a.Targets, Evacuations: a.Evacuations}, a.Leaving)
	p.boxes.ReceiveShareReport(a.Self.Box, shareReportFrom(a.Share))
	for _, c := range a.Peers {
		p.boxes.ReceiveIndirect(now, contactFrom(c), c.Age)
	}
	p.trackBehind(now, progress)
}
