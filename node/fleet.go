package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/gateway"
	"clovertrail.dev/membership"
	"clovertrail.dev/routing"
)

// fleet guards what the box knows of targets, and chooses among them. It implements
// gateway.Fleet.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type fleet struct {
	mu       sync.Mutex
	hall     domain.HallName
	roster   *membership.Roster
	balancer *routing.Balancer
	gate     *admission.Gate
	askedAt  map[domain.ServiceName]time.Time          // when a target of the service was last asked for
	letDown  func()                                    // called when a target let this box down, and others are to hear of it
	ejected  func(domain.InstanceID)                   // called when a target is ejected as several boxes complain of it
	left     func(id domain.InstanceID, source string) // called when a target says that it is leaving, and nothing did before
	witness  func(domain.Target) string                // another process that is reached on the way to the target
}

func newFleet(self domain.BoxID, hall domain.HallName, p membership.RosterPolicy) *fleet {
	return &fleet{
		hall:     hall,
		roster:   membership.NewRoster(self, p),
		letDown:  func() {},
		ejected:  func(domain.InstanceID) {},
		left:     func(domain.InstanceID, string) {},
		witness:  func(domain.Target) string { return "" },
		balancer: routing.NewBalancer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		gate:     admission.NewGate(),
		askedAt:  map[domain.ServiceName]time.Time{},
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
	f.askedAt[q.Service] = now
	options := f.options(now, q.Service, q.Tried)
	chosen, ok := f.balancer.Pick(now, f.hall, options)
	if !ok {
		return nil, fault.New(fault.NoTarget, "service %s has no target that takes requests", q.Service).RetryAt(f.again(now, q))
	}
	if err := f.admit(now, q, chosen); err != nil {
		return nil, err
	}
	t, _ := f.roster.Get(chosen.ID) // it was listed a moment ago
	return &place{fleet: f, target: t, option: chosen, ticket: f.balancer.Sent(now, chosen)}, nil
}

// reopenSpread is over which time callers come back to a target that takes work again: a few
// requests of a usual one, so that those who were refused meanwhile do not all meet it at once.
const reopenSpread = 250 * time.Millisecond

// again is when a caller best comes back where no target takes requests: as the first that asked
// for rest does, or as late as the caller heeds if that is sooner, or nobody knows; mu is held.
func (f *fleet) again(now time.Time, q gateway.Query) time.Time {
	last := now.Add(admission.Outlast(q.Deadline.Sub(now), rand.Float64()))
	rested := f.roster.RestsUntil(now, q.Service)
	if rested.IsZero() || rested.After(last) {
		return last
	}
	return rested.Add(time.Duration(rand.Float64() * float64(reopenSpread)))
}

// TakesAt implements gateway.Fleet.
func (f *fleet) TakesAt(now time.Time, svc domain.ServiceName) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.options(now, svc, nil)) > 0 {
		return now
	}
	return f.roster.RestsUntil(now, svc)
}

// options are the targets of the service that may get new work; mu is held.
func (f *fleet) options(now time.Time, svc domain.ServiceName, tried []domain.InstanceID) []routing.Option {
	var options []routing.Option
	for _, u := range f.roster.Ranked(now, svc) {
		if u.Standing.Usable() && !slices.Contains(tried, u.Target.ID()) {
			options = append(options, optionOf(u))
		}
	}
	return options
}

// standings is what is thought of the targets of services that were asked for.
func (f *fleet) standings(now time.Time) map[domain.InstanceID]membership.Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[domain.InstanceID]membership.Standing{}
	for svc := range f.askedAt {
		for _, u := range f.roster.Ranked(now, svc) {
			all[u.Target.ID()] = u.Standing
		}
	}
	return all
}

// wantedFor is how long after a request a service counts as asked for.
const wantedFor = 15 * time.Second

// wanting tells whether a service that is asked for has no target to be used.
func (f *fleet) wanting(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for svc, at := range f.askedAt {
		if now.Sub(at) < wantedFor && len(f.options(now, svc, nil)) == 0 {
			return true
		}
	}
	return false
}

// cutOff tells whether no other data hall is heard.
func (f *fleet) cutOff(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.CutOff(now, f.hall)
}

// admit refuses a request that would wait too long for a slot; mu is held.
func (f *fleet) admit(now time.Time, q gateway.Query, o routing.Option) error {
	begins, wait := f.balancer.Begins(now, o)
	ask := admission.Ask{Route: q.Route, Left: q.Deadline.Sub(now), Aim: q.Aim, Begins: begins, Wait: wait}
	ok, rest := f.gate.Admit(ask, rand.Float64())
	if ok || !q.First {
		return nil
	}
	return fault.New(fault.Overloaded, "an answer would begin after %v, %v of it waiting; it should within %v", begins, wait, q.Aim).
		RetryAt(now.Add(rest))
}

func optionOf(u membership.Ranked) routing.Option {
	o := routing.Option{ID: u.Target.ID(), Hall: u.Target.Hall(), Slots: u.Target.Slots(), Tier: int(u.Standing)}
	if r, ok := u.Target.Rank(); ok {
		o.Group = r.Group
	}
	return o
}

// Blame implements gateway.Fleet.
func (f *fleet) Blame(listed domain.ListedID) {
	f.with(func(r *membership.Roster, _ *routing.Balancer) {
		if id, ok := r.Start(listed); ok {
			r.Unreachable(clock.Now(), id)
		}
	})
}

// leaves takes that the target says that it is leaving, as the source tells.
func (f *fleet) leaves(now time.Time, id domain.InstanceID, source string) {
	news := false
	f.with(func(r *membership.Roster, _ *routing.Balancer) { news = r.Leaves(now, id) })
	if news {
		f.left(id, source)
	}
}

// place is a place at a target. It implements gateway.Lease.
type place struct {
	fleet  *fleet
	target domain.Target
	option routing.Option
	ticket *routing.Ticket
}

// Target implements gateway.Lease.
func (p *place) Target() domain.Target { return p.target }

// Witness implements gateway.Lease.
func (p *place) Witness() string { return p.fleet.witness(p.target) }

// Wanted implements gateway.Lease.
func (p *place) Wanted(now time.Time) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.roster.Wanted(now, p.target.ID())
}

// Heard implements gateway.Lease.
func (p *place) Heard(now time.Time, a call.Answer) {
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		if l := a.Load; l != nil {
			b.Report(now, p.target.ID(), routing.Report{Running: l.Running, Waiting: l.Waiting})
		}
		if until := a.RestUntil(); !until.IsZero() {
			r.Rests(p.target.ID(), until)
		}
		if a.NoRoom(p.target.ID().Listed()) {
			r.TurnedAway(now, p.target.ID())
		}
	})
	if a.Leaving {
		p.fleet.leaves(now, p.target.ID(), "answer")
	}
}

// Overdue implements gateway.Lease.
func (p *place) Overdue() {
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) { p.complain(clock.Now(), r, b) })
}

// complain holds against the target that it let this box down, unless its whole group
// stands still, which is no fault of one rank. The fleet is locked.
func (p *place) complain(now time.Time, r *membership.Roster, b *routing.Balancer) {
	if !b.Steps(now, p.option) {
		return
	}
	tell, ejected := r.LetDown(now, p.target.ID())
	if tell {
		p.fleet.letDown()
	}
	if ejected {
		p.fleet.ejected(p.target.ID())
	}
}

// Began implements gateway.Lease.
func (p *place) Began() {
	p.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.Began(clock.Now(), p.ticket) })
}

// Drags implements gateway.Lease.
func (p *place) Drags(now time.Time, tried []domain.InstanceID) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.balancer.Drags(now, p.option, p.fleet.options(now, p.target.Service(), tried))
}

// Paused implements gateway.Lease.
func (p *place) Paused(pause, aim time.Duration) {
	p.fleet.with(func(_ *membership.Roster, b *routing.Balancer) { b.Paused(clock.Now(), p.option, pause, aim) })
}

// End implements gateway.Lease.
func (p *place) End(v gateway.Verdict) {
	now := clock.Now()
	p.fleet.with(func(r *membership.Roster, b *routing.Balancer) {
		b.Ended(now, p.ticket)
		switch v {
		case gateway.Good:
			r.Succeeded(now, p.target.ID())
		case gateway.Bad:
			r.Failed(now, p.target.ID())
			p.complain(now, r, b)
		case gateway.Full:
			r.Failed(now, p.target.ID())
		case gateway.Unreachable, gateway.Gone:
			r.Unreachable(now, p.target.ID())
		case gateway.Replaced:
			r.Replaced(p.target.ID())
		}
	})
}
