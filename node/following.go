package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/membership"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
	"clovertrail.dev/store/follow"
	"clovertrail.dev/telemetry"
)

// following follows one kind of record in the store and hands on what it brings.
type following struct {
	common    telemetry.Common
	feed      store.Feed
	kind      store.Kind
	pace      follow.Timing
	follower  *follow.Follower
	listed    func(store.Listing)
	changed   func(store.Changes)
	lost      func()                    // called while the store does not answer
	among     func() (boxes, place int) // that notify each other what they learn
	delegated func() bool               // another box follows the store for this one
	known     func() store.Position     // up to which the kind is known here, from whomever
	era       func() store.Era          // the latest that this box has learned of
	wasLost   bool
	well      atomic.Bool // the store answered last
}

// settleSlack is how much later than the roster has settled the targets are listed once more.
const settleSlack = 500 * time.Millisecond

// mostWait is under the longest wait that the store takes, 30 s.
const mostWait = 25 * time.Second

// firstPause bounds how long a box waits for other boxes to send it what they know, as the
// whole system starts for the first time: a few times what that takes, from its first advert
// to their answer (PullDelay and a few ways between boxes). A box that starts later has
// callers waiting, and asks the store at once.
const firstPause = 600 * time.Millisecond

const (
	// storePause is the first pause after the store failed, and storePauseMost the longest.
	storePause, storePauseMost = 100 * time.Millisecond, time.Second
	// pauseShare, waitShare and gatherShare are how many pauses, watches and roundups of changes fit
	// into the bound that each serves.
	pauseShare, waitShare, gatherShare = 4, 2, 8
)

// pace fits the bounds: a watch that was silently lost while the store was in
// trouble is noticed before the bounds hold again.
func pace(b process.Bounds) follow.Timing {
	return follow.Timing{
		Wait:        b.Contact.Std() / waitShare,
		MaxWait:     mostWait,
		MinBackoff:  storePause,
		MaxBackoff:  min(storePauseMost, b.ConfigApply.Std()/pauseShare),
		RelistDelay: membership.RestoreSettleFor + settleSlack,
		ChangePause: b.Drain.Std() / gatherShare, // the rest is for telling targets' leaving on
	}
}

// run follows until ctx ends.
func (f *following) run(ctx context.Context) {
	for ctx.Err() == nil {
		boxes, place := f.among()
		f.follower.SetPeers(boxes, place)
		f.follower.SetDelegated(f.delegated())
		f.follower.CaughtUpFromPeers(clock.Now(), f.known())
		f.follower.ObserveEra(f.era())
		switch c := f.follower.Next(clock.Now()).(type) {
		case follow.List:
			f.list(ctx)
		case follow.Watch:
			f.watch(ctx, c)
		case follow.Sleep:
			clock.SleepUntil(ctx, c.Until)
		}
	}
}

func (f *following) list(ctx context.Context) {
	began := clock.Now()
	l, err := f.feed.List(ctx, f.kind)
	f.called("list", began, err)
	f.follower.Listed(clock.Now(), l.At, err)
	if err == nil {
		f.listed(l)
	}
}

func (f *following) watch(ctx context.Context, w follow.Watch) {
	began := clock.Now()
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	given := make(chan struct{})
	defer close(given)
	go f.limitWait(given, cancel, began)
	c, err := f.feed.Watch(watching, f.kind, w.Since, w.Wait)
	if err != nil && watching.Err() != nil && ctx.Err() == nil {
		c, err = store.Changes{At: w.Since}, nil // it was given up, which is no fault of the store's
	}
	f.called("watch", began, err)
	now := clock.Now()
	if f.follower.Watched(now, c.At, err) && len(c.Events) > 0 {
		f.follower.Changed(now)
		f.changed(c)
	}
}

// checkEvery is the time between two looks whether a watch waits for too long.
const checkEvery = 250 * time.Millisecond

// limitWait gives a watch up that was to wait long since many boxes share the watching, once
// too few of them are left: nobody would notify this box that it was silently dropped.
func (f *following) limitWait(given <-chan struct{}, cancel context.CancelFunc, began time.Time) {
	look := time.NewTicker(checkEvery)
	defer look.Stop()
	for {
		select {
		case <-given:
			return
		case <-look.C:
		}
		boxes, _ := f.among()
		if clock.Since(began) > f.pace.WaitFor(boxes)+checkEvery {
			cancel()
			return
		}
	}
}

// called counts a call, and logs when the store is lost or answers again.
func (f *following) called(call string, began time.Time, err error) {
	name := call + " " + string(f.kind)
	f.common.Metrics.Observe(telemetry.StoreCalls, name, clock.Since(began))
	if err != nil {
		f.common.Metrics.Count(telemetry.PlatformCalls, name+" failed", 1)
	} else {
		f.common.Metrics.Count(telemetry.PlatformCalls, name, 1)
	}
	lost := err != nil && !isHistoryLost(err)
	f.well.Store(!lost)
	if lost {
		f.lost()
	}
	if lost != f.wasLost {
		f.wasLost = lost
		f.logState(lost, err)
	}
}

func (f *following) logState(lost bool, err error) {
	if lost {
		f.common.Log.Warn("store lost", "kind", f.kind, "known_to", f.follower.Position(), "err", err)
		return
	}
	f.common.Log.Info("store answers again", "kind", f.kind, "away", clock.Since(f.follower.FailingSince()))
}

// followConfiguration follows the operator's configuration.
func (e *Entry) followConfiguration(feed store.Feed) *following {
	take := func(r store.Record) {
		if r.Name == platform.ConfigurationName {
			e.view.configuration(r.Spec, r.At, "store")
		}
	}
	f := e.following(feed, platform.Configurations)
	f.listed = func(l store.Listing) {
		for _, r := range l.Records {
			take(r)
		}
	}
	f.changed = func(c store.Changes) {
		for _, ev := range c.Events {
			if !ev.Removed {
				take(ev.Record)
			}
		}
	}
	f.lost = func() {}
	f.known = func() store.Position {
		_, edition := e.view.document()
		return edition.At
	}
	return f
}

// followTargets follows the list of targets.
func (e *Entry) followTargets(feed store.Feed) *following {
	f := e.following(feed, platform.Targets)
	f.listed = func(l store.Listing) {
		events := make([]store.Event, 0, len(l.Records))
		for _, r := range l.Records {
			events = append(events, store.Event{Record: r})
		}
		if l.Nameless > 0 {
			e.common.Log.Error("records without a name", "kind", platform.Targets, "records", l.Nameless, "at", l.At)
		}
		e.view.targets(l.At, e.view.decodeTargets(events), "store")
	}
	f.changed = func(c store.Changes) {
		e.view.changes(c.At, e.view.decodeTargets(c.Events), "store")
	}
	f.known = func() (at store.Position) {
		e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { at = r.At() })
		return at
	}
	f.lost = func() {
		e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) { r.StoreUnavailable(clock.Now()) })
	}
	return f
}

func (e *Entry) following(feed store.Feed, kind store.Kind) *following {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p := pace(e.settings().Bounds)
	if e.settings().FirstStart {
		p.MaxStartDelay = firstPause
	}
	if kind == platform.Configurations {
		p.ChangePause = 0 // it seldom changes, and is to be in force at once
		p.RelistDelay = 0 // its version orders it
	}
	return &following{
		pace:   p,
		common: e.common, feed: feed, kind: kind, among: e.surveying.followers, delegated: e.surveying.hubFollows,
		follower: follow.New(p, rnd), era: func() store.Era { return e.timeline.latest().Era() },
	}
}

func isHistoryLost(err error) bool { return errors.Is(err, store.ErrHistoryLost) }
