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

	mu        sync.Mutex
	allocator *ratelimit.Allocator
	kicked    time.Time // other boxes were last informed of a limit at once
}

const (
	// permitWithin is how long a request waits for an issuer's answer: several usual ones, and a part
	// of the shortest time in which callers want theirs.
	permitWithin = 50 * time.Millisecond
	// silentAfter is after how long an issuer that has not answered counts as silent: what it hands
	// out has nearly lapsed by then.
	silentAfter = 400 * time.Millisecond
	// toldEach is how many limits a box tells with each round besides those that are news, for
	// boxes that started or were cut off meanwhile.
	toldEach = 2
	// kickEvery is the least time between two rounds that come at once for news of limits. A target
	// may name one with every other answer.
	kickEvery = 100 * time.Millisecond
)

func newLimiting(e *Entry) *limiting {
	self := domain.BoxID(e.settings().Box)
	return &limiting{entry: e, allocator: ratelimit.NewAllocator(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// named logs that a target has another limit than before, and notifies other boxes at once.
func (l *limiting) named(w ratelimit.Report, source string) {
	now := clock.Now()
	l.entry.common.Log.Info("target limit", "target", w.Target, "limit", w.Limit, "age", now.Sub(w.At), "source", source)
	l.mu.Lock()
	kick := now.Sub(l.kicked) >= kickEvery
	if kick {
		l.kicked = now
	}
	l.mu.Unlock()
	if kick {
		l.entry.peering.notify()
	}
}

// permits implements permitting.
func (l *limiting) permits(ctx context.Context, svc domain.ServiceName, targets []domain.InstanceID) domain.InstanceID {
	now := clock.Now()
	issuer, way := l.way(now, svc)
	reports := l.entry.fleet.reports(targets)
	var g ratelimit.Grant
	source := "issuer"
	switch w := way.(type) {
	case ratelimit.Local:
		g = l.issue(now, svc, reports)
	case ratelimit.Remote:
		g = l.ask(ctx, svc, issuer, reports, w.Prefetch)
	case ratelimit.Fallback:
		g, source = l.own(now, svc, reports), "own part"
		if w.Probe != "" {
			l.ask(ctx, svc, issuer, nil, true) // it only finds out whether the issuer answers
		}
	case ratelimit.Pending: // there is none now
	}
	if g.Permits == 0 {
		source = "none"
	}
	l.entry.common.Metrics.Count(telemetry.Permits, source, max(g.Permits, 1))
	return l.entry.fleet.granted(now, g)
}

// way is where permits for the service come from, and who is its issuer. Where that is to be asked
// it counts as asked from now on.
func (l *limiting) way(now time.Time, svc domain.ServiceName) (membership.Contact, ratelimit.Source) {
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

// is reports whether this box is the service's issuer, which is the box.
func (l *limiting) is(issuer domain.BoxID, svc domain.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.IsIssuer(issuer, svc)
}

// question is one to an issuer, whose answer a request may wait for.
type question struct {
	svc    domain.ServiceName
	issuer membership.Contact
	asked  time.Time
	// waited reports that the request waits no more, and that what comes is for later ones. It is
	// guarded by limiting's mu.
	waited bool
	answer chan ratelimit.Grant
}

// ask asks the issuer. The request waits for the answer for permitWithin at the most, and not at all
// where permits are asked for ahead; what comes later is kept for other requests. If the caller
// leaves meanwhile the answer is waited for all the same: the issuer is not silent for that.
func (l *limiting) ask(ctx context.Context, svc domain.ServiceName, issuer membership.Contact, reports []ratelimit.Report, ahead bool) ratelimit.Grant {
	q := &question{svc: svc, issuer: issuer, asked: clock.Now(), waited: ahead, answer: make(chan ratelimit.Grant, 1)}
	go l.put(context.WithoutCancel(ctx), q, reports)
	if ahead {
		return ratelimit.Grant{}
	}
	late := clock.AfterFunc(q.asked.Add(permitWithin), func() { l.overdue(q) })
	defer late.Stop()
	return <-q.answer
}

// overdue lets the request go on without an answer.
func (l *limiting) overdue(q *question) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q.answer) > 0 {
		return // it has come just now
	}
	q.waited = true
	l.allocator.ReplyOverdue(q.issuer.Box)
	q.answer <- ratelimit.Grant{}
}

// put asks the question and hands its answer on.
func (l *limiting) put(ctx context.Context, q *question, reports []ratelimit.Report) {
	ctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	ask := &mesh.PermitQuery{Service: q.svc}
	for _, w := range reports {
		ask.Limits = append(ask.Limits, mesh.NewLimitReport(q.asked, w))
	}
	r, err := mesh.Call[mesh.PermitQuery, mesh.PermitReply](ctx, l.entry.mesh, q.issuer.Address, mesh.Permit, ask)
	now := clock.Now()
	var g ratelimit.Grant
	if err == nil {
		g = r.Grant(now)
	}
	l.mu.Lock()
	l.note(now, q, r, err)
	later := q.waited
	if !later {
		q.answer <- g
	}
	l.mu.Unlock()
	if later {
		l.entry.fleet.keep(q.asked, g)
	}
}

// note takes what became of a question, and logs what is new about its issuer; mu is held.
func (l *limiting) note(now time.Time, q *question, r *mesh.PermitReply, err error) {
	log := l.entry.common.Log.With("service", q.svc, "peer", q.issuer.Box, "after", now.Sub(q.asked))
	switch {
	case err != nil && l.allocator.RequestFailed(now, q.issuer.Box):
		log.Warn("issuer lost", "err", err)
		l.entry.peering.notify()
	case err == nil && !r.Issuer && l.allocator.RequestDeclined(now, q.issuer.Box):
		log.Info("box is not the issuer")
		l.entry.peering.notify()
	case err == nil && r.Issuer && l.allocator.ReplyReceived(q.svc, q.issuer.Box, now.Sub(q.asked) <= permitWithin):
		log.Info("issuer regained")
	}
}

// issue hands out permits as the issuer of the service.
func (l *limiting) issue(now time.Time, svc domain.ServiceName, reports []ratelimit.Report) ratelimit.Grant {
	heard, sharing := l.entry.peering.issuerShare(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.Issue(now, svc, wants(reports), ratelimit.Share(heard, sharing))
}

// own hands out permits by this box's own part.
func (l *limiting) own(now time.Time, svc domain.ServiceName, reports []ratelimit.Report) ratelimit.Grant {
	_, sharing := l.entry.peering.issuerShare(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.IssueFallback(now, svc, wants(reports), ratelimit.Share(1, sharing))
}

// wants are the targets of the reports, with what they get a second.
func wants(reports []ratelimit.Report) []ratelimit.Want {
	var list []ratelimit.Want
	for _, w := range reports {
		list = append(list, ratelimit.Want{Target: w.Target, Rate: ratelimit.Rate(w.Limit)})
	}
	return list
}

// permit implements mesh.Permit.
func (l *limiting) permit(_ context.Context, q *mesh.PermitQuery) (*mesh.PermitReply, error) {
	now := clock.Now()
	if issuer := l.entry.peering.issuer(now, q.Service); !l.is(issuer.Box, q.Service) {
		return &mesh.PermitReply{}, nil
	}
	var asked []domain.InstanceID
	for _, w := range l.receive(now, q.Limits, "asker") {
		asked = append(asked, w.Target)
	}
	return mesh.NewPermitReply(now, l.issue(now, q.Service, l.entry.fleet.reports(asked))), nil
}

// receive takes what another box reports about limits, and returns it.
func (l *limiting) receive(now time.Time, list []mesh.LimitReport, source string) []ratelimit.Report {
	var reports []ratelimit.Report
	for _, m := range list {
		if w, ok := m.Report(now); ok {
			reports = append(reports, w)
		}
	}
	l.entry.fleet.learn(now, reports, source)
	return reports
}

// reports is what other boxes are sent about limits: news, and so many others.
func (l *limiting) reports(now time.Time, others int) []mesh.LimitReport {
	var list []mesh.LimitReport
	for _, w := range l.entry.fleet.limitReports(now, others) {
		list = append(list, mesh.NewLimitReport(now, w))
	}
	return list
}

// apart reports whether this box goes by its own part of limits.
func (l *limiting) apart(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.UsesFallback(now)
}
