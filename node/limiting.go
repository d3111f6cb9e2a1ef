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

// limiting gets permits for targets that name a limit, and hands them out where this box is the
// issuer of a service.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type limiting struct {
	entry *Entry

	mu         sync.Mutex
	allocator  *ratelimit.Allocator
	lastNotify time.Time // other boxes were last informed of a limit at once
}

const (
	// permitTimeout is how long a request waits for an issuer's answer: several usual ones, and a part
	// of the shortest time in which callers want theirs.
	permitTimeout = 50 * time.Millisecond
	// issuerTimeout is after how long an issuer that has not answered counts as silent: what it hands
	// out has nearly lapsed by then.
	issuerTimeout = 400 * time.Millisecond
	// otherLimitsPerRound is how many limits a box tells with each round besides those that are news, for
	// boxes that started or were cut off meanwhile.
	otherLimitsPerRound = 2
	// minNotifyInterval is the least time between two rounds that come at once for news of limits. A target
	// may name one with every other answer.
	minNotifyInterval = 100 * time.Millisecond
)

func newLimiting(e *Entry) *limiting {
	self := domain.BoxID(e.settings().Box)
	return &limiting{entry: e, allocator: ratelimit.NewAllocator(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// limitChanged logs that a target has another limit than before, and notifies other boxes at once.
func (l *limiting) limitChanged(w ratelimit.Report, source string) {
	now := clock.Now()
	l.entry.common.Log.Info("target limit", "target", w.Target, "limit", w.Limit, "age", now.Sub(w.At), "source", source)
	l.mu.Lock()
	kick := now.Sub(l.lastNotify) >= minNotifyInterval
	if kick {
		l.lastNotify = now
	}
	l.mu.Unlock()
	if kick {
		l.entry.peering.notify()
	}
}

// requestPermit implements permitting.
func (l *limiting) requestPermit(ctx context.Context, svc domain.ServiceName, targets []domain.InstanceID) domain.InstanceID {
	now := clock.Now()
	issuer, way := l.permitSource(now, svc)
	reports := l.entry.fleet.limitReports(targets)
	var g ratelimit.Grant
	source := "issuer"
	switch w := way.(type) {
	case ratelimit.Local:
		g = l.issue(now, svc, reports)
	case ratelimit.Remote:
		g = l.requestFromIssuer(ctx, svc, issuer, reports, w.Prefetch)
	case ratelimit.Fallback:
		g, source = l.issueFallback(now, svc, reports), "own part"
		if w.Probe != "" {
			l.requestFromIssuer(ctx, svc, issuer, nil, true) // it only finds out whether the issuer answers
		}
	case ratelimit.Pending: // there is none now
	}
	if g.Permits == 0 {
		source = "none"
	}
	l.entry.common.Metrics.Count(telemetry.Permits, source, max(g.Permits, 1))
	return l.entry.fleet.useGrant(now, g)
}

// permitSource is where permits for the service come from, and who is its issuer. Where that is to be asked
// it counts as asked from now on.
func (l *limiting) permitSource(now time.Time, svc domain.ServiceName) (membership.Contact, ratelimit.Source) {
	issuer := l.entry.peering.issuer(now, svc)
	l.mu.Lock()
	defer l.mu.Unlock()
	way := l.allocator.Source(now, svc, issuer.Box)
	switch w := way.(type) {
	case ratelimit.Remote:
		l.allocator.RequestSent(issuer.Box)
	case ratelimit.Fallback:
		if w.Probe != "" {
			l.allocator.RequestSent(issuer.Box)
		}
	}
	return issuer, way
}

// isIssuer reports whether this box isIssuer the service's issuer, which isIssuer the box.
func (l *limiting) isIssuer(issuer domain.BoxID, svc domain.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.IsIssuer(issuer, svc)
}

// permitRequest is one to an issuer, whose answer a request may wait for.
type permitRequest struct {
	svc    domain.ServiceName
	issuer membership.Contact
	asked  time.Time
	// waited reports that the request waits no more, and that what comes is for later ones. It is
	// guarded by limiting's mu.
	waited bool
	answer chan ratelimit.Grant
}

// requestFromIssuer asks the issuer. The request waits for the answer for permitWithin at the most, and not at all
// where permits are asked for ahead; what comes later is kept for other requests. If the caller
// leaves meanwhile the answer is waited for all the same: the issuer is not silent for that.
func (l *limiting) requestFromIssuer(ctx context.Context, svc domain.ServiceName, issuer membership.Contact, reports []ratelimit.Report, ahead bool) ratelimit.Grant {
	q := &permitRequest{svc: svc, issuer: issuer, asked: clock.Now(), waited: ahead, answer: make(chan ratelimit.Grant, 1)}
	go l.send(context.WithoutCancel(ctx), q, reports)
	if ahead {
		return ratelimit.Grant{}
	}
	late := clock.AfterFunc(q.asked.Add(permitTimeout), func() { l.replyOverdue(q) })
	defer late.Stop()
	return <-q.answer
}

// replyOverdue lets the request go on without an answer.
func (l *limiting) replyOverdue(q *permitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q.answer) > 0 {
		return // it has come just now
	}
	q.waited = true
	l.allocator.ReplyOverdue(q.issuer.Box)
	q.answer <- ratelimit.Grant{}
}

// send asks the question and hands its answer on.
func (l *limiting) send(ctx context.Context, q *permitRequest, reports []ratelimit.Report) {
	ctx, cancel := context.WithTimeout(ctx, issuerTimeout)
	defer cancel()
	ask := &mesh.PermitQuery{Service: q.svc}
	for _, w := range reports {
		ask.Wants = append(ask.Wants, mesh.LimitReportOf(q.asked, w))
	}
	r, err := mesh.Call[mesh.PermitQuery, mesh.PermitReply](ctx, l.entry.mesh, q.issuer.Address, mesh.Permit, ask)
	now := clock.Now()
	var g ratelimit.Grant
	if err == nil {
		g = r.Grant(now)
	}
	l.mu.Lock()
	l.recordReply(now, q, r, err)
	later := q.waited
	if !later {
		q.answer <- g
	}
	l.mu.Unlock()
	if later {
		l.entry.fleet.storeGrant(q.asked, g)
	}
}

// recordReply takes what became of a question, and logs what is new about its issuer; mu is held.
func (l *limiting) recordReply(now time.Time, q *permitRequest, r *mesh.PermitReply, err error) {
	log := l.entry.common.Log.With("service", q.svc, "peer", q.issuer.Box, "after", now.Sub(q.asked))
	switch {
	case err != nil && l.allocator.RequestFailed(now, q.issuer.Box):
		log.Warn("issuer lost", "err", err)
		l.entry.peering.notify()
	case err == nil && !r.Issuer && l.allocator.RequestDeclined(now, q.issuer.Box):
		log.Info("box is not the issuer")
		l.entry.peering.notify()
	case err == nil && r.Issuer && l.allocator.ReplyReceived(q.svc, q.issuer.Box, now.Sub(q.asked) <= permitTimeout):
		log.Info("issuer regained")
	}
}

// issue hands out permits as the issuer of the service.
func (l *limiting) issue(now time.Time, svc domain.ServiceName, reports []ratelimit.Report) ratelimit.Grant {
	heard, sharing := l.entry.peering.part(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.Issue(now, svc, wantsOf(reports), ratelimit.Share(heard, sharing))
}

// issueFallback hands out permits by this box's issueFallback part.
func (l *limiting) issueFallback(now time.Time, svc domain.ServiceName, reports []ratelimit.Report) ratelimit.Grant {
	_, sharing := l.entry.peering.part(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.IssueFallback(now, svc, wantsOf(reports), ratelimit.Share(1, sharing))
}

// wantsOf are the targets of the reports, with what they get a second.
func wantsOf(reports []ratelimit.Report) []ratelimit.Want {
	var list []ratelimit.Want
	for _, w := range reports {
		list = append(list, ratelimit.Want{Target: w.Target, Rate: ratelimit.Rate(w.Limit)})
	}
	return list
}

// permit implements mesh.Permit.
func (l *limiting) permit(_ context.Context, q *mesh.PermitQuery) (*mesh.PermitReply, error) {
	now := clock.Now()
	if issuer := l.entry.peering.issuer(now, q.Service); !l.isIssuer(issuer.Box, q.Service) {
		return &mesh.PermitReply{}, nil
	}
	var asked []domain.InstanceID
	for _, w := range l.receiveReports(now, q.Wants, "asker") {
		asked = append(asked, w.Target)
	}
	return mesh.ReplyOf(now, l.issue(now, q.Service, l.entry.fleet.limitReports(asked))), nil
}

// receiveReports takes what another box reports about limits, and returns it.
func (l *limiting) receiveReports(now time.Time, list []mesh.LimitReport, source string) []ratelimit.Report {
	var reports []ratelimit.Report
	for _, m := range list {
		if w, ok := m.Report(now); ok {
			reports = append(reports, w)
		}
	}
	l.entry.fleet.updateLimits(now, reports, source)
	return reports
}

// reportsForPeers is what other boxes are sent about limits: news, and so many others.
func (l *limiting) reportsForPeers(now time.Time, others int) []mesh.LimitReport {
	var list []mesh.LimitReport
	for _, w := range l.entry.fleet.limitReportsForPeers(now, others) {
		list = append(list, mesh.LimitReportOf(now, w))
	}
	return list
}

// usesFallback reports whether this box goes by its own part of limits.
func (l *limiting) usesFallback(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.UsesFallback(now)
}
