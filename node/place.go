package node

import (
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/gateway"
	"clovertrail.dev/membership"
	"clovertrail.dev/routing"
)

// place is a place at a target. It implements gateway.Lease.
type place struct {
	fleet  *fleet
	target domain.Target
	option routing.Option
	ticket *routing.Ticket
	taken  time.Time
	// permitted reports that the target has a limit, and that there is a permit for the attempt.
	permitted bool
}

// Target implements gateway.Lease.
func (p *place) Target() domain.Target { return p.target }

// Witness implements gateway.Lease.
func (p *place) Witness() string { return p.fleet.witness(p.target) }

// MaySend implements gateway.Lease.
func (p *place) MaySend(now time.Time) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	id := p.target.ID()
	if !p.fleet.roster.AcceptsWork(now, id) {
		return false
	}
	return p.fleet.limits.MaySend(now, id, p.permitted, p.taken)
}

// UpdateStatus implements gateway.Lease.
func (p *place) UpdateStatus(now time.Time, a call.Response) {
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		if l := a.Load; l != nil {
			b.Report(now, p.target.ID(), routing.Report{Running: l.Running, Waiting: l.Waiting})
		}
		if until := a.RestUntil(); !until.IsZero() {
			r.RestRequested(p.target.ID(), until)
		}
		if a.AtCapacity(p.target.ID().ListedID()) {
			r.Rejected(now, p.target.ID())
		}
	})
	if a.Leaving {
		p.fleet.leaves(now, p.target.ID(), "answer")
	}
	p.fleet.names(now, p.target.ID(), a.Limit, p.taken)
}

// ResponseOverdue implements gateway.Lease.
func (p *place) ResponseOverdue() {
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) { p.reportFailure(clock.Now(), r, b) })
}

// reportFailure records that it let this box down, unless its whole group
// stands still, which is no fault of one rank. The fleet is locked.
func (p *place) reportFailure(now time.Time, r *membership.Roster, b *routing.Balancer) {
	if !b.IsStepping(now, p.option) {
		return
	}
	tell, ejected := r.ReportFailure(now, p.target.ID())
	if tell {
		p.fleet.letDown()
	}
	if ejected {
		p.fleet.ejected(p.target.ID())
	}
}

// ResponseStarted implements gateway.Lease.
func (p *place) ResponseStarted() {
	p.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.Began(clock.Now(), p.ticket) })
}

// IsStraggler implements gateway.Lease.
func (p *place) IsStraggler(now time.Time, tried []domain.InstanceID) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.balancer.IsStraggler(now, p.option, p.fleet.options(now, p.target.Service(), tried))
}

// ReportEventGap implements gateway.Lease.
func (p *place) ReportEventGap(pause, aim time.Duration) {
	p.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.RecordPause(clock.Now(), p.option, pause, aim) })
}

// Release implements gateway.Lease.
func (p *place) Release(v gateway.Verdict) {
	now := clock.Now()
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		b.Ended(now, p.ticket)
		switch v {
		case gateway.Good:
			r.Succeeded(now, p.target.ID())
		case gateway.Bad:
			r.Failed(now, p.target.ID())
			p.reportFailure(now, r, b)
		case gateway.Full:
			r.Failed(now, p.target.ID())
		case gateway.Unreachable, gateway.ProcessEnded:
			r.Unreachable(now, p.target.ID())
		case gateway.Replaced:
			r.Replaced(p.target.ID())
		}
	})
}
