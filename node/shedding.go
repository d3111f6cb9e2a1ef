package node

import (
	"math/rand/v2"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/core/urgency"
	"clovertrail.dev/gateway"
	"clovertrail.dev/routing"
	"clovertrail.dev/telemetry"
)

// shedding is the part of a fleet that refuses new callers of groups at their concurrency limit. The fleet's
// lock guards it.
type shedding struct {
	limiters  *admission.Limiters
	enabled   func() bool
	onRefused func(urgency.Class)
}

func newShedding() shedding {
	return shedding{limiters: admission.NewLimiters(), enabled: func() bool { return false }, onRefused: func(urgency.Class) {}}
}

// shed refuses a new caller if the group of the option runs about as many requests as it can run in time.
// options are all options of the request. mu is held.
func (f *fleet) shed(now time.Time, q gateway.Query, o routing.Option, options []routing.Option) error {
	if !q.First || o.Group == "" || q.EventGapObjective == 0 {
		return nil
	}
	f.observeGroupLoad(now, o, options)
	if !f.shedding.enabled() {
		return nil
	}
	remaining := q.Deadline.Sub(now)
	caller := admission.Caller{Class: q.Class, Remaining: remaining, Returning: f.gate.Returning(now, q.Route, q.Deadline.Sub(q.ArrivedAt))}
	if !caller.Returning {
		f.shares.Requested(now, q.Service, q.Class, q.Organisation)
	}
	caller.Share = func(refused float64) float64 {
		return f.shares.Factor(now, q.Service, q.Class, q.Organisation, refused)
	}
	refusal, ok := f.shedding.limiters.Admit(now, o.Group, caller, rand.Float64())
	if ok {
		return nil
	}
	f.shedding.onRefused(q.Class)
	return fault.New(fault.Overloaded, "%v", refusal).RetryAt(now.Add(refusal.RetryAfter))
}

// observeGroupLoad passes the epoch and the load of the option's group to its limiter. mu is held.
func (f *fleet) observeGroupLoad(now time.Time, o routing.Option, options []routing.Option) {
	epoch := uint64(0)
	if t, ok := f.roster.Get(o.ID); ok {
		rank, _ := t.Rank()
		epoch = rank.Epoch
	}
	load := f.balancer.ReportedLoad(now, o.Group, options, admission.MaxReportAge)
	f.shedding.limiters.ObserveLoad(now, o.Group, epoch, admission.Load(load))
}

// sheddingChanges returns at which groups shedding began or ended, and the limits of all groups.
func (f *fleet) sheddingChanges(now time.Time) ([]admission.Change, map[domain.GroupName]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := f.shedding.limiters.Limits(now)
	return f.shedding.limiters.Changes(now), limits
}

// shedsLoad reports whether the settings allow to refuse new callers at the concurrency limit.
func (e *Entry) shedsLoad() bool { return e.settings().Overload.Shed }

// onShed counts a refused caller.
func (e *Entry) onShed(c urgency.Class) { e.common.Metrics.Count(telemetry.Shed, c.String(), 1) }

// logShedding logs at which groups shedding began or ended, and sets the metric of the limits.
func (e *Entry) logShedding(now time.Time) {
	changes, limits := e.fleet.sheddingChanges(now)
	for group, limit := range limits {
		if !e.shedsLoad() {
			limit = 1
		}
		e.common.Metrics.Set(telemetry.ConcurrencyLimit, string(group), limit)
	}
	for _, c := range changes {
		s, text := c.Shedding, "load shedding began"
		if c.Ended {
			text = "load shedding ended"
		}
		e.common.Log.Warn(text, "group", c.Group, "class", s.From, "refused", s.Refused, "lasted", s.Last.Sub(s.Began),
			"load", s.State.Load, "limit", s.State.Thresholds.Limit(), "gap", s.State.Usual, "peak", s.State.Peak, "objective", s.State.Objective)
	}
}
