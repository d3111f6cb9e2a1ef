package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/gateway"
	"clovertrail.dev/membership"
	"clovertrail.dev/routing"
)

// comeBack is when a caller is asked to come again if a service has no target: the
// time that a lost group takes to notice and form anew is of this order.
const comeBack = time.Second

// fleet guards what the box knows of targets, and chooses among them. It implements
// gateway.Fleet.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type fleet struct {
	mu       sync.Mutex
	hall     domain.HallName
	roster   *membership.Roster
	balancer *routing.Balancer
}

func newFleet(hall domain.HallName, p membership.RosterPolicy) *fleet {
	return &fleet{
		hall:     hall,
		roster:   membership.NewRoster(p),
		balancer: routing.NewBalancer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// with runs f under the lock.
func (f *fleet) with(run func(*membership.Roster, *routing.Balancer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run(f.roster, f.balancer)
}

// Acquire implements gateway.Fleet.
func (f *fleet) Acquire(now time.Time, q gateway.Query) (gateway.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var options []routing.Option
	for _, u := range f.roster.Usable(now, q.Service) {
		if u.Standing < membership.Unfit && !slices.Contains(q.Tried, u.Target.ID()) {
			options = append(options, optionOf(u))
		}
	}
	chosen, ok := f.balancer.Pick(now, f.hall, options)
	if !ok {
		return nil, fault.New(fault.NoTarget, "service %s has no target that takes requests", q.Service).RetryAt(now.Add(comeBack))
	}
	t, _ := f.roster.Get(chosen.ID) // it was listed a moment ago
	return &place{fleet: f, target: t, ticket: f.balancer.Sent(now, chosen.ID)}, nil
}

func optionOf(u membership.Usable) routing.Option {
	o := routing.Option{ID: u.Target.ID(), Hall: u.Target.Hall(), Slots: u.Target.Slots(), Tier: int(u.Standing)}
	if r, ok := u.Target.Rank(); ok {
		o.Group = r.Group
	}
	return o
}

// Blame implements gateway.Fleet.
func (f *fleet) Blame(id domain.InstanceID) {
	f.with(func(r *membership.Roster, _ *routing.Balancer) { r.Unreachable(time.Now(), id) })
}

// place is a place at a target. It implements gateway.Lease.
type place struct {
	fleet  *fleet
	target domain.Target
	ticket *routing.Ticket
}

// Target implements gateway.Lease.
func (p *place) Target() domain.Target { return p.target }

// Load implements gateway.Lease.
func (p *place) Load(l call.Load) {
	p.fleet.with(func(_ *membership.Roster, b *routing.Balancer) {
		b.Report(time.Now(), p.target.ID(), routing.Report{Running: l.Running, Waiting: l.Waiting})
	})
}

// Began implements gateway.Lease.
func (p *place) Began() {}

// End implements gateway.Lease.
func (p *place) End(v gateway.Verdict) {
	now := time.Now()
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		b.Ended(now, p.ticket)
		switch v {
		case gateway.Good:
			r.Succeeded(p.target.ID())
		case gateway.Bad:
			r.Failed(now, p.target.ID())
		case gateway.Unreachable:
			r.Unreachable(now, p.target.ID())
		case gateway.Replaced:
			r.Replaced(p.target.ID())
		}
	})
}
