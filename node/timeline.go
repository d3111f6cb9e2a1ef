package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
)

// timeline guards what the box knows of how far the store has come, from the store's answers and
// from other boxes.
//
// Lock order: mu is the only lock.
type timeline struct {
	common telemetry.Common

	mu    sync.Mutex
	known store.Timeline
}

func (t *timeline) latest() store.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known.Latest()
}

// stated takes the era of an answer of the store.
func (t *timeline) stated(era store.Era) {
	t.mu.Lock()
	accepted := t.known.Accept(era)
	known := t.known.Latest()
	t.mu.Unlock()
	if !accepted {
		t.common.Log.Warn("store states an era that is too high, waiting for it to state it again", "era", era, "known", known)
		return
	}
	t.observe(store.PositionOf(era, 0), "store")
}

// observe takes a position that the source reported.
func (t *timeline) observe(p store.Position, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.known.Latest()
	if !t.known.Observe(p) {
		return
	}
	t.common.Metrics.Set(telemetry.StoreEra, "", float64(p.Era()))
	if before.Era() == 0 {
		t.common.Log.Info("store era", "era", p.Era(), "source", source)
		return
	}
	t.common.Log.Warn("store was restored from a copy, listing anew", "era", p.Era(), "before", before, "source", source)
}

// errEraDoubted is the error for an answer whose era was not accepted; the call is made again.
var errEraDoubted = errors.Join(store.ErrUnavailable, errors.New("the era of the answer is not confirmed"))

// completing is the store with complete positions in its answers.
type completing struct {
	store.RecordStore
	timeline *timeline
}

// List implements store.Feed.
func (c completing) List(ctx context.Context, kind store.Kind) (store.Listing, error) {
	sent := c.timeline.latest()
	l, err := c.RecordStore.List(ctx, kind)
	if err != nil {
		return l, err
	}
	if l.At.Era() > c.timeline.latest().Era() {
		return store.Listing{}, errEraDoubted
	}
	l = l.InferEra(sent)
	c.timeline.observe(l.At, "store")
	return l, nil
}

// Watch implements store.Feed.
func (c completing) Watch(ctx context.Context, kind store.Kind, since store.Position, wait time.Duration) (store.Changes, error) {
	changes, err := c.RecordStore.Watch(ctx, kind, since, wait)
	if err != nil {
		return changes, err
	}
	if changes.At.Era() > c.timeline.latest().Era() {
		return store.Changes{}, errEraDoubted
	}
	changes = changes.InferEra(since)
	c.timeline.observe(changes.At, "store")
	return changes, nil
}
