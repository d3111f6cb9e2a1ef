package membership

import (
	"sort"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// RosterPolicy holds the times and shares of a Roster.
type RosterPolicy struct {
	// Grace is how long a target may still be used after its entry was removed while the
	// store was unavailable. It must end before the platform's grace to drain does: from then on
	// the platform counts the use of the target as a fault.
	Grace time.Duration
	// StoreRecovery is how long after it became available again the store may still lack
	// entries of running targets.
	StoreRecovery time.Duration
	// EjectFor is the length of the first ejection of a failing target; each further one
	// doubles it, up to EjectMax.
	EjectFor, EjectMax time.Duration
	// UnreachableMax is the longest time for which a target that could not be reached is not
	// tried.
	UnreachableMax time.Duration
	// RejectedFor is how long a target is suspect that rejected an attempt for lack of capacity
	// without stating for how long; each further rejection in a row doubles it, up to
	// RejectedMax.
	RejectedFor, RejectedMax time.Duration
	// FailShare is the share of failures, above that of the service as a whole, from
	// which a target is ejected.
	FailShare float64
	// PeerEjectFor is the length of the first ejection of a target of which several boxes report
	// failures; it doubles as other ejections do.
	PeerEjectFor time.Duration
	// Spread is the share, from 0 to 1, by which this box prolongs the ejection of a target
	// reported by others. It differs between boxes, so that one of them tries the target first
	// and reports the result to the others.
	Spread float64
	// MinInUse is the share of a service's targets that stays in use whatever is ejected.
	MinInUse float64
	// ReportFresh is how long a target's own report of its group takes precedence over the
	// list, which lags behind.
	ReportFresh time.Duration
	// UnresponsiveAfter is how long a target that used to report itself may be silent, while
	// others are not, before it is suspect: more than two queries of a box that shares its
	// targets with dozens of others.
	UnresponsiveAfter time.Duration
	// StallAfter is how long a group with work may remain at one step before it is
	// suspect: several times the longest step.
	StallAfter time.Duration
	// ForgetAfter is how long a removed target is remembered, so that older updates do not
	// restore it.
	ForgetAfter time.Duration
}

// graceTenths is the share of the platform's grace to drain for which a lapsed target is used, in
// tenths: the rest is left for requests that are under way.
const graceTenths = 6

// DefaultRosterPolicy returns the policy for a platform that gives targets the grace to drain.
func DefaultRosterPolicy(grace time.Duration) RosterPolicy {
	return RosterPolicy{
		Grace:             grace * graceTenths / 10,
		StoreRecovery:     3 * time.Second,
		EjectFor:          time.Second,
		EjectMax:          8 * time.Second,
		UnreachableMax:    4 * time.Second,
		RejectedFor:       250 * time.Millisecond, // the time of a few requests at a usual target
		RejectedMax:       4 * time.Second,
		FailShare:         0.25,
		PeerEjectFor:      4 * time.Second,
		MinInUse:          0.5,
		ReportFresh:       time.Second,
		UnresponsiveAfter: 1500 * time.Millisecond,
		StallAfter:        500 * time.Millisecond,
		ForgetAfter:       time.Minute,
	}
}

// entry is the state of the latest instance under one listed id.
type entry struct {
	target     domain.Target
	at         store.Position // position of its last change
	removedAt  time.Time      // zero while the target is listed
	graceUntil time.Time      // until when a removed target may be used
	replaced   bool           // another instance answered at the target's address
	leavingAt  time.Time      // when this box received the report that the target is leaving; zero if none
	restUntil  time.Time      // until when the target requests no work from this box
	health     health
	reported   domain.Rank // the target's own report of its position in a group
	reportedAt time.Time
	progress   progress
}

// Roster is the set of targets as one entry box sees it, keyed by instance. It merges the
// platform's list, the updates of the list from other boxes, the reports of targets about
// themselves, and the outcomes of attempts. Updates of a listed id are ordered by the birth time
// of the instance and, for one instance, by positions of the store. So the result does not depend
// on their source or order of arrival: an entry that an instance wrote and that reaches the store
// late has no effect on the next instance. It is not safe for concurrent use.
type Roster struct {
	policy       RosterPolicy
	at           store.Position // up to which the list is complete
	newest       store.Position // position of the last change in the list
	entries      map[domain.ListedID]*entry
	byService    map[domain.ServiceName]*health
	lastReportAt time.Time // time of the last report of any target
	failures     *FailureReports
	// storeBackAt is when the store last became available again; while it is unavailable, the last
	// time that this was recorded.
	storeBackAt time.Time
	// restoredAt is when the first list of a later era was applied, and restoredTo its position.
	restoredAt time.Time
	restoredTo store.Position
}

// SetPolicy replaces the policy.
func (r *Roster) SetPolicy(p RosterPolicy) { r.policy = p }

// NewRoster returns the empty roster of the box.
func NewRoster(self domain.BoxID, p RosterPolicy) *Roster {
	return &Roster{
		policy:    p,
		failures:  NewFailureReports(self),
		entries:   map[domain.ListedID]*entry{},
		byService: map[domain.ServiceName]*health{},
	}
}

// At returns the position up to which the list is complete.
func (r *Roster) At() store.Position { return r.at }

// Newest returns the position of the last change in the list.
func (r *Roster) Newest() store.Position { return r.newest }

// StoreUnavailable records that the store is unavailable, or was until now.
func (r *Roster) StoreUnavailable(now time.Time) { r.storeBackAt = now }

// TargetUpdate is one change of the list: the present state of a target, or none if its entry
// was removed or names no target.
type TargetUpdate struct {
	// ID is the instance to which the entry belongs. Without a target it may be only the listed
	// id, and then applies to the current instance under it.
	ID     domain.InstanceID
	At     store.Position
	Target *domain.Target // nil if there is none
	// Unusable reports that the entry exists but names no usable target: it came from another
	// writer, or cannot be decoded. The target is not used from then on, also while the store is
	// unavailable.
	Unusable bool
}

// ApplyList applies the whole list as of the position. A list older than the present one is
// ignored. It returns the updates that changed the roster.
func (r *Roster) ApplyList(now time.Time, at store.Position, list []TargetUpdate) []TargetUpdate {
	if r.at.After(at) {
		return nil
	}
	r.enterEra(now, at)
	present := make(map[domain.ListedID]bool, len(list))
	var applied []TargetUpdate
	for _, u := range list {
		present[u.ID.Listed()] = true
		applied = append(applied, r.ApplyUpdate(now, u)...)
	}
	for id, e := range r.entries {
		if !present[id] && e.removedAt.IsZero() && !e.at.After(at) {
			applied = append(applied, r.ApplyUpdate(now, TargetUpdate{ID: domain.InstanceID(id), At: at})...)
		}
	}
	r.at = store.Later(r.at, at)
	r.forget(now)
	return applied
}

// ApplyUpdate applies one change of the list, and returns it if it changed the roster.
func (r *Roster) ApplyUpdate(now time.Time, u TargetUpdate) []TargetUpdate {
	r.at, r.newest = store.Later(r.at, u.At), store.Later(r.newest, u.At)
	e, known := r.entries[u.ID.Listed()]
	if !known {
		e = &entry{}
		r.entries[u.ID.Listed()] = e
	}
	if u.Target != nil && u.ID.Born() == 0 && e.target.ID().Born() != 0 {
		u.Target, u.Unusable = nil, true // a target that writes its birth time once always writes it
	}
	if known && (!e.olderThan(u) || r.outdated(now, e, u)) {
		return nil
	}
	lost := r.fromRestore(e, u)
	e.at = store.Later(e.at, u.At)
	if u.Target == nil {
		r.remove(now, e, lost, u.Unusable)
		return []TargetUpdate{u}
	}
	if e.target.ID() != u.Target.ID() {
		*e = entry{at: e.at} // the state of the previous instance does not apply to this one
	}
	e.target = *u.Target
	e.removedAt, e.graceUntil = time.Time{}, time.Time{}
	return []TargetUpdate{u}
}

// olderThan reports whether the update is newer than the entry: it is of a later instance, or of
// the same instance at a later position. An entry of an earlier instance that reached the store
// late is ignored.
func (e *entry) olderThan(u TargetUpdate) bool {
	born, own := u.ID.Born(), e.target.ID().Born()
	if u.Target == nil || born == own || !e.removedAt.IsZero() && e.at.After(u.At) {
		return u.At.After(e.at)
	}
	return born > own
}

// lookup returns the entry of the instance; false if another one is current under its listed id.
func (r *Roster) lookup(id domain.InstanceID) (*entry, bool) {
	e, ok := r.entries[id.Listed()]
	if !ok || e.target.ID() != id {
		return nil, false
	}
	return e, true
}

// CurrentInstance returns the current instance under the listed id.
func (r *Roster) CurrentInstance(id domain.ListedID) (domain.InstanceID, bool) {
	e, ok := r.entries[id]
	if !ok {
		return "", false
	}
	return e.target.ID(), e.target.ID() != ""
}

// remove marks an entry as removed. An entry that is removed while the store is available, or
// after its target reported that it is leaving, means that the target is leaving. An entry that
// is removed while the store is unavailable or recovers may only have lapsed. One that is missing
// from a restored store (lost) is written again by its target if that still runs.
func (r *Roster) remove(now time.Time, e *entry, lost, unusable bool) {
	if !e.removedAt.IsZero() && !unusable {
		return // a second removal does not end the grace of the first
	}
	e.removedAt, e.graceUntil = now, time.Time{}
	if unusable || e.target.State() != domain.TargetReady {
		return
	}
	recovering := !r.storeBackAt.IsZero() && now.Sub(r.storeBackAt) < r.policy.StoreRecovery
	switch {
	case lost:
		e.graceUntil = r.restoredAt.Add(r.policy.StoreRecovery)
	case recovering:
		e.graceUntil = now.Add(r.policy.Grace)
	}
}

// CaughtUp records that all changes up to the position have been applied.
func (r *Roster) CaughtUp(at store.Position) { r.at = store.Later(r.at, at) }

// Reported records a target's own report, made at the given time: its position in a group, the
// last step that the group has begun, and whether it has requests to work on. It returns false
// for a report that is not newer than the last: reports may come through other boxes, and late.
func (r *Roster) Reported(at time.Time, id domain.InstanceID, rank domain.Rank, step uint64, working bool) bool {
	e, ok := r.lookup(id)
	if !ok || !at.After(e.reportedAt) {
		return false
	}
	e.reported, e.reportedAt = rank, at
	if at.After(r.lastReportAt) {
		r.lastReportAt = at
	}
	e.progress.update(at, step, working)
	if !at.Before(e.health.unreachableAt) {
		e.health.markReached(at)
	}
	return true
}

// Replaced records that another instance answered at the target's address.
func (r *Roster) Replaced(id domain.InstanceID) {
	if e, ok := r.lookup(id); ok {
		e.replaced = true
	}
}

// Succeeded records an attempt that the target served.
func (r *Roster) Succeeded(now time.Time, id domain.InstanceID) { r.recordAttempt(now, id, false) }

// Failed records an attempt that failed at the target although the target could be reached.
func (r *Roster) Failed(now time.Time, id domain.InstanceID) { r.recordAttempt(now, id, true) }

func (r *Roster) recordAttempt(now time.Time, id domain.InstanceID, failed bool) {
	e, ok := r.lookup(id)
	if !ok {
		return
	}
	all, ok := r.byService[e.target.Service()]
	if !ok {
		all = &health{}
		r.byService[e.target.Service()] = all
	}
	all.addSample(failed)
	e.health.addSample(failed)
	if !failed {
		r.failures.ClearOwn(id)
		e.health.succeeded(now)
		return
	}
	if e.health.failsMoreThan(all, r.policy.FailShare) {
		e.health.eject(now, r.policy)
	}
}

// Rejected records an attempt that the target rejected for lack of capacity, without stating for
// how long.
func (r *Roster) Rejected(now time.Time, id domain.InstanceID) {
	if e, ok := r.lookup(id); ok {
		e.health.markFull(now, r.policy)
	}
}

// Unreachable records an attempt that could not connect to the target.
func (r *Roster) Unreachable(now time.Time, id domain.InstanceID) {
	if e, ok := r.lookup(id); ok {
		e.health.markUnreachable(now, r.policy)
	}
}

// PeerUnreachable records the report of another box that it has not reached the target since the
// target's report of the given time. It is ignored if the target has reported later.
func (r *Roster) PeerUnreachable(now time.Time, id domain.InstanceID, lastReport time.Time) {
	if e, ok := r.lookup(id); ok && !e.reportedAt.After(lastReport) {
		e.health.markUnreachable(now, r.policy)
	}
}

// Get returns the target of the instance if it is current.
func (r *Roster) Get(id domain.InstanceID) (domain.Target, bool) {
	e, ok := r.lookup(id)
	if !ok {
		return domain.Target{}, false
	}
	return e.target, true
}

// All returns the listed targets as updates for other boxes, in order of their ids.
func (r *Roster) All() []TargetUpdate {
	var list []TargetUpdate
	for _, e := range r.entries {
		if e.removedAt.IsZero() {
			t := e.target
			list = append(list, TargetUpdate{ID: t.ID(), At: e.at, Target: &t})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Ranks returns the listed targets that are ranks of groups, in no order.
func (r *Roster) Ranks() []domain.Target {
	var list []domain.Target
	for _, e := range r.entries {
		if _, grouped := e.target.Rank(); grouped && e.removedAt.IsZero() {
			list = append(list, e.target)
		}
	}
	return list
}

// forget deletes the entries that were removed longer than ForgetAfter ago.
func (r *Roster) forget(now time.Time) {
	for id, e := range r.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > r.policy.ForgetAfter {
			delete(r.entries, id)
		}
	}
}
