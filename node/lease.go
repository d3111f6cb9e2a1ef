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

// lease is a lease at a target. It implements gateway.Lease.
type lease struct {
	fleet      *fleet
	target     domain.Target
	option     routing.Option
	ticket     *routing.Ticket
	acquiredAt time.Time
	// permitted reports that the target has a limit, and that there is a permit for the attempt.
	permitted bool
}

// Target implements gateway.Lease.
func (p *lease) Target() domain.Target { return p.target }

// Witness implements gateway.Lease.
func (p *lease) Witness() string { return p.fleet.witness(p.target) }

// MaySend implements gateway.Lease.
func (p *lease) MaySend(now time.Time) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	id := p.target.ID()
	if !p.fleet.roster.AcceptsWork(now, id) {
		return false
	}
	return p.fleet.limits.MaySend(now, id, p.permitted, p.acquiredAt)
}

// UpdateStatus implements gateway.Lease.
func (p *lease) UpdateStatus(now time.Time, a call.Answer) {
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		if l := a.Load; l != nil {
			b.Report(now, p.target.ID(), routing.Report{Running: l.Running, Waiting: l.Waiting})
		}
		if until := a.RestUntil(); !until.IsZero() {
			r.RestRequested(p.target.ID(), until)
		}
		if a.NoRoom(p.target.ID().Listed()) {
			r.Rejected(now, p.target.ID())
		}
	})
	if a.Leaving {
		p.fleet.leavingReported(now, p.target.ID(), "answer")
	}
	p.fleet.recordLimit(now, p.target.ID(), a.Limit, p.acquiredAt)
}

// ResponseOverdue implements gateway.Lease.
func (p *lease) ResponseOverdue() {
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) { p.reportFailure(clock.Now(), r, b) })
}

// reportFailure records that it let this box down, unless its whole group
// stands still, which is no fault of one rank. The fleet is locked.
func (p *lease) reportFailure(now time.Time, r *membership.Roster, b *routing.Balancer) {
	if !b.IsStepping(now, p.option) {
		return
	}
	tell, ejected := r.ReportFailure(now, p.target.ID())
	if tell {
		p.fleet.onFailure()
	}
	if ejected {
		p.fleet.onEjected(p.target.ID())
	}
}

// ResponseStarted implements gateway.Lease.
func (p *lease) ResponseStarted() {
	p.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.Began(clock.Now(), p.ticket) })
}

// IsStraggler implements gateway.Lease.
func (p *lease) IsStraggler(now time.Time, tried []domain.InstanceID) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.balancer.IsStraggler(now, p.option, p.fleet.options(now, p.target.Service(), tried))
}

// ReportEventGap implements gateway.Lease.
func (p *lease) ReportEventGap(pause, objective time.Duration) {
	p.fleet.with(func(_ *membership.Roster, b *routing.Balancer) {
		b.RecordPause(clock.Now(), p.option, pause, objective)
	})
}

// Release implements gateway.Lease.
func (p *lease) Release(v gateway.Verdict) {
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
