package membership

import (
	"sort"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// RosterPolicy holds the times and shares of a Roster.
type RosterPolicy struct {
	// Grace is how long a target whose entry vanished while the store was in trouble
	// may still be used. It must end before the platform holds the use against us.
	Grace time.Duration
	// StoreRecovery is how long after its return the store may still be missing entries of
	// targets that live.
	StoreRecovery time.Duration
	// EjectFor is the first ejection of a failing target; each further one doubles
	// it, up to EjectMax.
	EjectFor, EjectMax time.Duration
	// UnreachableMax bounds how long a target that could not be reached is not tried.
	UnreachableMax time.Duration
	// RejectedFor is for how long a target that turned an attempt away for want of room, and
	// did not say for how long, is suspect; each further one in a row doubles it, up to
	// RejectedMax.
	RejectedFor, RejectedMax time.Duration
	// FailShare is the share of failures, above that of the service as a whole, from
	// which a target is ejected.
	FailShare float64
	// PeerEjectFor is the first ejection of a target that several boxes report failures of; it
	// doubles as others do.
	PeerEjectFor time.Duration
	// Spread is by which share of it this box ejects a reported target for longer than
	// others might, so that one of them tries it first and tells the rest; from 0 to 1.
	Spread float64
	// MinInUse is the share of a service's targets that ejections leave in use.
	MinInUse float64
	// ReportFresh is for how long a target's own news of its group goes before the
	// list's, which lags.
	ReportFresh time.Duration
	// UnresponsiveAfter is for how long a target that spoke for itself may be silent, while
	// others are not, before it is suspect: more than two questions of a box that shares
	// its targets with dozens of others.
	UnresponsiveAfter time.Duration
	// StallAfter is how long a group with work may stand at one step before it is
	// suspect: several times the longest step.
	StallAfter time.Duration
	// ForgetAfter is how long a target that is gone is remembered, so that older news
	// does not bring it back.
	ForgetAfter time.Duration
}

// graceTenths is the part of the grace to drain for which a lapsed target is used, in tenths: the
// rest is for requests that are on their way.
const graceTenths = 6

// DefaultRosterPolicy fits a platform that gives grace to drain.
func DefaultRosterPolicy(grace time.Duration) RosterPolicy {
	return RosterPolicy{
		Grace:             grace * graceTenths / 10,
		StoreRecovery:     3 * time.Second,
		EjectFor:          time.Second,
		EjectMax:          8 * time.Second,
		UnreachableMax:    4 * time.Second,
		RejectedFor:       250 * time.Millisecond, // a few requests of a usual target
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

// entry is what is known of the latest start under one listed id.
type entry struct {
	target   domain.Target
	at       store.Position // of its last change
	goneAt   time.Time      // zero while it is listed
	grace    time.Time      // until when it may be used although it is gone
	replaced bool           // another instance answered at its address
	leftAt   time.Time      // when this box learned that it reports that it is leaving; zero if it does not
	restTo   time.Time      // until when it wants nothing from this box
	health   health
	own      domain.Rank // its own news of its group
	ownAt    time.Time
	progress progress
}

// Roster is the set of targets as one entry box sees it, each named by its
// instance. It merges the platform's list, what other boxes report about the list, what
// targets report about themselves, and how attempts end. News of a listed id is ordered by
// when the start was born to which it belongs and, within one start, by positions of the
// store, so that it does not matter from whom and in which order it comes: an entry
// that a start wrote and that reaches the store late reports nothing about the next one. It
// is not safe for concurrent use.
type Roster struct {
	policy    RosterPolicy
	at        store.Position // up to which the list is known
	newest    store.Position // of the last change in it
	entries   map[domain.ListedID]*entry
	byService map[domain.ServiceName]*health
	heardAt   time.Time // when any target spoke for itself last
	failures  *FailureReports
	storeBack time.Time // when the store last came back, or now while it is away
	// restoredAt is when the first list of a later era was taken, and restoredTo its position.
	restoredAt time.Time
	restoredTo store.Position
}

// SetPolicy changes the bounds from now on.
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

// At is the position up to which the list is known.
func (r *Roster) At() store.Position { return r.at }

// Newest is the position of the last change that is known.
func (r *Roster) Newest() store.Position { return r.newest }

// StoreUnavailable records that the store is away, or was until now.
func (r *Roster) StoreUnavailable(now time.Time) { r.storeBack = now }

// TargetUpdate is one change of the list: a target as it stands now, or none where its
// entry is gone or names none.
type TargetUpdate struct {
	// ID is the start that the entry speaks of. Where there is no target it may be no
	// more than the listed id, and speaks of whichever start stands under that.
	ID     domain.InstanceID
	At     store.Position
	Target *domain.Target // nil if there is none
	// Unusable reports that the entry is there and names no target to use: it came from
	// another writer, or cannot be read. The target is used no more at once, also while the
	// store is in trouble.
	Unusable bool
}

// ApplyList takes the whole list as it was at the position. A list older than what is
// known is passed over. It returns the news in it.
func (r *Roster) ApplyList(now time.Time, at store.Position, list []TargetUpdate) []TargetUpdate {
	if r.at.After(at) {
		return nil
	}
	r.enter(now, at)
	present := make(map[domain.ListedID]bool, len(list))
	var fresh []TargetUpdate
	for _, n := range list {
		present[n.ID.Listed()] = true
		fresh = append(fresh, r.ApplyUpdate(now, n)...)
	}
	for id, e := range r.entries {
		if !present[id] && e.goneAt.IsZero() && !e.at.After(at) {
			fresh = append(fresh, r.ApplyUpdate(now, TargetUpdate{ID: domain.InstanceID(id), At: at})...)
		}
	}
	r.at = store.Later(r.at, at)
	r.forget(now)
	return fresh
}

// ApplyUpdate takes one change of the list, and returns it if it was news.
func (r *Roster) ApplyUpdate(now time.Time, n TargetUpdate) []TargetUpdate {
	r.at, r.newest = store.Later(r.at, n.At), store.Later(r.newest, n.At)
	e, known := r.entries[n.ID.Listed()]
	if !known {
		e = &entry{}
		r.entries[n.ID.Listed()] = e
	}
	if n.Target != nil && n.ID.Born() == 0 && e.target.ID().Born() != 0 {
		n.Target, n.Unusable = nil, true // who said once when it was born always does
	}
	if known && (!e.before(n) || r.outdated(now, e, n)) {
		return nil
	}
	lost := r.restored(e, n)
	e.at = store.Later(e.at, n.At)
	if n.Target == nil {
		r.vanish(now, e, lost, n.Unusable)
		return []TargetUpdate{n}
	}
	if e.target.ID() != n.Target.ID() {
		*e = entry{at: e.at} // nothing of the start before holds for this one
	}
	e.target = *n.Target
	e.goneAt, e.grace = time.Time{}, time.Time{}
	return []TargetUpdate{n}
}

// before reports that what is known comes before the news: that is of a later start, or
// of the same at a later position. The entry of an earlier start that reached the store
// late is passed over.
func (e *entry) before(n TargetUpdate) bool {
	born, own := n.ID.Born(), e.target.ID().Born()
	if n.Target == nil || born == own || !e.goneAt.IsZero() && e.at.After(n.At) {
		return n.At.After(e.at)
	}
	return born > own
}

// of is what is known of the start; false if another one stands under its listed id.
func (r *Roster) of(id domain.InstanceID) (*entry, bool) {
	e, ok := r.entries[id.Listed()]
	if !ok || e.target.ID() != id {
		return nil, false
	}
	return e, true
}

// CurrentInstance is the start that stands under the listed id.
func (r *Roster) CurrentInstance(id domain.ListedID) (domain.InstanceID, bool) {
	e, ok := r.entries[id]
	if !ok {
		return "", false
	}
	return e.target.ID(), e.target.ID() != ""
}

// vanish: an entry that goes while the store is well, or after its target reported
// that it is leaving, means that the target is leaving. One that goes while the
// store is in trouble may only have lapsed. One that the restored store has lost is written
// again by a target that lives.
func (r *Roster) vanish(now time.Time, e *entry, lost, unusable bool) {
	if !e.goneAt.IsZero() && !unusable {
		return // it is gone already, and no longer to be used for being removed again
	}
	e.goneAt, e.grace = now, time.Time{}
	if unusable || e.target.State() != domain.TargetReady {
		return
	}
	troubled := !r.storeBack.IsZero() && now.Sub(r.storeBack) < r.policy.StoreRecovery
	switch {
	case lost:
		e.grace = r.restoredAt.Add(r.policy.StoreRecovery)
	case troubled:
		e.grace = now.Add(r.policy.Grace)
	}
}

// CaughtUp records that all changes up to the position have been taken.
func (r *Roster) CaughtUp(at store.Position) { r.at = store.Later(r.at, at) }

// Reported takes a target's own report, made at the time, of its place in a group, of
// the last step that the group has begun, and of whether it has requests to work on. It
// reports whether that was news: reports may come through other boxes, and late.
func (r *Roster) Reported(at time.Time, id domain.InstanceID, own domain.Rank, step uint64, working bool) bool {
	e, ok := r.of(id)
	if !ok || !at.After(e.ownAt) {
		return false
	}
	e.own, e.ownAt = own, at
	if at.After(r.heardAt) {
		r.heardAt = at
	}
	e.progress.take(at, step, working)
	if !at.Before(e.health.missedAt) {
		e.health.reached(at)
	}
	return true
}

// Replaced records that another instance answered at the target's address.
func (r *Roster) Replaced(id domain.InstanceID) {
	if e, ok := r.of(id); ok {
		e.replaced = true
	}
}

// Succeeded takes an attempt that the target served.
func (r *Roster) Succeeded(now time.Time, id domain.InstanceID) { r.ended(now, id, false) }

// Failed takes an attempt that the target let down although it could be reached.
func (r *Roster) Failed(now time.Time, id domain.InstanceID) { r.ended(now, id, true) }

func (r *Roster) ended(now time.Time, id domain.InstanceID, failed bool) {
	e, ok := r.of(id)
	if !ok {
		return
	}
	all, ok := r.byService[e.target.Service()]
	if !ok {
		all = &health{}
		r.byService[e.target.Service()] = all
	}
	all.add(failed)
	e.health.add(failed)
	if !failed {
		r.failures.ClearOwn(id)
		e.health.succeeded(now)
		return
	}
	if e.health.worse(all, r.policy.FailShare) {
		e.health.eject(now, r.policy)
	}
}

// Rejected takes an attempt that the target turned away for want of room, without saying for
// how long.
func (r *Roster) Rejected(now time.Time, id domain.InstanceID) {
	if e, ok := r.of(id); ok {
		e.health.turnAway(now, r.policy)
	}
}

// Unreachable takes an attempt that could not reach the target at all.
func (r *Roster) Unreachable(now time.Time, id domain.InstanceID) {
	if e, ok := r.of(id); ok {
		e.health.unreach(now, r.policy)
	}
}

// PeerUnreachable takes another box's report that it could not reach the target at all since the
// target reported at the time. It counts unless the target has reported later.
func (r *Roster) PeerUnreachable(now time.Time, id domain.InstanceID, spoke time.Time) {
	if e, ok := r.of(id); ok && !e.ownAt.After(spoke) {
		e.health.unreach(now, r.policy)
	}
}

// Get returns the target of an instance that is known.
func (r *Roster) Get(id domain.InstanceID) (domain.Target, bool) {
	e, ok := r.of(id)
	if !ok {
		return domain.Target{}, false
	}
	return e.target, true
}

// All returns the listed targets as news, in order of their ids, for passing on.
func (r *Roster) All() []TargetUpdate {
	var list []TargetUpdate
	for _, e := range r.entries {
		if e.goneAt.IsZero() {
			t := e.target
			list = append(list, TargetUpdate{ID: t.ID(), At: e.at, Target: &t})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Ranks are the listed targets that are ranks of groups, in no order.
func (r *Roster) Ranks() []domain.Target {
	var list []domain.Target
	for _, e := range r.entries {
		if _, grouped := e.target.Rank(); grouped && e.goneAt.IsZero() {
			list = append(list, e.target)
		}
	}
	return list
}

// forget drops instances that have been gone for long.
func (r *Roster) forget(now time.Time) {
	for id, e := range r.entries {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > r.policy.ForgetAfter {
			delete(r.entries, id)
		}
	}
}
