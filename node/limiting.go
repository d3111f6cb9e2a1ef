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
	"clovertrail.dev/ratelimit"
	"clovertrail.dev/telemetry"
)

// limiting requests permits for targets that have named a limit, and issues permits for the services
// whose issuer this box is.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type limiting struct {
	entry *Entry

	mu         sync.Mutex
	allocator  *ratelimit.Allocator
	lastNotify time.Time // when other boxes were last notified at once of a changed limit
}

const (
	// maxPermitWait is how long a request waits for an issuer's reply. It is several times the usual
	// time of a reply, and a part of the shortest time in which callers want a response.
	maxPermitWait = 50 * time.Millisecond
	// permitRequestTimeout is the timeout of a request to an issuer, after which the request counts as failed.
	// Permits that arrive later would have nearly expired.
	permitRequestTimeout = 400 * time.Millisecond
	// otherLimitsPerRound is the number of limits that a box sends with each round of adverts in
	// addition to the recent changes, for boxes that started or were isolated in the meantime.
	otherLimitsPerRound = 2
	// minNotifyInterval is the shortest time between two rounds of adverts that are started for a
	// changed limit. A target may name a different limit in every other response.
	minNotifyInterval = 100 * time.Millisecond
)

func newLimiting(e *Entry) *limiting {
	self := domain.BoxID(e.settings().Box)
	return &limiting{entry: e, allocator: ratelimit.NewAllocator(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// limitChanged logs the changed limit of a target, and notifies other boxes at once unless they were
// notified less than minNotifyInterval ago.
func (l *limiting) limitChanged(r ratelimit.Report, source string) {
	now := clock.Now()
	l.entry.common.Log.Info("target limit", "target", r.Target, "limit", r.Limit, "age", now.Sub(r.At), "source", source)
	l.mu.Lock()
	notify := now.Sub(l.lastNotify) >= minNotifyInterval
	if notify {
		l.lastNotify = now
	}
	l.mu.Unlock()
	if notify {
		l.entry.peering.notify()
	}
}

// requestPermit implements permitFunc.
func (l *limiting) requestPermit(ctx context.Context, svc domain.ServiceName, targets []domain.InstanceID) domain.InstanceID {
	now := clock.Now()
	issuer, from := l.permitSource(now, svc)
	reports, wants := l.entry.fleet.limitReports(targets), l.entry.fleet.wants(now, targets)
	var g ratelimit.Grant
	label := "issuer" // label of the metric
	switch s := from.(type) {
	case ratelimit.Local:
		g = l.issue(now, svc, wants)
	case ratelimit.Remote:
		g = l.requestFromIssuer(ctx, svc, issuer, permitWants{reports, wants}, s.Prefetch)
	case ratelimit.Fallback:
		g, label = l.issueFallback(now, svc, issuer.Box, wants), "own part"
		if s.Probe != "" {
			l.requestFromIssuer(ctx, svc, issuer, permitWants{}, true) // only checks whether the issuer replies
		}
	case ratelimit.Pending: // no permit until the issuer replies to the request in progress
	}
	if g.Permits == 0 {
		label = "none"
	}
	l.entry.common.Metrics.Count(telemetry.Permits, label, max(g.Permits, 1))
	return l.entry.fleet.useGrant(now, g)
}

// permitSource returns the issuer of the service, and where permits for the service come from. If the
// source requires a request to the issuer, the request is recorded as sent.
func (l *limiting) permitSource(now time.Time, svc domain.ServiceName) (membership.Contact, ratelimit.Source) {
	issuer := l.entry.peering.issuer(now, svc)
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.allocator.Source(now, svc, issuer.Box)
	switch s := from.(type) {
	case ratelimit.Remote:
		l.allocator.RequestSent(issuer.Box)
	case ratelimit.Fallback:
		if s.Probe != "" {
			l.allocator.RequestSent(issuer.Box)
		}
	}
	return issuer, from
}

// isIssuer reports whether this box issues the permits of the service. issuer is the issuer according to
// the boxes that this one knows.
func (l *limiting) isIssuer(issuer domain.BoxID, svc domain.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.IsIssuer(issuer, svc)
}

// permitWants are the targets that a request to an issuer is about, in order of preference, with the limits
// that they have named.
type permitWants struct {
	reports []ratelimit.Report
	wants   []ratelimit.Want
}

// permitRequest is a request for permits to an issuer.
type permitRequest struct {
	svc    domain.ServiceName
	issuer membership.Contact
	sentAt time.Time
	// detached reports whether no caller's request waits for the reply, so that its permits are stored
	// for later requests. It is guarded by limiting's mu.
	detached bool
	reply    chan ratelimit.Grant
}

// requestFromIssuer requests permits from the issuer. It waits at most maxPermitWait for the reply, and
// not at all with prefetch; permits that arrive later are stored for other requests. If the caller leaves
// in the meantime the reply is still awaited, so that the issuer does not count as failed.
func (l *limiting) requestFromIssuer(ctx context.Context, svc domain.ServiceName, issuer membership.Contact, w permitWants, prefetch bool) ratelimit.Grant {
	r := &permitRequest{svc: svc, issuer: issuer, sentAt: clock.Now(), detached: prefetch, reply: make(chan ratelimit.Grant, 1)}
	go l.send(context.WithoutCancel(ctx), r, w)
	if prefetch {
		return ratelimit.Grant{}
	}
	timer := clock.AfterFunc(r.sentAt.Add(maxPermitWait), func() { l.replyOverdue(r) })
	defer timer.Stop()
	return <-r.reply
}

// replyOverdue detaches the request from the caller's request, which goes on without a permit.
func (l *limiting) replyOverdue(r *permitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(r.reply) > 0 {
		return // the reply has just arrived
	}
	r.detached = true
	l.allocator.ReplyOverdue(r.issuer.Box)
	r.reply <- ratelimit.Grant{}
}

// send sends the request to the issuer. It passes the granted permits on to the caller's request that
// waits, or stores them if none does.
func (l *limiting) send(ctx context.Context, r *permitRequest, w permitWants) {
	ctx, cancel := context.WithTimeout(ctx, permitRequestTimeout)
	defer cancel()
	query := &mesh.PermitQuery{Service: r.svc, Wants: mesh.NewPermitWants(w.wants)}
	for _, report := range w.reports {
		query.Limits = append(query.Limits, mesh.NewLimitReport(r.sentAt, report))
	}
	reply, err := mesh.Call[mesh.PermitQuery, mesh.PermitReply](ctx, l.entry.mesh, r.issuer.Address, mesh.Permit, query)
	now := clock.Now()
	var g ratelimit.Grant
	if err == nil {
		g = reply.Grant(now)
		g.By = ratelimit.Assigner{Service: r.svc, Issuer: r.issuer.Box}
	}
	l.mu.Lock()
	changed := l.recordReply(now, r, reply, err)
	detached := r.detached
	if !detached {
		r.reply <- g
	}
	l.mu.Unlock()
	if detached {
		l.entry.fleet.storeGrant(r.sentAt, g)
	}
	if changed {
		l.dropFormerTurns(now)
		l.entry.peering.notify() // other boxes count this one by whether it uses its fallback share
	}
}

// dropFormerTurns drops the turns of issuers that are replaced or do not reply, and those of the fallback
// share once the issuer replies.
func (l *limiting) dropFormerTurns(now time.Time) {
	for _, svc := range l.entry.fleet.servicesWithTurns(now) {
		issuer := l.entry.peering.issuer(now, svc)
		l.mu.Lock()
		by := l.allocator.Assigner(svc, issuer.Box)
		l.mu.Unlock()
		l.entry.fleet.dropFormerTurns(by)
	}
}

// recordReply records the reply to a request or its failure. It logs and returns whether the issuer starts
// or ceases to reply with permits. mu is held.
func (l *limiting) recordReply(now time.Time, r *permitRequest, reply *mesh.PermitReply, err error) bool {
	log := l.entry.common.Log.With("service", r.svc, "peer", r.issuer.Box, "after", now.Sub(r.sentAt))
	switch {
	case err != nil && l.allocator.RequestFailed(now, r.issuer.Box):
		log.Warn("permit request to issuer failed, using the fallback share of limits", "err", err)
	case err == nil && !reply.Issuer && l.allocator.RequestDeclined(now, r.issuer.Box):
		log.Info("permit request declined by a box that is not the issuer, using the fallback share of limits")
	case err == nil && reply.Issuer && l.allocator.ReplyReceived(r.svc, r.issuer.Box, now.Sub(r.sentAt) <= maxPermitWait):
		log.Info("issuer replies again, using the permits that it issues")
	default:
		return false
	}
	return true
}

// issue issues permits as the issuer of the service.
func (l *limiting) issue(now time.Time, svc domain.ServiceName, wants []ratelimit.Want) ratelimit.Grant {
	served, sharers := l.entry.peering.issuerShare(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.Issue(now, svc, wants, ratelimit.Share(served, sharers))
}

// issueFallback issues permits to this box from its fallback share. issuer is the issuer according to the
// boxes that this one knows.
func (l *limiting) issueFallback(now time.Time, svc domain.ServiceName, issuer domain.BoxID, wants []ratelimit.Want) ratelimit.Grant {
	_, sharers := l.entry.peering.issuerShare(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.IssueFallback(now, svc, issuer, wants, ratelimit.Share(1, sharers))
}

// permit implements mesh.Permit.
func (l *limiting) permit(_ context.Context, q *mesh.PermitQuery) (*mesh.PermitReply, error) {
	now := clock.Now()
	if issuer := l.entry.peering.issuer(now, q.Service); !l.isIssuer(issuer.Box, q.Service) {
		return &mesh.PermitReply{}, nil
	}
	var targets []domain.InstanceID
	for _, r := range l.receiveReports(now, q.Limits, "asker") {
		targets = append(targets, r.Target)
	}
	wants := ratelimit.LowerRates(l.entry.fleet.wants(now, q.Targets(targets)), q.StatedRates())
	return mesh.NewPermitReply(now, l.issue(now, q.Service, wants)), nil
}

// receiveReports records the limit reports that another box sent, and returns those that are valid. The
// source is for the log.
func (l *limiting) receiveReports(now time.Time, list []mesh.LimitReport, source string) []ratelimit.Report {
	var reports []ratelimit.Report
	for _, m := range list {
		if r, ok := m.Report(now); ok {
			reports = append(reports, r)
		}
	}
	l.entry.fleet.updateLimits(now, reports, source)
	return reports
}

// reportsForPeers returns the limit reports to send to other boxes: all recent changes, and some of the
// remaining reports, whose number is bounded by others.
func (l *limiting) reportsForPeers(now time.Time, others int) []mesh.LimitReport {
	var list []mesh.LimitReport
	for _, r := range l.entry.fleet.limitReportsForPeers(now, others) {
		list = append(list, mesh.NewLimitReport(now, r))
	}
	return list
}

// usesFallback reports whether this box uses its fallback share of limits.
func (l *limiting) usesFallback(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.UsesFallback(now)
}
