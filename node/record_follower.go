package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/membership"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform"
	"clovertrail.dev/store"
	"clovertrail.dev/store/follow"
	"clovertrail.dev/telemetry"
)

// recordFollower follows one kind of record in the store and passes listings and changes on. Package follow decides when it lists,
// watches and pauses.
type recordFollower struct {
	common   telemetry.Common
	feed     store.Feed
	kind     store.Kind
	timing   follow.Timing
	follower *follow.Follower
	// apply applies the records of a listing, which are all of the kind, or the changes up to the position.
	apply  func(at store.Position, events []store.Event, listing bool)
	onCall func(answered bool) // called after each call; may be nil

	peers         func() (boxes, position int) // returns how many boxes follow the store and notify each other of changes, and the position of this box among them
	delegated     func() bool                  // reports whether another box follows the store for this one
	reliedOn      func() bool                  // reports whether other boxes rely on this one to follow the store
	knownPosition func() store.Position        // returns the position up to which this box has the records, from the store or from peers
	era           func() store.Era             // the latest era of the store that this box has observed

	availability follow.Availability
	healthy      atomic.Bool // the store answered the last call
}

// relistSlack is added to the time in which the roster settles after a restore of the store; the
// targets are then listed once more.
const relistSlack = 500 * time.Millisecond

// maxStoreWait is the longest wait of a watch: shorter than the longest that the store accepts, 30 s.
const maxStoreWait = 25 * time.Second

// maxFirstStartDelay bounds how long a box waits for other boxes to send it their records when the
// whole system starts for the first time: by then the boxes of a hall have found each other, and a hub
// follows the store for them. A box that starts later has callers waiting, and queries the store at
// once.
const maxFirstStartDelay = 3 * time.Second

const (
	// minStoreBackoff is the first pause after the store failed, and maxStoreBackoff the longest.
	minStoreBackoff, maxStoreBackoff = 100 * time.Millisecond, time.Second
	// Divisors of the bounds in the settings: backoffsPerBound is the number of pauses after failures
	// that fit into the ConfigApply bound, watchesPerBound the number of watches that fit into the
	// Contact bound, and changePausesPerBound the number of pauses for collecting changes that fit
	// into the Drain bound.
	backoffsPerBound, watchesPerBound, changePausesPerBound = 4, 2, 8
)

// followTiming derives the timing from the bounds of the settings: a watch that was silently dropped
// while the store was failing is noticed before the bounds apply again.
func followTiming(b process.Bounds) follow.Timing {
	return follow.Timing{
		Wait:        b.Contact.Std() / watchesPerBound,
		MaxWait:     maxStoreWait,
		MinBackoff:  minStoreBackoff,
		MaxBackoff:  min(maxStoreBackoff, b.ConfigApply.Std()/backoffsPerBound),
		RelistDelay: membership.RestoreSettleFor + relistSlack,
		ChangePause: b.Drain.Std() / changePausesPerBound, // the rest of the bound is for notifying peers of leaving targets
	}
}

// run follows the kind until ctx ends.
func (f *recordFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		boxes, position := f.peers()
		f.follower.SetPeers(boxes, position)
		f.follower.SetDelegated(f.delegated())
		f.follower.SetReliedOn(f.reliedOn())
		f.follower.CaughtUpFromPeers(clock.Now(), f.knownPosition())
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

func (f *recordFollower) list(ctx context.Context) {
	began := clock.Now()
	l, err := f.feed.List(ctx, f.kind)
	f.recordCall("list", began, err)
	f.follower.Listed(clock.Now(), l.At, err)
	if err != nil {
		return
	}
	if l.Nameless > 0 {
		f.common.Log.Error("store listed records without a name, ignoring them", "kind", f.kind, "records", l.Nameless, "at", l.At)
	}
	f.apply(l.At, l.Events(), true)
}

func (f *recordFollower) watch(ctx context.Context, w follow.Watch) {
	began := clock.Now()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	returned := make(chan struct{})
	defer close(returned)
	go f.limitWait(returned, cancel, began, w)
	c, err := f.feed.Watch(watchCtx, f.kind, w.Since, w.Wait)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		f.follower.WatchEnded(clock.Now()) // limitWait cancelled the watch
		return
	}
	f.recordCall("watch", began, err)
	now := clock.Now()
	if f.follower.Watched(now, c.At, err) && len(c.Events) > 0 {
		f.follower.Changed(now)
		f.apply(c.At, c.Events, false)
	}
}

// limitWait cancels a watch that waits too long.
func (f *recordFollower) limitWait(returned <-chan struct{}, cancel context.CancelFunc, began time.Time, w follow.Watch) {
	ticker := time.NewTicker(follow.WaitCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-returned:
			return
		case <-ticker.C:
		}
		boxes, _ := f.peers()
		if f.timing.WaitsTooLong(w, clock.Since(began), boxes) {
			cancel()
			return
		}
	}
}

// recordCall counts a call to the store, and logs when the store starts to fail or answers again.
func (f *recordFollower) recordCall(call string, began time.Time, err error) {
	name := call + " " + string(f.kind)
	f.common.Metrics.Observe(telemetry.StoreCalls, name, clock.Since(began))
	if err != nil {
		f.common.Metrics.Count(telemetry.PlatformCalls, name+" failed", 1)
	} else {
		f.common.Metrics.Count(telemetry.PlatformCalls, name, 1)
	}
	answered, changed := f.availability.Record(err)
	f.healthy.Store(answered)
	if f.onCall != nil {
		f.onCall(answered)
	}
	if changed {
		f.logAvailability(answered, err)
	}
}

func (f *recordFollower) logAvailability(answered bool, err error) {
	if !answered {
		f.common.Log.Warn("store lost", "kind", f.kind, "known_to", f.follower.Position(), "err", err)
		return
	}
	f.common.Log.Info("store answers again", "kind", f.kind, "away", clock.Since(f.follower.FailingSince()))
}

// newRecordFollower returns a follower of the kind; the caller sets its remaining functions.
func (e *Entry) newRecordFollower(feed store.Feed, kind store.Kind) *recordFollower {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	timing := followTiming(e.settings().Bounds)
	if e.settings().FirstStart {
		timing.MaxStartDelay = maxFirstStartDelay
	}
	if kind != platform.Targets {
		timing.ChangePause = 0 // changes are rare, and take effect at once
	}
	if kind == platform.Configurations || kind == platform.Quarantines {
		timing.RelistDelay = 0 // versions of documents and times of observations order them, also after a restore
	}
	return &recordFollower{
		timing: timing,
		common: e.common, feed: feed, kind: kind, peers: e.hallPoller.storeFollowers, delegated: e.hallPoller.hubFollowsStore, reliedOn: e.hallPoller.isFirstHub,
		follower: follow.New(timing, rnd), era: func() store.Era { return e.timeline.latest().Era() },
	}
}
