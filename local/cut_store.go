package local

import (
	"context"
	"sync/atomic"

	"clovertrail.dev/store"
)

// cutStore is the platform behind a link that can be cut. A write that is on its
// way when the link is cut has an unknown outcome.
type cutStore struct {
	store.Store
	cut atomic.Bool
}

func (c *cutStore) set(cut bool) { c.cut.Store(cut) }

func (c *cutStore) down() bool { return c.cut.Load() }

// Get implements store.Reader.
func (c *cutStore) Get(ctx context.Context, key string) (store.Object, error) {
	if c.down() {
		return store.Object{}, store.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

// List implements store.Reader.
func (c *cutStore) List(ctx context.Context, prefix string) ([]store.Object, error) {
	if c.down() {
		return nil, store.ErrUnavailable
	}
	return c.Store.List(ctx, prefix)
}

// Watch implements store.Reader.
func (c *cutStore) Watch(ctx context.Context, key string, since store.Version) (store.Object, error) {
	if c.down() {
		return store.Object{}, store.ErrUnavailable
	}
	o, err := c.Store.Watch(ctx, key, since)
	if c.down() {
		return store.Object{}, store.ErrUnavailable
	}
	return o, err
}

// Boxes implements store.BoxLister.
func (c *cutStore) Boxes(ctx context.Context) (store.Boxes, error) {
	if c.down() {
		return store.Boxes{}, store.ErrUnavailable
	}
	return c.Store.Boxes(ctx)
}

// Put implements store.Writer.
func (c *cutStore) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	if c.down() {
		return 0, store.ErrUnavailable
	}
	v, err := c.Store.Put(ctx, key, value, expect)
	if c.down() {
		return 0, store.ErrUnknownOutcome
	}
	return v, err
}

// Delete implements store.Writer.
func (c *cutStore) Delete(ctx context.Context, key string, expect store.Version) error {
	if c.down() {
		return store.ErrUnavailable
	}
	err := c.Store.Delete(ctx, key, expect)
	if c.down() {
		return store.ErrUnknownOutcome
	}
	return err
}
