package node

import (
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/platform"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
)

// followConfiguration returns the follower of the operator's configuration.
func (e *Entry) followConfiguration(feed store.Feed) *recordFollower {
	f := e.newRecordFollower(feed, platform.Configurations)
	f.apply = func(_ store.Position, events []store.Event, _ bool) {
		for _, ev := range events {
			if !ev.Removed && ev.Record.Name == platform.ConfigurationName {
				e.view.applyConfiguration(ev.Record.Spec, ev.Record.At, "store")
			}
		}
	}
	f.knownPosition = func() store.Position {
		_, edition := e.view.document()
		return edition.At
	}
	return f
}

// followTargets returns the follower of the list of targets.
func (e *Entry) followTargets(feed store.Feed) *recordFollower {
	f := e.newRecordFollower(feed, platform.Targets)
	f.apply = func(at store.Position, events []store.Event, listing bool) {
		e.view.applyTargets(membership.TargetList{At: at, Updates: e.view.decodeTargets(events), ChangesOnly: !listing})
	}
	f.knownPosition = func() (at store.Position) {
		e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { at = r.At() })
		return at
	}
	f.onCall = func(answered bool) {
		e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
			if answered {
				r.StoreAvailable(clock.Now())
			} else {
				r.StoreUnavailable(clock.Now())
			}
		})
	}
	return f
}

// followEvacuations returns the follower of the operators' evacuations of data halls. The name of a record
// is the name of the hall; its content does not matter.
func (e *Entry) followEvacuations(feed store.Feed) *recordFollower {
	f := e.newRecordFollower(feed, platform.Evacuations)
	f.apply = func(at store.Position, events []store.Event, listing bool) {
		var updates []membership.EvacuationUpdate
		for _, ev := range events {
			updates = append(updates, membership.EvacuationUpdate{Hall: domain.HallName(ev.Record.Name), At: ev.Record.At, Active: !ev.Removed})
		}
		if listing {
			e.view.applyEvacuations(at, updates, "store")
		} else {
			e.view.applyEvacuationChanges(at, updates, "store")
		}
	}
	f.knownPosition = func() (at store.Position) {
		e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { at = r.Evacuations().At() })
		return at
	}
	return f
}

// followQuarantines returns the follower of the records of works in quarantine, by which operators lift
// quarantines. A box follows them only while a work is in quarantine.
func (e *Entry) followQuarantines(feed store.Feed) *recordFollower {
	f := e.newRecordFollower(feed, platform.Quarantines)
	f.apply = func(_ store.Position, events []store.Event, _ bool) {
		var list []store.Record
		for _, ev := range events {
			if !ev.Removed {
				list = append(list, ev.Record)
			}
		}
		e.quarantine.readRecords(list)
	}
	f.knownPosition = func() store.Position { return store.Position{} } // a box cannot tell whether it has all records
	f.delegated = func() bool { return !e.quarantine.holdsAny(clock.Now()) || e.hallPoller.hubFollowsStore() }
	return f
}
