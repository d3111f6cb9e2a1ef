package node

import (
	"bytes"
	"sync"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/platform"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
)

// view holds the box's copy of the records of the store: the configuration, and through the fleet
// the targets. It applies updates from the store and from peers alike.
//
// Lock order: mu, then the fleet's.
type view struct {
	common  telemetry.Common
	fleet   *fleet
	adopt   func(*catalog.Catalog) // called with each newer configuration
	changed func()                 // called after each update that changed the configuration or a target

	mu     sync.Mutex
	holder catalog.Holder
}

// applyConfiguration applies a configuration document from the source, unless a later one is in
// force.
func (v *view) applyConfiguration(raw []byte, at store.Position, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.holder.Edition()
	newer, err := v.holder.Offer(raw, at, platform.DecodeConfiguration)
	switch {
	case err != nil:
		v.common.Log.Error("configuration rejected, the previous one stays in force", "at", at, "source", source, "in_force", before.Version, "err", err)
	case newer:
		c := v.holder.Current()
		v.common.Metrics.Count(telemetry.ConfigApplied, source, 1)
		v.common.Metrics.Set(telemetry.ConfigSeq, "", float64(c.Version()))
		v.common.Log.Info("configuration in force", "version", c.Version(), "at", at, "source", source, "before", before.Version)
		v.adopt(c)
		v.changed()
	case !bytes.Equal(raw, v.holder.Raw()):
		v.common.Log.Warn("configuration ignored, a later one is in force", "at", at, "source", source, "in_force", before.Version)
	}
}

// document returns the configuration in force as it is stored, and its edition.
func (v *view) document() ([]byte, catalog.Edition) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Raw(), v.holder.Edition()
}

// applyTargets applies targets that the store listed, or that changed there.
func (v *view) applyTargets(l membership.TargetList) {
	v.apply((*membership.Roster).Apply, l, "store")
}

// applyFromPeer applies what another box sent of the list of targets.
func (v *view) applyFromPeer(l membership.TargetList, source string) {
	v.apply((*membership.Roster).ApplyFromPeer, l, source)
}

// apply applies the list from the source by a method of the roster.
func (v *view) apply(method func(*membership.Roster, time.Time, membership.TargetList) []membership.TargetUpdate, l membership.TargetList, source string) {
	now := clock.Now()
	var applied []membership.TargetUpdate
	var known store.Position
	v.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		known = r.At()
		applied = method(r, now, l)
	})
	if !l.ChangesOnly && known.After(l.At) {
		v.common.Log.Warn("list of targets ignored, a later one is known", "at", l.At, "source", source, "known", known)
	}
	v.fleet.forget(now)
	v.reportUpdates(applied, source)
}

// applyEvacuations applies the complete list of evacuations from the source.
func (v *view) applyEvacuations(at store.Position, list []membership.EvacuationUpdate, source string) {
	now := clock.Now()
	var changed []membership.EvacuationUpdate
	v.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		changed = r.Evacuations().ApplyList(now, at, list)
	})
	v.reportEvacuations(changed, source)
}

// applyEvacuationChanges applies changes of the list of evacuations from the source.
func (v *view) applyEvacuationChanges(at store.Position, updates []membership.EvacuationUpdate, source string) {
	var changed []membership.EvacuationUpdate
	v.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		changed = r.Evacuations().ApplyChanges(at, updates)
	})
	v.reportEvacuations(changed, source)
}

// reportEvacuations calls changed if evacuations began or ended, and logs each.
func (v *view) reportEvacuations(changes []membership.EvacuationUpdate, source string) {
	if len(changes) > 0 {
		v.changed()
	}
	for _, u := range changes {
		if u.Active {
			v.common.Log.Warn("hall is evacuated, its targets get no new work", "hall", u.Hall, "at", u.At, "source", source)
		} else {
			v.common.Log.Info("evacuation of hall ended, its targets get work again", "hall", u.Hall, "at", u.At, "source", source)
		}
	}
}

// reportUpdates calls changed if any updates were applied, and logs each.
func (v *view) reportUpdates(applied []membership.TargetUpdate, source string) {
	if len(applied) > 0 {
		v.changed()
	}
	for _, u := range applied {
		if u.Target == nil {
			v.common.Log.Info("target gone", "target", u.ID, "at", u.At, "source", source, "unusable", u.Unusable)
			continue
		}
		t := *u.Target
		attrs := []any{"target", u.ID, "state", t.State(), "service", t.Service(), "address", t.Address(), "at", u.At, "source", source}
		if left := max(clock.Until(t.ColdUntil()), 0); left > 0 || t.IrregularCold() {
			attrs = append(attrs, "cold", left, "cold_out_of_range", t.IrregularCold())
		}
		if g, ok := t.Rank(); ok {
			attrs = append(attrs, "group", g.Group, "epoch", g.Epoch, "rank", g.Number, "open", g.Open)
		}
		v.common.Log.Info("target listed", attrs...)
	}
}

// decodeTargets decodes the records of the events into target updates. The update for a record that
// cannot be decoded is marked as unusable and has no target; the other records are not affected.
func (v *view) decodeTargets(events []store.Event) []membership.TargetUpdate {
	var list []membership.TargetUpdate
	for _, e := range events {
		u := membership.TargetUpdate{ID: domain.InstanceID(e.Record.Name), At: e.Record.At}
		if !e.Removed {
			u = v.decodeTarget(u, e.Record)
		}
		list = append(list, u)
	}
	return list
}

// decodeTarget returns the update u with the target in the record. It logs a record that cannot be
// decoded.
func (v *view) decodeTarget(u membership.TargetUpdate, r store.Record) membership.TargetUpdate {
	t, err := platform.DecodeTarget(clock.Now(), r)
	if err != nil {
		v.common.Log.Error("target entry rejected, the target is not used", "target", r.Name, "at", r.At, "err", err)
		u.Unusable = true
		return u
	}
	u.ID, u.Target = t.ID(), &t
	return u
}
