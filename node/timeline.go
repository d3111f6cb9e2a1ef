package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
)

// timeline tracks the latest position of the store that this box has observed, in responses of the
// store and in messages of other boxes. It is safe for concurrent use.
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

// observeEra records the era that a response of the store states, if it is accepted.
func (t *timeline) observeEra(era store.Era) {
	t.mu.Lock()
	accepted := t.known.Accept(era)
	known := t.known.Latest()
	t.mu.Unlock()
	if !accepted {
		t.common.Log.Warn("store states an era that is too high, waiting for a second response with it", "era", era, "known", known)
		return
	}
	t.observe(store.PositionOf(era, 0), "store")
}

// observe records a position that the source reported.
func (t *timeline) observe(p store.Position, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.known.Latest()
	if !t.known.Observe(p) {
		return
	}
	t.common.Metrics.Set(telemetry.StoreEra, "", float64(p.Era()))
	if before.Era() == 0 {
		t.common.Log.Info("first era of the store observed", "era", p.Era(), "source", source)
		return
	}
	t.common.Log.Warn("store was restored from a backup, listing its records again", "era", p.Era(), "before", before, "source", source)
}

// errEraUnconfirmed is returned for a response whose era was not accepted; the caller retries the call.
var errEraUnconfirmed = errors.Join(store.ErrUnavailable, errors.New("era of the store's response not confirmed by a second response"))

// eraStore wraps a record store and fills in the era in the positions of responses that state none.
type eraStore struct {
	store.RecordStore
	timeline *timeline
}

// List implements store.Feed.
func (s eraStore) List(ctx context.Context, kind store.Kind) (store.Listing, error) {
	sent := s.timeline.latest()
	l, err := s.RecordStore.List(ctx, kind)
	if err != nil {
		return l, err
	}
	if l.At.Era() > s.timeline.latest().Era() {
		return store.Listing{}, errEraUnconfirmed
	}
	l = l.InferEra(sent)
	s.timeline.observe(l.At, "store")
	return l, nil
}

// Watch implements store.Feed.
func (s eraStore) Watch(ctx context.Context, kind store.Kind, since store.Position, wait time.Duration) (store.Changes, error) {
	changes, err := s.RecordStore.Watch(ctx, kind, since, wait)
	if err != nil {
		return changes, err
	}
	if changes.At.Era() > s.timeline.latest().Era() {
		return store.Changes{}, errEraUnconfirmed
	}
	changes = changes.InferEra(since)
	s.timeline.observe(changes.At, "store")
	return changes, nil
}
