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

// lease is the use of a target for one attempt. It implements gateway.Lease.
type lease struct {
	fleet      *fleet
	target     domain.Target
	option     routing.Option
	ticket     *routing.Ticket
	acquiredAt time.Time
	// permitted reports whether the target has a limit, and a permit is used for the attempt.
	permitted bool
}

// Target implements gateway.Lease.
func (l *lease) Target() domain.Target { return l.target }

// Witnesses implements gateway.Lease.
func (l *lease) Witnesses() []string { return l.fleet.witnesses(l.target) }

// MaySend implements gateway.Lease.
func (l *lease) MaySend(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	id := l.target.ID()
	if !l.fleet.roster.AcceptsWork(now, id) {
		return false
	}
	return l.fleet.limits.MaySend(now, id, l.permitted, l.acquiredAt)
}

// UpdateStatus implements gateway.Lease.
func (l *lease) UpdateStatus(now time.Time, a call.Response) {
	l.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		if a.Load != nil {
			b.Report(now, l.target.ID(), routing.Report{Running: a.Load.Running, Waiting: a.Load.Waiting})
		}
		if until := a.RestUntil(); !until.IsZero() {
			r.RestRequested(l.target.ID(), until)
		}
		if a.AtCapacity(l.target.ID().ListedID()) {
			r.Rejected(now, l.target.ID())
		}
		if a.GroupStopped(l.target.ID().ListedID()) {
			r.GroupStopped(now, l.target.ID())
		}
	})
	if a.Leaving {
		l.fleet.leavingReported(now, l.target.ID(), "answer")
	}
	l.fleet.recordLimit(now, l.target.ID(), a.Limit, l.acquiredAt)
}

// ResponseOverdue implements gateway.Lease.
func (l *lease) ResponseOverdue() {
	l.fleet.with(func(r *membership.Roster, b *routing.Balancer) { l.reportFault(clock.Now(), r, b) })
}

// reportFault records a fault of the target. The fleet's lock is held.
func (l *lease) reportFault(now time.Time, r *membership.Roster, b *routing.Balancer) {
	notify, ejected := r.ReportFault(now, membership.Fault{Target: l.target.ID(), GroupSteps: b.IsStepping(now, l.option)})
	if notify {
		l.fleet.onFailure()
	}
	if ejected {
		l.fleet.onEjected(l.target.ID())
	}
}

// ResponseStarted implements gateway.Lease.
func (l *lease) ResponseStarted() {
	l.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.Began(clock.Now(), l.ticket) })
}

// IsStraggler implements gateway.Lease.
func (l *lease) IsStraggler(now time.Time, tried []domain.InstanceID) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.balancer.IsStraggler(now, l.option, l.fleet.untriedOptions(now, l.target.Service(), tried, false))
}

// GroupInterrupted implements gateway.Lease.
func (l *lease) GroupInterrupted(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.roster.GroupInterrupted(now, l.target.ID(), l.acquiredAt)
}

// ReportEventGap implements gateway.Lease.
func (l *lease) ReportEventGap(gap, objective time.Duration) {
	l.fleet.with(func(_ *membership.Roster, b *routing.Balancer) {
		now := clock.Now()
		b.Paused(l.ticket, gap)
		b.RecordPause(now, l.option, gap, objective)
		l.fleet.shedding.limiters.ObserveGap(now, l.option.Group, gap, objective)
	})
}

// Release implements gateway.Lease.
func (l *lease) Release(v gateway.Verdict) {
	now := clock.Now()
	l.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		if v == gateway.Good {
			b.Answered(now, l.ticket)
		} else {
			b.Ended(now, l.ticket)
		}
		switch v {
		case gateway.Good:
			r.Succeeded(now, l.target.ID())
		case gateway.Bad:
			r.Failed(now, l.target.ID())
			l.reportFault(now, r, b)
		case gateway.Full:
			r.Failed(now, l.target.ID())
		case gateway.Unreachable, gateway.ProcessEnded:
			r.Unreachable(now, l.target.ID())
		case gateway.Replaced:
			r.Replaced(l.target.ID())
		}
	})
}
