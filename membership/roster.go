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
	// Trouble is how long after its return the store may still be missing entries of
	// targets that live.
	Trouble time.Duration
	// EjectFor is the first ejection of a failing target; each further one doubles
	// it, up to EjectMost.
	EjectFor, EjectMost time.Duration
	// FailShare is the share of failures, above that of the service as a whole, from
	// which a target is ejected.
	FailShare float64
	// Floor is the share of a service's targets that ejections leave in use.
	Floor float64
	// ReportFresh is for how long a target's own word of its group goes before the
	// list's, which lags.
	ReportFresh time.Duration
	// ForgetAfter is how long a target that is gone is remembered, so that older news
	// does not bring it back.
	ForgetAfter time.Duration
}

// DefaultRosterPolicy fits a platform that gives grace to drain.
func DefaultRosterPolicy(grace time.Duration) RosterPolicy {
	return RosterPolicy{
		Grace:       grace * 6 / 10, // the rest is for requests that are on their way
		Trouble:     3 * time.Second,
		EjectFor:    time.Second,
		EjectMost:   8 * time.Second,
		FailShare:   0.25,
		Floor:       0.5,
		ReportFresh: time.Second,
		ForgetAfter: time.Minute,
	}
}

// Standing is what a Roster makes of a target.
type Standing int

// The standings, from the best to the worst.
const (
	// Good: nothing speaks against it.
	Good Standing = iota
	// Suspect: it, or a rank of its group, has lately failed.
	Suspect
	// Lapsed: its entry vanished while the store was in trouble; it may live.
	Lapsed
	// Unfit: its group does not step.
	Unfit
	// Leaving: it is leaving or gone, and gets nothing.
	Leaving
)

// String gives the name of the standing.
func (s Standing) String() string {
	return [...]string{"good", "suspect", "lapsed", "unfit", "leaving"}[s]
}

// Usable is a target that may get new work, with its standing.
type Usable struct {
	Target   domain.Target
	Standing Standing
}

// entry is what is known of one instance.
type entry struct {
	target   domain.Target
	revision store.Revision
	goneAt   time.Time // zero while it is listed
	grace    time.Time // until when it may be used although it is gone
	replaced bool      // another instance answered at its address
	health   health
	own      domain.Rank // its own word of its group
	ownAt    time.Time
}

// Roster is the set of targets as one entry box sees it, each named by its
// instance. It merges the platform's list, what other boxes say of the list, what
// targets say of themselves, and how attempts end. News of an instance is ordered
// by the store's revisions, so that it does not matter from whom and in which order
// it comes. It is not safe for concurrent use.
type Roster struct {
	policy    RosterPolicy
	at        store.Revision // up to which the list is known
	newest    store.Revision // of the last change in it
	entries   map[domain.InstanceID]*entry
	byService map[domain.ServiceName]*health
	storeBack time.Time // when the store last came back, or now while it is away
}

// NewRoster returns an empty roster.
func NewRoster(p RosterPolicy) *Roster {
	return &Roster{
		policy:    p,
		entries:   map[domain.InstanceID]*entry{},
		byService: map[domain.ServiceName]*health{},
	}
}

// At is the revision up to which the list is known.
func (r *Roster) At() store.Revision { return r.at }

// Newest is the revision of the last change that is known.
func (r *Roster) Newest() store.Revision { return r.newest }

// StoreTroubled tells that the store is away, or was until now.
func (r *Roster) StoreTroubled(now time.Time) { r.storeBack = now }

// News is one change of the list: a target as it stands now, or none where its
// entry is gone.
type News struct {
	ID       domain.InstanceID
	Revision store.Revision
	Target   *domain.Target // nil if the entry is gone
}

// Listed takes the whole list as it was at the revision. A list older than what is
// known is passed over. It returns the news in it.
func (r *Roster) Listed(now time.Time, at store.Revision, list []News) []News {
	if at < r.at {
		return nil
	}
	present := make(map[domain.InstanceID]bool, len(list))
	var fresh []News
	for _, n := range list {
		present[n.ID] = true
		fresh = append(fresh, r.Changed(now, n)...)
	}
	for id, e := range r.entries {
		if !present[id] && e.goneAt.IsZero() && e.revision <= at {
			fresh = append(fresh, r.Changed(now, News{ID: id, Revision: at})...)
		}
	}
	r.at = max(r.at, at)
	r.forget(now)
	return fresh
}

// Changed takes one change of the list, and returns it if it was news.
func (r *Roster) Changed(now time.Time, n News) []News {
	e, known := r.entries[n.ID]
	if known && n.Revision <= e.revision {
		return nil
	}
	if !known {
		e = &entry{}
		r.entries[n.ID] = e
	}
	e.revision = n.Revision
	r.at, r.newest = max(r.at, n.Revision), max(r.newest, n.Revision)
	if n.Target == nil {
		r.vanish(now, e)
		return []News{n}
	}
	e.target = *n.Target
	e.goneAt, e.grace = time.Time{}, time.Time{}
	return []News{n}
}

// vanish: an entry that goes while the store is well, or after its target said
// that it is leaving, means that the target is leaving. One that goes while the
// store is in trouble may only have lapsed.
func (r *Roster) vanish(now time.Time, e *entry) {
	e.goneAt = now
	troubled := !r.storeBack.IsZero() && now.Sub(r.storeBack) < r.policy.Trouble
	if troubled && e.target.State() == domain.TargetReady {
		e.grace = now.Add(r.policy.Grace)
	}
}

// CaughtUp tells that all changes up to the revision have been taken.
func (r *Roster) CaughtUp(at store.Revision) { r.at = max(r.at, at) }

// Reported takes a target's own word of its place in a group.
func (r *Roster) Reported(now time.Time, id domain.InstanceID, own domain.Rank) {
	if e, ok := r.entries[id]; ok {
		e.own, e.ownAt = own, now
	}
}

// Replaced tells that another instance answered at the target's address.
func (r *Roster) Replaced(id domain.InstanceID) {
	if e, ok := r.entries[id]; ok {
		e.replaced = true
	}
}

// Succeeded takes an attempt that the target served.
func (r *Roster) Succeeded(id domain.InstanceID) { r.ended(time.Time{}, id, false) }

// Failed takes an attempt that the target let down although it could be reached.
func (r *Roster) Failed(now time.Time, id domain.InstanceID) { r.ended(now, id, true) }

func (r *Roster) ended(now time.Time, id domain.InstanceID, failed bool) {
	e, ok := r.entries[id]
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
		e.health.succeeded()
		return
	}
	if e.health.worse(all, r.policy.FailShare) {
		e.health.eject(now, r.policy)
	}
}

// Unreachable takes an attempt that could not reach the target at all.
func (r *Roster) Unreachable(now time.Time, id domain.InstanceID) {
	if e, ok := r.entries[id]; ok {
		e.health.eject(now, r.policy)
		e.health.unreached = true
	}
}

// Get returns the target of an instance that is known.
func (r *Roster) Get(id domain.InstanceID) (domain.Target, bool) {
	e, ok := r.entries[id]
	if !ok {
		return domain.Target{}, false
	}
	return e.target, true
}

// All returns the listed targets as news, in order of their ids, for passing on.
func (r *Roster) All() []News {
	var list []News
	for id, e := range r.entries {
		if e.goneAt.IsZero() {
			t := e.target
			list = append(list, News{ID: id, Revision: e.revision, Target: &t})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Usable returns the targets of the service that may get new work, the best
// standing first, and within one in order of id.
func (r *Roster) Usable(now time.Time, svc domain.ServiceName) []Usable {
	broken, suspect := r.groups(now, svc)
	var list []Usable
	for _, e := range r.entries {
		if e.target.Service() != svc {
			continue
		}
		s := r.standing(now, e)
		if g, ok := e.target.Rank(); ok && s < Leaving {
			s = max(s, groupStanding(broken[g.Group], suspect[g.Group]))
		}
		if s < Leaving {
			list = append(list, Usable{Target: e.target, Standing: s})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Standing != list[j].Standing {
			return list[i].Standing < list[j].Standing
		}
		return list[i].Target.ID() < list[j].Target.ID()
	})
	return r.restore(list)
}

// standing is that of the target by itself.
func (r *Roster) standing(now time.Time, e *entry) Standing {
	switch {
	case e.replaced, e.target.State() != domain.TargetReady:
		return Leaving
	case !e.goneAt.IsZero():
		if now.Before(e.grace) {
			return Lapsed
		}
		return Leaving
	case e.health.ejected(now):
		return Suspect
	default:
		return Good
	}
}

func groupStanding(broken, suspect bool) Standing {
	switch {
	case broken:
		return Unfit
	case suspect:
		return Suspect
	default:
		return Good
	}
}

// groups tells which groups of the service do not step, and which have a rank that
// cannot be reached and so may not.
func (r *Roster) groups(now time.Time, svc domain.ServiceName) (broken, suspect map[domain.GroupName]bool) {
	for _, e := range r.entries {
		g, ok := e.target.Rank()
		if !ok || e.target.Service() != svc || !e.goneAt.IsZero() {
			continue
		}
		if broken == nil {
			broken, suspect = map[domain.GroupName]bool{}, map[domain.GroupName]bool{}
		}
		if !r.open(now, e, g) {
			broken[g.Group] = true
		}
		if e.health.unreached && e.health.ejected(now) {
			suspect[g.Group] = true
		}
	}
	return broken, suspect
}

func (r *Roster) open(now time.Time, e *entry, listed domain.Rank) bool {
	if !e.ownAt.IsZero() && now.Sub(e.ownAt) < r.policy.ReportFresh {
		return e.own.Open
	}
	return listed.Open
}

// restore lets enough suspect targets count as good that ejections leave a set
// share in use: many that fail at once are more likely one trouble on the way.
func (r *Roster) restore(list []Usable) []Usable {
	good, known := 0, 0
	for _, u := range list {
		switch u.Standing {
		case Good:
			good++
			known++
		case Suspect:
			known++
		}
	}
	need := int(float64(known)*r.policy.Floor + 0.5)
	for i := range list {
		if good < need && list[i].Standing == Suspect {
			list[i].Standing = Good
			good++
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
