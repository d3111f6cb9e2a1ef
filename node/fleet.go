package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/ratelimit"
	"clovertrail.dev/routing"
)

// fleet guards what the box knows of targets, and chooses among them. It implements
// gateway.Fleet.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type fleet struct {
	mu             sync.Mutex
	hall           domain.HallName
	roster         *membership.Roster
	balancer       *routing.Balancer
	gate           *admission.Gate
	limits         *ratelimit.Register
	lastRequestAt  map[domain.ServiceName]time.Time          // when a target of the service was last asked for
	onFailure      func()                                    // called when a target let this box down, and others are to learn of it
	onEjected      func(domain.InstanceID)                   // called when a target is ejected as several boxes report failures of it
	onLeaving      func(id domain.InstanceID, source string) // called when a target reports that it is leaving, and nothing did before
	witness        func(domain.Target) string                // another process that is reached on the way to the target
	onLimitChanged func(w ratelimit.Report, source string)   // called when a target has another limit than before
	requestPermit  permitFunc
}

// permitFunc gets permits for the first of the targets of the service that has any, and reports
// which; empty if none has.
type permitFunc func(ctx context.Context, svc domain.ServiceName, targets []domain.InstanceID) domain.InstanceID

func newFleet(self domain.BoxID, hall domain.HallName, p membership.RosterPolicy) *fleet {
	return &fleet{
		hall:           hall,
		roster:         membership.NewRoster(self, p),
		onFailure:      func() {},
		onEjected:      func(domain.InstanceID) {},
		onLeaving:      func(domain.InstanceID, string) {},
		witness:        func(domain.Target) string { return "" },
		balancer:       routing.NewBalancer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		gate:           admission.NewGate(),
		limits:         ratelimit.NewRegister(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		onLimitChanged: func(ratelimit.Report, string) {},
		requestPermit:  func(context.Context, domain.ServiceName, []domain.InstanceID) domain.InstanceID { return "" },
		lastRequestAt:  map[domain.ServiceName]time.Time{},
	}
}

// with runs f under the lock.
func (f *fleet) with(run func(*membership.Roster, *routing.Balancer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run(f.roster, f.balancer)
}

// options are the targets of the service that may get new work; mu is held.
func (f *fleet) options(now time.Time, svc domain.ServiceName, tried []domain.InstanceID) []routing.Option {
	var options []routing.Option
	for _, u := range f.roster.Ranked(now, svc) {
		if u.Standing.Usable() && !slices.Contains(tried, u.Target.ID()) {
			o := optionOf(u)
			o.Limited = !f.limits.Unlimited(o.ID)
			options = append(options, o)
		}
	}
	return options
}

// standings is what is thought of the targets of services that were asked for.
func (f *fleet) standings(now time.Time) map[domain.InstanceID]membership.Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[domain.InstanceID]membership.Standing{}
	for svc := range f.lastRequestAt {
		for _, u := range f.roster.Ranked(now, svc) {
			all[u.Target.ID()] = u.Standing
		}
	}
	return all
}

// demandWindow is how long after a request a service counts as asked for.
const demandWindow = 15 * time.Second

// lacksTargets reports whether a service that is asked for has no target to be used.
func (f *fleet) lacksTargets(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for svc, at := range f.lastRequestAt {
		if now.Sub(at) < demandWindow && len(f.options(now, svc, nil)) == 0 {
			return true
		}
	}
	return false
}

// otherHallsSilent reports whether nothing is received from another data hall.
func (f *fleet) otherHallsSilent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.OtherHallsSilent(now, f.hall)
}

func optionOf(u membership.Ranked) routing.Option {
	o := routing.Option{ID: u.Target.ID(), Hall: u.Target.Hall(), Slots: u.Target.Slots(), Tier: int(u.Standing)}
	if r, ok := u.Target.Rank(); ok {
		o.Group = r.Group
	}
	return o
}

// ReportFault implements gateway.Fleet.
func (f *fleet) ReportFault(listed domain.ListedID) {
	f.with(func(r *membership.Roster, _ *routing.Balancer) {
		if id, ok := r.CurrentInstance(listed); ok {
			r.Unreachable(clock.Now(), id)
		}
	})
}

// leavingReported takes that the target reports that it is leaving, by the source.
func (f *fleet) leavingReported(now time.Time, id domain.InstanceID, source string) {
	news := false
	f.with(func(r *membership.Roster, _ *routing.Balancer) { news = r.LeavingReported(now, id) })
	if news {
		f.onLeaving(id, source)
	}
}

// recordLimit takes what a target stated about its limit with the answer to a request for which it was taken
// at the time.
func (f *fleet) recordLimit(now time.Time, id domain.InstanceID, l call.Limit, taken time.Time) {
	f.mu.Lock()
	news := f.limits.RecordAnswer(now, id, l, taken)
	f.mu.Unlock()
	if news {
		f.onLimitChanged(ratelimit.Report{Target: id, Limit: l, At: now}, "answer")
	}
}

// updateLimits takes reports of limits from another box.
func (f *fleet) updateLimits(now time.Time, reports []ratelimit.Report, source string) {
	var news []ratelimit.Report
	f.mu.Lock()
	for _, w := range reports {
		if f.limits.Update(now, w) {
			news = append(news, w)
		}
	}
	f.mu.Unlock()
	for _, w := range news {
		f.onLimitChanged(w, source)
	}
}

// forget drops what is known of targets that are long gone.
func (f *fleet) forget(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := func(id domain.InstanceID) bool {
		_, ok := f.roster.Get(id)
		return ok
	}
	f.balancer.Forget(now, known)
	f.limits.Forget(now, known)
}

// limitReports are the newest limitReports of the targets' limits, as far as they name any.
func (f *fleet) limitReports(targets []domain.InstanceID) []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []ratelimit.Report
	for _, id := range targets {
		if w, known := f.limits.Report(id); known {
			list = append(list, w)
		}
	}
	return list
}

// hasLimits reports whether there are limits, or were lately.
func (f *fleet) hasLimits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.HasLimits()
}

// limitReportsForPeers are reports of limits for other boxes.
func (f *fleet) limitReportsForPeers(now time.Time, others int) []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.ReportsForPeers(now, others)
}

// useGrant takes permits that were asked for at the time, and reports for which target one is used at
// once; empty if there is none.
func (f *fleet) useGrant(asked time.Time, g ratelimit.Grant) domain.InstanceID {
	if g.Permits > 0 && !ratelimit.PermitExpired(clock.Now(), asked) {
		g.Permits--
		f.storeGrant(asked, g)
		return g.Target
	}
	f.storeGrant(asked, g)
	return ""
}

// storeGrant takes permits that were asked for at the time, for later requests.
func (f *fleet) storeGrant(asked time.Time, g ratelimit.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range g.Turns {
		f.limits.SetTurn(t.Target, t.At)
	}
	if g.Target != "" {
		f.limits.AddPermits(asked, g.Target, g.Permits)
	}
}
