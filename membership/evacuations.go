package membership

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// EvacuationUpdate is one change of the list of evacuations: that of a data hall was begun or ended.
type EvacuationUpdate struct {
	Hall   domain.HallName
	At     store.Position
	Active bool
}

// Evacuations holds the data halls whose targets are to get no new work, as operators state it in the
// store. It merges lists and changes from the store and from other boxes, ordered by store position.
//
// A restore of the store may bring back a list that is older than what this box has received, until the
// operators write again. In the time of RestoreSettleFor after it, an evacuation that the list lacks
// stays in force, and one that was ended before stays ended.
//
// Evacuations is not safe for concurrent use.
type Evacuations struct {
	halls      map[domain.HallName]evacuation
	position   store.Position // position up to which all changes are applied
	newest     store.Position // position of the last change; may be after position
	restoredAt time.Time      // when the first list of the present era was applied, if it is not the first era; else zero
}

// evacuation is the last update of a hall, which is remembered after the end of the evacuation too.
type evacuation struct {
	at     store.Position
	active bool
}

// NewEvacuations returns a list without evacuations.
func NewEvacuations() *Evacuations { return &Evacuations{halls: map[domain.HallName]evacuation{}} }

// At returns the position up to which all changes are applied.
func (e *Evacuations) At() store.Position { return e.position }

// Newest returns the position of the last change, of those up to At. It may be before At, as other records of
// the store change too.
func (e *Evacuations) Newest() store.Position { return store.Earlier(e.newest, e.position) }

// Active reports whether the hall is being evacuated.
func (e *Evacuations) Active(hall domain.HallName) bool { return e.halls[hall].active }

// All returns the evacuations in force, ordered by hall.
func (e *Evacuations) All() []EvacuationUpdate {
	var list []EvacuationUpdate
	for hall, v := range e.halls {
		if v.active {
			list = append(list, EvacuationUpdate{Hall: hall, At: v.at, Active: true})
		}
	}
	slices.SortFunc(list, func(x, y EvacuationUpdate) int { return cmp.Compare(x.Hall, y.Hall) })
	return list
}

// ListSince returns the complete list and its position for a box that has all changes up to the position at; false
// if it lacks nothing.
func (e *Evacuations) ListSince(at store.Position) (newest store.Position, list []EvacuationUpdate, lacks bool) {
	if newest = e.Newest(); !newest.After(at) {
		return store.Position{}, nil, false
	}
	return newest, e.All(), true
}

// ApplyList applies the complete list of active evacuations as of the position, and returns the changes
// that it makes. A list from before the position of At is ignored. A list that was read in pages is as of its first
// page, and may have updates of changes between the pages (Roster.ApplyList).
func (e *Evacuations) ApplyList(now time.Time, at store.Position, list []EvacuationUpdate) []EvacuationUpdate {
	if e.position.After(at) {
		return nil
	}
	if !e.position.IsZero() && at.Era() > e.position.Era() {
		e.restoredAt = now
	}
	settled := e.restoredAt.IsZero() || now.Sub(e.restoredAt) >= RestoreSettleFor
	var changed []EvacuationUpdate
	listed := map[domain.HallName]bool{}
	for _, u := range list {
		listed[u.Hall] = true
		if settled || !e.fromEarlierEra(u) {
			changed = append(changed, e.apply(u)...)
		}
	}
	for _, active := range e.All() {
		end := EvacuationUpdate{Hall: active.Hall, At: at}
		if !listed[active.Hall] && (settled || !e.fromEarlierEra(end)) {
			changed = append(changed, e.apply(end)...)
		}
	}
	e.CaughtUp(at)
	return changed
}

// fromEarlierEra reports whether the hall's state dates from an era before that of the update.
func (e *Evacuations) fromEarlierEra(u EvacuationUpdate) bool {
	known, ok := e.halls[u.Hall]
	return ok && known.at.Era() < u.At.Era()
}

// ApplyChanges applies changes, with which all changes up to the position are applied, and returns those that
// changed whether a hall is being evacuated.
func (e *Evacuations) ApplyChanges(at store.Position, changes []EvacuationUpdate) []EvacuationUpdate {
	var changed []EvacuationUpdate
	for _, u := range changes {
		changed = append(changed, e.apply(u)...)
	}
	e.CaughtUp(at)
	return changed
}

// ApplyUpdate applies one change, with which all changes up to its position are applied. It returns the update if
// it changed whether the hall is being evacuated, and nil otherwise.
func (e *Evacuations) ApplyUpdate(u EvacuationUpdate) []EvacuationUpdate {
	if u.At.After(e.halls[u.Hall].at) {
		e.CaughtUp(u.At)
	}
	return e.apply(u)
}

// apply applies one change, regardless of which others are applied.
func (e *Evacuations) apply(u EvacuationUpdate) []EvacuationUpdate {
	known := e.halls[u.Hall]
	if !u.At.After(known.at) {
		return nil
	}
	e.halls[u.Hall] = evacuation{at: u.At, active: u.Active}
	e.newest = store.Later(e.newest, u.At)
	if u.Active == known.active {
		return nil
	}
	return []EvacuationUpdate{u}
}

// CaughtUp records that all changes up to the position have been applied.
func (e *Evacuations) CaughtUp(at store.Position) { e.position = store.Later(e.position, at) }
