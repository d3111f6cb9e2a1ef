package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/gateway"
	"clovertrail.dev/routing"
)

// How a target is chosen for an attempt, or the request refused.

// maxPermitTargets is how many targets a box asks permits for at once: an issuer that has none for so many
// has hardly any.
const maxPermitTargets = 8

// Acquire implements gateway.Fleet.
func (f *fleet) Acquire(ctx context.Context, now time.Time, q gateway.Query) (gateway.Lease, error) {
	p, asks, err := f.choose(now, q)
	if len(asks) > 0 {
		granted := f.requestPermit(ctx, q.Service, asks)
		p, err = f.chooseWithPermit(clock.Now(), q, granted)
	}
	if err != nil {
		return nil, err
	}
	return p, nil
}

// choose gives a place at a target, or the targets for which permits are to be asked, the best
// first.
func (f *fleet) choose(now time.Time, q gateway.Query) (*lease, []domain.InstanceID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRequestAt[q.Service] = now
	options := f.options(now, q.Service, q.Tried)
	open := slices.DeleteFunc(slices.Clone(options), func(o routing.Option) bool { return !f.sendable(now, o) && !f.limits.TurnDue(now, o.ID) })
	chosen, err := f.pick(now, q, options, open)
	if err != nil {
		return nil, nil, err
	}
	if !chosen.Limited || f.limits.UsePermit(now, chosen.ID) {
		return f.newLease(now, chosen), nil, nil
	}
	return nil, f.permitCandidates(now, chosen, open), nil
}

// chooseWithPermit gives a place at the target for which there is a permit, or else at one that needs none.
func (f *fleet) chooseWithPermit(now time.Time, q gateway.Query, granted domain.InstanceID) (*lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	options := f.options(now, q.Service, q.Tried)
	if i := slices.IndexFunc(options, func(o routing.Option) bool { return o.ID == granted }); i >= 0 {
		return f.newLease(now, options[i]), nil
	}
	open := slices.DeleteFunc(slices.Clone(options), func(o routing.Option) bool { return !f.sendable(now, o) })
	chosen, err := f.pick(now, q, options, open)
	if err != nil {
		return nil, err
	}
	f.limits.UsePermit(now, chosen.ID)
	return f.newLease(now, chosen), nil
}

// sendable reports whether the option may be sent work without asking; mu is held.
func (f *fleet) sendable(now time.Time, o routing.Option) bool {
	return !o.Limited || f.limits.HasPermit(now, o.ID)
}

// pick chooses among those of the options that are open, or refuses the request; mu is held.
func (f *fleet) pick(now time.Time, q gateway.Query, options, open []routing.Option) (routing.Option, error) {
	chosen, ok := f.balancer.Pick(now, f.hall, open)
	switch {
	case ok:
		return chosen, f.admit(now, q, chosen)
	case len(options) == 0:
		return chosen, fault.New(fault.NoTarget, "service %s has no target that takes requests", q.Service).RetryAt(f.retryAt(now, q))
	default:
		at := now.Add(admission.RetryAfterPermits(f.earliestTurn(options).Sub(now), q.Deadline.Sub(now), rand.Float64()))
		return chosen, fault.New(fault.Overloaded, "the %d targets of service %s that take requests have had what they take", len(options), q.Service).RetryAt(at)
	}
}

// earliestTurn is when this box may first get a permit for one of the options; mu is held.
func (f *fleet) earliestTurn(options []routing.Option) time.Time {
	first := f.limits.Turn(options[0].ID)
	for _, o := range options {
		if t := f.limits.Turn(o.ID); t.Before(first) {
			first = t
		}
	}
	return first
}

// permitCandidates are the chosen option and those that would be chosen after it, as long as they need permits
// too; mu is held.
func (f *fleet) permitCandidates(now time.Time, chosen routing.Option, open []routing.Option) []domain.InstanceID {
	list := []domain.InstanceID{chosen.ID}
	for len(list) < maxPermitTargets {
		open = slices.DeleteFunc(slices.Clone(open), func(o routing.Option) bool { return o.ID == chosen.ID })
		next, ok := f.balancer.Pick(now, f.hall, open)
		if !ok || f.sendable(now, next) {
			break
		}
		chosen = next
		list = append(list, chosen.ID)
	}
	return list
}

// newLease takes a place newLease the option; mu is held.
func (f *fleet) newLease(now time.Time, o routing.Option) *lease {
	t, _ := f.roster.Get(o.ID) // it was listed a moment ago
	return &lease{fleet: f, target: t, option: o, ticket: f.balancer.Sent(now, o), acquiredAt: now, permitted: o.Limited}
}

// admit refuses a request that would wait too long for a slot; mu is held.
func (f *fleet) admit(now time.Time, q gateway.Query, o routing.Option) error {
	begins, wait := f.balancer.EstimateFirstByte(now, o)
	ask := admission.Request{Route: q.Route, Remaining: q.Deadline.Sub(now), LatencyObjective: q.LatencyObjective, FirstByte: begins, Wait: wait}
	ok, rest := f.gate.Admit(ask, rand.Float64())
	if ok || !q.First {
		return nil
	}
	return fault.New(fault.Overloaded, "an answer would begin after %v, %v of it waiting; it should within %v", begins, wait, q.LatencyObjective).
		RetryAt(now.Add(rest))
}

// retryAt is when a caller comes back where no target takes requests; mu is held.
func (f *fleet) retryAt(now time.Time, q gateway.Query) time.Time {
	in := time.Duration(0)
	if rested := f.roster.EarliestRestEnd(now, q.Service); !rested.IsZero() {
		in = rested.Sub(now)
	}
	return now.Add(admission.RetryAfterReopening(in, q.Deadline.Sub(now), rand.Float64()))
}

// AvailableAt implements gateway.Fleet.
func (f *fleet) AvailableAt(now time.Time, svc domain.ServiceName) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	options := f.options(now, svc, nil)
	if len(options) == 0 {
		return f.roster.EarliestRestEnd(now, svc)
	}
	if turn := f.earliestTurn(options); turn.After(now) {
		return turn
	}
	return now
}
