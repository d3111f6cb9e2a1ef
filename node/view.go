package node

import (
	"bytes"
	"sync"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/platform"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
)

// view is what the box knows: the configuration, and through the
// fleet the targets. It takes news from the store and from peers alike.
//
// Lock order: mu, then the fleet's.
type view struct {
	common telemetry.Common
	fleet  *fleet
	adopt  func(*catalog.Catalog) // called with each newer configuration
	moved  func()                 // called after news of any kind

	mu     sync.Mutex
	holder catalog.Holder
}

// configuration takes a document from the source.
func (v *view) configuration(raw []byte, at store.Position, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.holder.Edition()
	moved, err := v.holder.Offer(raw, at, platform.DecodeConfiguration)
	switch {
	case err != nil:
		v.common.Log.Error("configuration rejected, the one before stays in force", "at", at, "source", source, "in_force", before.Version, "err", err)
	case moved:
		c := v.holder.Current()
		v.common.Metrics.Count(telemetry.ConfigApplied, source, 1)
		v.common.Metrics.Set(telemetry.ConfigSeq, "", float64(c.Version()))
		v.common.Log.Info("configuration in force", "version", c.Version(), "at", at, "source", source, "before", before.Version)
		v.adopt(c)
		v.moved()
	case !bytes.Equal(raw, v.holder.Raw()):
		v.common.Log.Warn("configuration ignored, a later one is in force", "at", at, "source", source, "in_force", before.Version)
	}
}

// document is the configuration in force as the store keeps it.
func (v *view) document() ([]byte, catalog.Edition) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Raw(), v.holder.Edition()
}

// targets takes the whole list of targets.
func (v *view) targets(at store.Position, news []membership.TargetUpdate, source string) {
	now := clock.Now()
	var fresh []membership.TargetUpdate
	var known store.Position
	v.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		known = r.At()
		fresh = r.ApplyList(now, at, news)
	})
	if known.After(at) {
		v.common.Log.Warn("list of targets ignored, a later one is known", "at", at, "source", source, "known", known)
	}
	v.fleet.forget(now)
	v.logNews(fresh, source)
}

// changes takes changes of the list of targets.
func (v *view) changes(at store.Position, news []membership.TargetUpdate, source string) {
	now := clock.Now()
	var fresh []membership.TargetUpdate
	v.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		for _, n := range news {
			fresh = append(fresh, r.ApplyUpdate(now, n)...)
		}
		r.CaughtUp(at)
	})
	v.fleet.forget(now)
	v.logNews(fresh, source)
}

func (v *view) logNews(fresh []membership.TargetUpdate, source string) {
	if len(fresh) > 0 {
		v.moved()
	}
	for _, n := range fresh {
		if n.Target == nil {
			v.common.Log.Info("target gone", "target", n.ID, "at", n.At, "source", source, "unusable", n.Unusable)
			continue
		}
		t := *n.Target
		attrs := []any{"target", n.ID, "state", t.State(), "service", t.Service(), "address", t.Address(), "at", n.At, "source", source}
		if g, ok := t.Rank(); ok {
			attrs = append(attrs, "group", g.Group, "epoch", g.Epoch, "rank", g.Number, "open", g.Open)
		}
		v.common.Log.Info("target listed", attrs...)
	}
}

// decodeTargets turns records into news. One that does not decode is logged and names no
// target to use; the others go on.
func (v *view) decodeTargets(events []store.Event) []membership.TargetUpdate {
	var list []membership.TargetUpdate
	for _, e := range events {
		n := membership.TargetUpdate{ID: domain.InstanceID(e.Record.Name), At: e.Record.At}
		if !e.Removed {
			n = v.decodeTarget(n, e.Record)
		}
		list = append(list, n)
	}
	return list
}

func (v *view) decodeTarget(n membership.TargetUpdate, r store.Record) membership.TargetUpdate {
	t, err := platform.DecodeTarget(r)
	if err != nil {
		v.common.Log.Error("target entry rejected", "target", r.Name, "at", r.At, "err", err)
		n.Unusable = true
		return n
	}
	n.ID, n.Target = t.ID(), &t
	return n
}
