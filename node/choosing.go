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

// This file has the choice of a target for an attempt, and the refusal of requests that have none.

// maxPermitTargets is the number of targets for which a box requests permits at once. An issuer that
// has no permit for any of so many targets has hardly any at all.
const maxPermitTargets = 8

// Acquire implements gateway.Fleet.
func (f *fleet) Acquire(ctx context.Context, now time.Time, q gateway.Query) (gateway.Lease, error) {
	l, err := f.acquireNow(ctx, now, q, false)
	for fault.KindOf(err) == fault.NoTarget {
		if err := f.waiting.wait(ctx, q, err); err != nil {
			return nil, err
		}
		q.First = false // who has waited is not refused for lack of capacity any more
		l, err = f.acquireNow(ctx, clock.Now(), q, true)
	}
	if err != nil {
		return nil, err
	}
	return l, nil
}

// acquireNow leases a target without waiting for a stopped group. waited states whether the request has waited for
// one before.
func (f *fleet) acquireNow(ctx context.Context, now time.Time, q gateway.Query, waited bool) (*lease, error) {
	l, candidates, err := f.choose(now, q, waited)
	if len(candidates) > 0 {
		granted := f.requestPermit(ctx, q.Service, candidates)
		l, err = f.chooseWithPermit(clock.Now(), q, waited, granted)
	}
	return l, err
}

// choose leases a target, or returns the targets for which a permit is to be requested first, the best
// one first.
func (f *fleet) choose(now time.Time, q gateway.Query, waited bool) (*lease, []domain.InstanceID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRequestAt[q.Service] = now
	options := f.untriedOptions(now, q.Service, q.Tried, waited)
	candidates := slices.DeleteFunc(slices.Clone(options), func(o routing.Option) bool { return !f.selectable(now, o) })
	candidates = f.balancer.WithoutCold(now, candidates)
	chosen, err := f.pick(now, q, options, candidates)
	if shed := f.shed(now, q, chosen, options); shed != nil {
		return nil, nil, shed
	}
	if err != nil {
		return nil, nil, err
	}
	if !chosen.Limited || f.limits.UsePermit(now, chosen.ID) {
		return f.newLease(now, chosen), nil, nil
	}
	return nil, f.permitCandidates(now, chosen, candidates), nil
}

// chooseWithPermit leases the target for which a permit was granted. If there is none, it leases a
// target that requests can be sent to without requesting a permit.
func (f *fleet) chooseWithPermit(now time.Time, q gateway.Query, waited bool, granted domain.InstanceID) (*lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	options := f.untriedOptions(now, q.Service, q.Tried, waited)
	if i := slices.IndexFunc(options, func(o routing.Option) bool { return o.ID == granted }); i >= 0 {
		return f.newLease(now, options[i]), nil
	}
	candidates := slices.DeleteFunc(slices.Clone(options), func(o routing.Option) bool { return !f.sendable(now, o) })
	candidates = f.balancer.WithoutCold(now, candidates)
	chosen, err := f.pick(now, q, options, candidates)
	if err != nil {
		return nil, err
	}
	f.limits.UsePermit(now, chosen.ID)
	return f.newLease(now, chosen), nil
}

// selectable reports whether a request may be sent to the option, or a permit for it may be requested now.
// mu is held.
func (f *fleet) selectable(now time.Time, o routing.Option) bool {
	return f.sendable(now, o) || f.limits.TurnDue(now, o.ID)
}

// HasTarget implements gateway.Fleet.
func (f *fleet) HasTarget(now time.Time, svc domain.ServiceName, tried []domain.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.untriedOptions(now, svc, tried, false), func(o routing.Option) bool { return f.selectable(now, o) })
}

// sendable reports whether a request may be sent to the option without requesting a permit: the option
// has no limit, or this box has a permit for it. mu is held.
func (f *fleet) sendable(now time.Time, o routing.Option) bool {
	return !o.Limited || f.limits.HasPermit(now, o.ID)
}

// pick chooses one of the candidates, which are a part of the options, or refuses the request. mu is held.
func (f *fleet) pick(now time.Time, q gateway.Query, options, candidates []routing.Option) (routing.Option, error) {
	chosen, ok := f.balancer.Pick(now, f.hall, candidates)
	switch {
	case ok:
		return chosen, f.admit(now, q, chosen)
	case len(options) == 0:
		return chosen, fault.New(fault.NoTarget, "service %s has no available target", q.Service).RetryAt(f.retryAt(now, q))
	default:
		at := now.Add(admission.RetryAfterPermits(f.earliestTurn(options).Sub(now), q.Deadline.Sub(now), rand.Float64()))
		return chosen, fault.New(fault.Overloaded, "all %d available targets of service %s are at their request limit", len(options), q.Service).RetryAt(at)
	}
}

// earliestTurn returns the earliest time from which this box may get a permit for one of the options. mu
// is held.
func (f *fleet) earliestTurn(options []routing.Option) time.Time {
	earliest := f.limits.Turn(options[0].ID)
	for _, o := range options {
		if t := f.limits.Turn(o.ID); t.Before(earliest) {
			earliest = t
		}
	}
	return earliest
}

// permitCandidates returns the chosen option and the options that would be chosen after it, up to but
// without the first that is sendable. mu is held.
func (f *fleet) permitCandidates(now time.Time, chosen routing.Option, candidates []routing.Option) []domain.InstanceID {
	list := []domain.InstanceID{chosen.ID}
	for len(list) < maxPermitTargets {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(o routing.Option) bool { return o.ID == chosen.ID })
		next, ok := f.balancer.Pick(now, f.hall, candidates)
		if !ok || f.sendable(now, next) {
			break
		}
		chosen = next
		list = append(list, chosen.ID)
	}
	return list
}

// newLease leases the option. mu is held.
func (f *fleet) newLease(now time.Time, o routing.Option) *lease {
	t, _ := f.roster.Get(o.ID) // present: mu has been held since the options were listed
	return &lease{fleet: f, target: t, option: o, ticket: f.balancer.Sent(now, o), acquiredAt: now, permitted: o.Limited}
}

// admit refuses the first attempt of a request that would wait too long for a slot. mu is held.
func (f *fleet) admit(now time.Time, q gateway.Query, o routing.Option) error {
	firstByte, wait := f.balancer.EstimateFirstByte(now, o)
	request := admission.Request{Route: q.Route, Remaining: q.Deadline.Sub(now), LatencyObjective: q.LatencyObjective, FirstByte: firstByte, Wait: wait}
	ok, retryAfter := f.gate.Admit(now, request, rand.Float64())
	if ok || !q.First {
		return nil
	}
	return fault.New(fault.Overloaded, "the response would begin after %v, of which %v waiting for a slot; the latency objective is %v", firstByte, wait, q.LatencyObjective).
		RetryAt(now.Add(retryAfter))
}

// retryAt returns when a caller should retry if no target is available. mu is held.
func (f *fleet) retryAt(now time.Time, q gateway.Query) time.Time {
	reopening := time.Duration(0) // time until the first resting target accepts requests; 0 if unknown
	if restEnd := f.roster.EarliestRestEnd(now, q.Service); !restEnd.IsZero() {
		reopening = restEnd.Sub(now)
	}
	return now.Add(admission.RetryAfterReopening(reopening, q.Deadline.Sub(now), rand.Float64()))
}

// AvailableAt implements gateway.Fleet.
func (f *fleet) AvailableAt(now time.Time, svc domain.ServiceName) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	options := f.options(now, svc)
	if len(options) == 0 {
		return f.roster.EarliestRestEnd(now, svc)
	}
	if turn := f.earliestTurn(options); turn.After(now) {
		return turn
	}
	return now
}
