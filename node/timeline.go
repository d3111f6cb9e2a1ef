package node

import (
	"context"
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
func (t *timeline) stated(era store.Era) { t.observe(store.PositionOf(era, 0), "store") }

// observe takes a position that the source reported.
func (t *timeline) observe(p store.Position, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.known.Latest()
	if !t.known.Observe(p) {
		return
	}
	t.common.Metrics.Set(telemetry.StoreEra, "", float64(p.Era()))
	if before.IsZero() {
		t.common.Log.Info("store era", "era", p.Era(), "source", source)
		return
	}
	t.common.Log.Warn("store was restored from a copy, listing anew", "era", p.Era(), "before", before, "source", source)
}

// completing is the store with complete positions in its answers.
type completing struct {
	store.Shelf
	timeline *timeline
}

// List implements store.Feed.
func (c completing) List(ctx context.Context, kind store.Kind) (store.Listing, error) {
	sent := c.timeline.latest()
	l, err := c.Shelf.List(ctx, kind)
	if err != nil {
		return l, err
	}
	l = l.Complete(sent)
	c.timeline.observe(l.At, "store")
	return l, nil
}

// Watch implements store.Feed.
func (c completing) Watch(ctx context.Context, kind store.Kind, since store.Position, wait time.Duration) (store.Changes, error) {
	changes, err := c.Shelf.Watch(ctx, kind, since, wait)
	if err != nil {
		return changes, err
	}
	changes = changes.Complete(since)
	c.timeline.observe(changes.At, "store")
	return changes, nil
}
