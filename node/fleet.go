package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/admission/fairshare"
	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/node/process"
	"clovertrail.dev/ratelimit"
	"clovertrail.dev/routing"
	"clovertrail.dev/telemetry"
)

// fleet guards the state of the targets as this box sees them, and chooses targets for attempts. It
// implements gateway.Fleet.
//
// Lock order: mu is the only lock, and no I/O is done under it.
type fleet struct {
	mu             sync.Mutex
	hall           domain.HallName
	roster         *membership.Roster
	balancer       *routing.Balancer
	gate           *admission.Gate
	limits         *ratelimit.Register
	shares         *fairshare.Shares
	subset         map[domain.InstanceID]bool                // targets that this box prefers; nil for all
	lastRequestAt  map[domain.ServiceName]time.Time          // by service: when a target was last requested
	coldRates      map[domain.ServiceName]float64            // by service: requests a second that a cold target takes; without services that have no such rate
	onFailure      func()                                    // called after a failure of a target that other boxes are to be notified of
	onEjected      func(domain.InstanceID)                   // called when a target is ejected because several boxes report failures of it
	onLeaving      func(id domain.InstanceID, source string) // called on the first report that a target is leaving
	witnesses      func(domain.Target) []string              // returns the addresses of other processes on the network path to the target
	onLimitChanged func(r ratelimit.Report, source string)   // called when the limit of a target changed
	requestPermit  permitFunc
	waiting        *waiting
	shedding       shedding
}

// permitFunc requests permits for the first of the given targets that has permits left, and returns
// that target; empty if none has permits left.
type permitFunc func(ctx context.Context, svc domain.ServiceName, targets []domain.InstanceID) domain.InstanceID

func newFleet(c telemetry.Common, s process.EntrySettings) *fleet {
	f := &fleet{
		hall:           domain.HallName(s.Hall),
		roster:         membership.NewRoster(domain.BoxID(s.Box), rosterPolicy(s)),
		onFailure:      func() {},
		onEjected:      func(domain.InstanceID) {},
		onLeaving:      func(domain.InstanceID, string) {},
		witnesses:      func(domain.Target) []string { return nil },
		balancer:       routing.NewBalancer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		gate:           admission.NewGate(),
		limits:         ratelimit.NewRegister(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		shares:         fairshare.New(),
		onLimitChanged: func(ratelimit.Report, string) {},
		requestPermit:  func(context.Context, domain.ServiceName, []domain.InstanceID) domain.InstanceID { return "" },
		lastRequestAt:  map[domain.ServiceName]time.Time{},
		shedding:       newShedding(),
	}
	f.waiting = newWaiting(c, f, s.Overload.MaxQueued)
	return f
}

// with calls run under the lock.
func (f *fleet) with(run func(*membership.Roster, *routing.Balancer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run(f.roster, f.balancer)
	f.waiting.notify()
}

// options returns the targets of the service that may be sent new requests. mu is held.
func (f *fleet) options(now time.Time, svc domain.ServiceName) []routing.Option {
	return f.untriedOptions(now, svc, nil, false)
}

// untriedOptions returns the options for a request that had attempts at the tried targets, as routing.Untried
// decides. mu is held.
func (f *fleet) untriedOptions(now time.Time, svc domain.ServiceName, tried []domain.InstanceID, waited bool) []routing.Option {
	var options []routing.Option
	for _, r := range f.roster.Ranked(now, svc) {
		if r.Standing.Usable() {
			o := optionOf(r)
			f.updateCold(now, r.Target)
			o.Cold, o.Limited = f.limits.Cold(now, o.ID), f.limits.NeedsPermit(now, o.ID)
			options = append(options, o)
		}
	}
	options = routing.Untried(options, tried, waited)
	if f.subset == nil {
		return options
	}
	return routing.InSubset(options, func(id domain.InstanceID) bool { return f.subset[id] })
}

// setSubset sets the targets that this box prefers.
func (f *fleet) setSubset(s membership.Subset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.subset = nil; !s.All() {
		f.subset = s.Select(f.roster.Ranks())
	}
}

// selectRanks returns the ranks in the subset; nil for all targets.
func (f *fleet) selectRanks(s membership.Subset) map[domain.InstanceID]bool {
	if s.All() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.Select(f.roster.Ranks())
}

// updateCold passes on that the target is cold, if its service has a rate for cold targets. mu is held.
func (f *fleet) updateCold(now time.Time, t domain.Target) {
	if rate, ok := f.coldRates[t.Service()]; ok && now.Before(t.ColdUntil()) {
		f.limits.SetCold(t.ID(), rate, t.ColdUntil())
	}
}

// configure sets the rates of cold targets and the timeouts of routes to those of the configuration.
func (f *fleet) configure(c *catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldRates = c.ColdRates()
	f.gate.SetTimeouts(c.Timeouts())
}

// standings returns the standing of each target of the services that were requested.
func (f *fleet) standings(now time.Time) map[domain.InstanceID]membership.Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[domain.InstanceID]membership.Standing{}
	for svc := range f.lastRequestAt {
		for _, r := range f.roster.Ranked(now, svc) {
			all[r.Target.ID()] = r.Standing
		}
	}
	return all
}

// demandWindow is how long after a request its service counts as in demand.
const demandWindow = 15 * time.Second

// lacksTargets reports whether a service in demand has no usable target.
func (f *fleet) lacksTargets(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for svc, at := range f.lastRequestAt {
		if now.Sub(at) < demandWindow && len(f.options(now, svc)) == 0 {
			return true
		}
	}
	return false
}

// otherHallsSilent reports whether there are targets in other data halls, and nothing is received from
// any of these halls.
func (f *fleet) otherHallsSilent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.OtherHallsSilent(now, f.hall)
}

func optionOf(r membership.Ranked) routing.Option {
	o := routing.Option{ID: r.Target.ID(), Hall: r.Target.Hall(), Slots: r.Target.Slots(), Tier: int(r.Standing)}
	if rank, ok := r.Target.Rank(); ok {
		o.Group = rank.Group
	}
	return o
}

func optionsOf(list []membership.Ranked) []routing.Option {
	options := make([]routing.Option, 0, len(list))
	for _, r := range list {
		options = append(options, optionOf(r))
	}
	return options
}

// ReportFault implements gateway.Fleet.
func (f *fleet) ReportFault(listed domain.ListedID) {
	f.with(func(r *membership.Roster, _ *routing.Balancer) {
		if id, ok := r.CurrentInstance(listed); ok {
			r.Unreachable(clock.Now(), id)
		}
	})
}

// leavingReported records a report that the target is leaving. The source is for the log.
func (f *fleet) leavingReported(now time.Time, id domain.InstanceID, source string) {
	first := false
	f.with(func(r *membership.Roster, _ *routing.Balancer) { first = r.LeavingReported(now, id) })
	if first {
		f.onLeaving(id, source)
	}
}

// recordLimit records the limit that a target named in its response to a request that leased it at
// leasedAt.
func (f *fleet) recordLimit(now time.Time, id domain.InstanceID, l call.Limit, leasedAt time.Time) {
	f.mu.Lock()
	changed := f.limits.RecordAnswer(now, id, l, leasedAt)
	f.mu.Unlock()
	if changed {
		f.onLimitChanged(ratelimit.Report{Target: id, Limit: l, At: now}, "answer")
	}
}

// updateLimits records another box's reports of limits. The source is for the log.
func (f *fleet) updateLimits(now time.Time, reports []ratelimit.Report, source string) {
	var changed []ratelimit.Report
	f.mu.Lock()
	for _, r := range reports {
		if f.limits.Update(now, r) {
			changed = append(changed, r)
		}
	}
	f.mu.Unlock()
	for _, r := range changed {
		f.onLimitChanged(r, source)
	}
}

// forget drops the loads and limits of targets that the roster no longer has.
func (f *fleet) forget(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keep := func(id domain.InstanceID) bool {
		_, ok := f.roster.Get(id)
		return ok
	}
	f.balancer.Forget(now, keep)
	f.limits.Forget(now, keep)
}

// limitReports returns the newest limit report of each of the targets, without those that have none.
func (f *fleet) limitReports(targets []domain.InstanceID) []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []ratelimit.Report
	for _, id := range targets {
		if r, ok := f.limits.Report(id); ok {
			list = append(list, r)
		}
	}
	return list
}

// wants returns the targets with the rates at which all boxes together send them requests.
func (f *fleet) wants(now time.Time, targets []domain.InstanceID) []ratelimit.Want {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]ratelimit.Want, 0, len(targets))
	for _, id := range targets {
		if t, ok := f.roster.Get(id); ok {
			f.updateCold(now, t)
		}
		list = append(list, ratelimit.Want{Target: id, Rate: f.limits.Rate(now, id)})
	}
	return list
}

// servicesWithTurns returns the services at whose targets this box waits for a turn.
func (f *fleet) servicesWithTurns(now time.Time) []domain.ServiceName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.ServicesWithTurns(now)
}

// dropFormerTurns drops the turns at the targets of by's service that another assigner than by assigned.
func (f *fleet) dropFormerTurns(by ratelimit.Assigner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.DropFormerTurns(by)
}

// hasLimits reports whether any target has a limit, or had one until recently.
func (f *fleet) hasLimits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.HasLimits()
}

// limitReportsForPeers returns the limit reports to send to other boxes: all recent changes, and some
// of the remaining reports, whose number is bounded by others.
func (f *fleet) limitReportsForPeers(now time.Time, others int) []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.ReportsForPeers(now, others)
}

// useGrant uses one permit of the grant, and stores the other permits for later requests. requested is
// the time at which the grant was requested. It returns the target of the permit used; empty if the
// grant has no permit or its permits have expired.
func (f *fleet) useGrant(requested time.Time, g ratelimit.Grant) domain.InstanceID {
	if g.Permits > 0 && !ratelimit.PermitExpired(clock.Now(), requested) {
		g.Permits--
		f.storeGrant(requested, g)
		return g.Target
	}
	f.storeGrant(requested, g)
	return ""
}

// storeGrant stores the grant for later requests. requested is the time at which the grant was requested.
func (f *fleet) storeGrant(requested time.Time, g ratelimit.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range g.Turns {
		f.limits.SetTurn(g.By, t)
	}
	if g.Target != "" {
		f.limits.AddPermits(requested, g.Target, g.Permits)
	}
}
