package membership

import (
	"sort"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// RosterPolicy holds the durations and thresholds by which a Roster rates targets.
type RosterPolicy struct {
	// Grace is how long a target may still be used after its entry was removed while the
	// store was unavailable. It must be shorter than the platform's drain period: once that has
	// ended, the platform counts the use of the target as a fault.
	Grace time.Duration
	// StoreRecovery is how long the store, after it was unavailable or was restored from a backup,
	// may still lack entries of running targets.
	StoreRecovery time.Duration
	// EjectFor is the length of the first ejection of a failing target; each further one
	// doubles it, up to EjectMax.
	EjectFor, EjectMax time.Duration
	// UnreachableMax is the longest time for which a target that could not be reached is not
	// tried. That time is EjectFor at first, and doubles with each further failed connection in a
	// row.
	UnreachableMax time.Duration
	// RejectedFor is how long a target is suspect after it rejected an attempt for lack of capacity
	// and did not state when it accepts work again; each further rejection in a row doubles it, up
	// to RejectedMax.
	RejectedFor, RejectedMax time.Duration
	// FailShare is the margin, from 0 to 1, by which a target's share of failed attempts must
	// exceed that of its whole service for the target to be ejected.
	FailShare float64
	// PeerEjectFor is the length of the first ejection of a target of which several boxes report
	// failures; each further ejection doubles it, up to EjectMax.
	PeerEjectFor time.Duration
	// Spread is the fraction, from 0 to 1, by which this box prolongs the ejection of a target of
	// which several boxes report failures. It differs between boxes, so that one of them tries the
	// target first and reports the result to the others.
	Spread float64
	// MinInUse is the lowest share, from 0 to 1, of a service's good and suspect targets that are
	// rated good: suspect ones are rated good until it is reached. The standing of their groups and
	// data halls is applied after that.
	MinInUse float64
	// ReportFresh is how long a target's own report of its group takes precedence over the
	// list, which lags behind. A data hall with unreachable targets is silent once none of its
	// targets has responded for longer than that while targets of other halls have.
	ReportFresh time.Duration
	// UnresponsiveAfter is how long a target that used to report its status may send no report,
	// while other targets do, before it is suspect: more than two of the intervals at which a box
	// queries a target that dozens of boxes share.
	UnresponsiveAfter time.Duration
	// StallAfter is how long a group that has requests to work on may remain at one step before
	// it is suspect: several times the duration of the longest step.
	StallAfter time.Duration
	// ForgetAfter is how long a removed target is remembered, so that older updates do not
	// restore it.
	ForgetAfter time.Duration
}

// lapsedGraceTenths is how many tenths of the platform's drain period a lapsed target may get new
// requests: the rest is left for requests that are under way.
const lapsedGraceTenths = 6

// DefaultRosterPolicy returns the policy for a platform on which a target may still get new
// requests for the drain period after it was announced as leaving.
func DefaultRosterPolicy(drain time.Duration) RosterPolicy {
	return RosterPolicy{
		Grace:             drain * lapsedGraceTenths / 10,
		StoreRecovery:     3 * time.Second,
		EjectFor:          time.Second,
		EjectMax:          8 * time.Second,
		UnreachableMax:    4 * time.Second,
		RejectedFor:       250 * time.Millisecond, // the duration of a few typical requests
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
	target       domain.Target
	lastChange   store.Position // position of the last change applied to the entry
	removedAt    time.Time      // zero while the target is listed
	unusable     bool           // the entry was removed because it names no target
	graceUntil   time.Time      // end of the time for which a removed target may still be used
	replaced     bool           // another instance answered at the target's address
	leavingAt    time.Time      // when this box received the target's report that it is leaving; zero if none
	restUntil    time.Time      // time until which the target asked this box to send no work
	health       health
	reportedRank domain.Rank // the target's rank by its own last report
	reportedAt   time.Time   // time of the target's last report
	backAt       time.Time   // time of the first report, or of the first one after UnresponsiveAfter without any
	stopped      groupStop
	progress     progress
	formation    formation // the latest one in which the target was seen
}

// Roster is one entry box's view of the targets. It merges the platform's list, the copies of the
// list from other boxes, the status reports of the targets, and the outcomes of attempts.
//
// For each listed id it holds one instance, the current one. Updates for a listed id are ordered by
// the start time of the instance and, for one instance, by store position. So the result does not
// depend on their source or order of arrival: if an entry of an earlier instance reaches the store
// late, it has no effect on the current one.
//
// A Roster is not safe for concurrent use.
type Roster struct {
	policy        RosterPolicy
	listPosition  store.Position // position up to which all changes of the list are applied
	newest        store.Position // position of the last change of a target in the list; may be after listPosition
	purgedTo      store.Position // position of the last removal that is not remembered any more
	entries       map[domain.ListedID]*entry
	byService     map[domain.ServiceName][]*entry // ordered by the ids of targets; emptied when a target comes or goes
	serviceHealth map[domain.ServiceName]*health
	lastReportAt  time.Time // time of the last report of any target
	failures      *FailureReports
	evacuations   *Evacuations
	// storeUnavailableAt is the last time at which the store was unavailable as far as is known; zero if never.
	storeUnavailableAt time.Time
	// storeUnavailable states that the store has not answered since then.
	storeUnavailable bool
	// restoredAt is when the first list after the last restore of the store was applied, that is, a
	// list of a later era than those before; zero if there was none. restorePosition is the
	// position of that list.
	restoredAt      time.Time
	restorePosition store.Position
}

// NewRoster returns an empty roster for the box self.
func NewRoster(self domain.BoxID, p RosterPolicy) *Roster {
	return &Roster{
		policy:        p,
		failures:      NewFailureReports(self),
		entries:       map[domain.ListedID]*entry{},
		byService:     map[domain.ServiceName][]*entry{},
		serviceHealth: map[domain.ServiceName]*health{},
		evacuations:   NewEvacuations(),
	}
}

// Evacuations returns the evacuations of data halls, whose targets get no new work.
func (r *Roster) Evacuations() *Evacuations { return r.evacuations }

// SetPolicy replaces the policy.
func (r *Roster) SetPolicy(p RosterPolicy) { r.policy = p }

// At returns the position up to which all changes of the list are applied.
func (r *Roster) At() store.Position { return r.listPosition }

// Newest returns the position of the last change of a target in the list, of those up to At. It may be before
// At, as other records of the store change too.
func (r *Roster) Newest() store.Position { return store.Earlier(r.newest, r.listPosition) }

// StoreUnavailable records that the store was found unavailable at the given time.
func (r *Roster) StoreUnavailable(now time.Time) {
	r.storeUnavailable, r.storeUnavailableAt = true, now
}

// StoreAvailable records that the store answered, or that another box that follows it for this one reports so.
func (r *Roster) StoreAvailable(now time.Time) {
	if r.storeUnavailable {
		r.storeUnavailable, r.storeUnavailableAt = false, now
	}
}

// HubReported records whether a hub that may follow the store for this box reports that it does. If it does
// not, the store is unavailable to it, and entries that it reports as removed may only have lapsed.
func (r *Roster) HubReported(now time.Time, followsStore bool) {
	if followsStore {
		r.StoreAvailable(now)
	} else {
		r.StoreUnavailable(now)
	}
}

// TargetUpdate is one change of the list: an entry that was added, changed or removed.
type TargetUpdate struct {
	// ID is the instance to which the entry belongs. If Target is nil, it may be a listed id
	// without a start time; the update then applies to the current instance under that id.
	ID     domain.InstanceID
	At     store.Position // position of the change
	Target *domain.Target // target as listed; nil if the entry was removed or is unusable
	// Unusable reports that the entry exists but describes no valid target: it came from another
	// writer, or cannot be decoded. The target is not used from then on, without the grace for
	// entries that lapse while the store is unavailable.
	Unusable bool
}

// ApplyList applies the complete list as of the position, and returns the updates that were
// applied. A list from before the position of the roster (At) is ignored.
//
// A list that was read in pages is as of its first page. It may have later updates, of changes between the
// pages, while it lacks others from before them.
func (r *Roster) ApplyList(now time.Time, at store.Position, list []TargetUpdate) []TargetUpdate {
	if r.listPosition.After(at) {
		return nil
	}
	r.enterEra(now, at)
	present := make(map[domain.ListedID]bool, len(list))
	var applied []TargetUpdate
	for _, u := range list {
		present[u.ID.ListedID()] = true
		applied = append(applied, r.apply(now, u)...)
	}
	for id, e := range r.entries {
		if !present[id] && e.removedAt.IsZero() && !e.lastChange.After(at) {
			applied = append(applied, r.apply(now, TargetUpdate{ID: domain.InstanceID(id), At: at})...)
		}
	}
	r.listPosition = store.Later(r.listPosition, at)
	r.purgeRemoved(now)
	return applied
}

// ApplyChanges applies changes of the list, with which all changes up to the position are applied, and returns
// those that were not outdated.
func (r *Roster) ApplyChanges(now time.Time, at store.Position, changes []TargetUpdate) []TargetUpdate {
	var applied []TargetUpdate
	for _, u := range changes {
		applied = append(applied, r.apply(now, u)...)
	}
	r.CaughtUp(now, at)
	return applied
}

// ApplyUpdate applies one change of the list, with which all changes up to its position are applied. It returns
// the update if it was applied, and nil if it was outdated.
func (r *Roster) ApplyUpdate(now time.Time, u TargetUpdate) []TargetUpdate {
	r.listPosition = store.Later(r.listPosition, u.At)
	return r.apply(now, u)
}

// apply applies one change of the list, regardless of which others are applied.
func (r *Roster) apply(now time.Time, u TargetUpdate) []TargetUpdate {
	r.newest = store.Later(r.newest, u.At)
	e, known := r.entries[u.ID.ListedID()]
	if !known {
		e = &entry{}
		r.entries[u.ID.ListedID()] = e
	}
	if u.Target != nil && u.ID.StartTime() == 0 && e.target.ID().StartTime() != 0 {
		// A target that once wrote its start time always does, so another writer wrote this entry.
		u.Target, u.Unusable = nil, true
	}
	if known && (!e.supersededBy(u) || r.outdated(now, e, u)) {
		return nil
	}
	lostInRestore := r.fromRestore(e, u)
	e.lastChange = store.Later(e.lastChange, u.At)
	if u.Target == nil {
		r.remove(now, e, lostInRestore, u.Unusable)
		return []TargetUpdate{u}
	}
	if e.target.ID() != u.Target.ID() {
		*e = entry{lastChange: e.lastChange} // the state of the previous instance does not apply to this one
	}
	if e.target.ID() != u.Target.ID() || e.target.Service() != u.Target.Service() {
		clear(r.byService)
	}
	e.target = *u.Target
	e.removedAt, e.graceUntil, e.unusable = time.Time{}, time.Time{}, false
	if rank, ok := e.target.Rank(); ok {
		e.seeEpoch(now, rank)
	}
	return []TargetUpdate{u}
}

// supersededBy reports whether the update is newer than the entry: whether it is of a later
// instance, or of the same instance at a later position. A removal need not state the instance, so
// it is compared by position only, and so is any update from before the removal of the entry.
func (e *entry) supersededBy(u TargetUpdate) bool {
	updateStart, entryStart := u.ID.StartTime(), e.target.ID().StartTime()
	if u.Target == nil || updateStart == entryStart || !e.removedAt.IsZero() && e.lastChange.After(u.At) {
		return u.At.After(e.lastChange)
	}
	return updateStart > entryStart
}

// lookup returns the entry of the instance; false if it is not the current instance under its
// listed id.
func (r *Roster) lookup(id domain.InstanceID) (*entry, bool) {
	e, ok := r.entries[id.ListedID()]
	if !ok || e.target.ID() != id {
		return nil, false
	}
	return e, true
}

// CurrentInstance returns the current instance under the listed id; false if none is known.
func (r *Roster) CurrentInstance(id domain.ListedID) (domain.InstanceID, bool) {
	e, ok := r.entries[id]
	if !ok {
		return "", false
	}
	return e.target.ID(), e.target.ID() != ""
}

// remove marks the entry as removed, and determines for how long its target may still be used:
//   - Not at all if the entry is unusable, if the target was listed as leaving, or if the store is
//     available: the removal then means that the target is leaving.
//   - For Grace if the store is unavailable or recovering: the entry may only have lapsed, while the
//     target still runs.
//   - Until StoreRecovery after the restore if the entry is missing from a restored store
//     (lostInRestore): a running target writes it again by then.
func (r *Roster) remove(now time.Time, e *entry, lostInRestore, unusable bool) {
	if !e.removedAt.IsZero() && !unusable {
		return // a second removal does not end the grace that the first one gave
	}
	e.removedAt, e.graceUntil, e.unusable = now, time.Time{}, unusable
	if unusable || e.target.State() != domain.TargetReady {
		return
	}
	recovering := r.storeUnavailable || !r.storeUnavailableAt.IsZero() && now.Sub(r.storeUnavailableAt) < r.policy.StoreRecovery
	switch {
	case lostInRestore:
		e.graceUntil = r.restoredAt.Add(r.policy.StoreRecovery)
	case recovering:
		e.graceUntil = now.Add(r.policy.Grace)
	}
}

// CaughtUp records that all changes up to the position have been applied.
func (r *Roster) CaughtUp(now time.Time, at store.Position) {
	r.listPosition = store.Later(r.listPosition, at)
	r.purgeRemoved(now)
}

// Reported records a status report that a target made at the given time: its rank in its group, the
// last step that the group has begun, and whether the target has requests to work on. It ignores a
// report that is not newer than the last one from the target, and returns false: reports that other
// boxes relay may arrive late.
func (r *Roster) Reported(at time.Time, id domain.InstanceID, rank domain.Rank, step uint64, working bool) bool {
	e, ok := r.lookup(id)
	if !ok || !at.After(e.reportedAt) {
		return false
	}
	if e.reportedAt.IsZero() || at.Sub(e.reportedAt) > r.policy.UnresponsiveAfter {
		e.backAt = at
	}
	e.reportedRank, e.reportedAt = rank, at
	e.seeEpoch(at, rank)
	if at.After(r.lastReportAt) {
		r.lastReportAt = at
	}
	e.progress.update(at, step, working)
	if !at.Before(e.health.unreachableAt) {
		e.health.markReached(at)
	}
	return true
}

// Replaced records that another instance answered at the address of this one.
func (r *Roster) Replaced(id domain.InstanceID) {
	if e, ok := r.lookup(id); ok {
		e.replaced = true
	}
}

// Succeeded records an attempt that the target served.
func (r *Roster) Succeeded(now time.Time, id domain.InstanceID) { r.recordAttempt(now, id, false) }

// Failed records an attempt that failed at the target although the target could be reached.
func (r *Roster) Failed(now time.Time, id domain.InstanceID) { r.recordAttempt(now, id, true) }

// recordAttempt adds the outcome to the health of the target and of its service. It ejects a target
// that fails more often than its service by the margin FailShare.
func (r *Roster) recordAttempt(now time.Time, id domain.InstanceID, failed bool) {
	e, ok := r.lookup(id)
	if !ok {
		return
	}
	service, ok := r.serviceHealth[e.target.Service()]
	if !ok {
		service = &health{}
		r.serviceHealth[e.target.Service()] = service
	}
	service.addSample(failed)
	e.health.addSample(failed)
	if !failed {
		r.failures.ClearOwn(id)
		e.health.succeeded(now)
		return
	}
	if e.health.failsMoreThan(service, r.policy.FailShare) {
		e.health.eject(now, r.policy)
	}
}

// Rejected records an attempt that the target rejected for lack of capacity without stating when it
// accepts work again (see RestRequested).
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

// PeerUnreachable records that another box cannot reach the target, and that the last report it
// received from the target was made at lastReport. It has no effect if this roster has a later
// report of the target.
func (r *Roster) PeerUnreachable(now time.Time, id domain.InstanceID, lastReport time.Time) {
	if e, ok := r.lookup(id); ok && !e.reportedAt.After(lastReport) {
		e.health.markUnreachable(now, r.policy)
	}
}

// Get returns the target of the instance; false if it is not the current one under its listed id.
func (r *Roster) Get(id domain.InstanceID) (domain.Target, bool) {
	e, ok := r.lookup(id)
	if !ok {
		return domain.Target{}, false
	}
	return e.target, true
}

// All returns the complete list as updates for other boxes, ordered by id.
func (r *Roster) All() []TargetUpdate {
	var list []TargetUpdate
	for _, e := range r.entries {
		if e.removedAt.IsZero() {
			t := e.target
			list = append(list, TargetUpdate{ID: t.ID(), At: e.lastChange, Target: &t})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Ranks returns the listed targets that are ranks of groups, in no particular order.
func (r *Roster) Ranks() []domain.Target {
	var list []domain.Target
	for _, e := range r.entries {
		if _, grouped := e.target.Rank(); grouped && e.removedAt.IsZero() {
			list = append(list, e.target)
		}
	}
	return list
}

// purgeRemoved deletes the entries that were removed longer than ForgetAfter ago.
func (r *Roster) purgeRemoved(now time.Time) {
	for id, e := range r.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > r.policy.ForgetAfter {
			delete(r.entries, id)
			clear(r.byService)
			r.purgedTo = store.Later(r.purgedTo, e.lastChange)
		}
	}
}
