// Package store is the narrow interface through which clovertrail uses the
// platform's object service and its list of boxes.
//
// The service keeps versioned values of up to a megabyte, changes them
// conditionally, and lets a client wait for a change. It takes about a hundred
// writes and two thousand reads a second, a waiting watch counting as one read;
// it has outages; and an answer can be lost after the write took effect, which a
// writer sees as [ErrUnknownOutcome].
//
// Decisions never see this package: they are handed values and hand back
// commands. Package standin is an implementation in memory with faults that can
// be switched on, and package remote speaks to one over HTTP.
//
// # Usage
//
//	obj, err := store.Get(ctx, "config/head")
//	version, err := store.Put(ctx, "config/head", value, obj.Version())
//	switch {
//	case errors.Is(err, store.ErrConflict): // somebody was faster
//	case errors.Is(err, store.ErrUnknownOutcome): // read again to find out
//	}
package store

import (
	"context"

	"github.com/zeebo/errs"

	"clovertrail.dev/core/domain"
)

// Version is the version of an object: a number that grows with every write to
// the whole store. Zero stands for an object that does not exist.
type Version uint64

// MaxValueBytes is the largest value that the service takes.
const MaxValueBytes = 1 << 20

// The errors of a Store. Any other error is a fault of the adapter.
var (
	class = errs.Class("platform")

	// ErrNotFound: there is no such object.
	ErrNotFound = class.New("not found")
	// ErrConflict: the object has another version than the one expected, so
	// nothing was written.
	ErrConflict = class.New("version conflict")
	// ErrUnavailable: the service cannot be reached; a write was not made.
	ErrUnavailable = class.New("unavailable")
	// ErrRateLimited: too many calls; a write was not made.
	ErrRateLimited = class.New("rate limited")
	// ErrUnknownOutcome: the answer to a write was lost; it may have been made.
	ErrUnknownOutcome = class.New("outcome unknown")
	// ErrTooLarge: the value is over MaxValueBytes; nothing was written.
	ErrTooLarge = class.New("value too large")
)

// Object is a value with its key and version.
type Object struct {
	key     string
	value   []byte
	version Version
}

// NewObject returns an object; the value is not copied.
func NewObject(key string, value []byte, v Version) Object {
	return Object{key: key, value: value, version: v}
}

// Key is the name of the object.
func (o Object) Key() string { return o.key }

// Value is the stored value; it must not be changed.
func (o Object) Value() []byte { return o.value }

// Version is the version of the object.
func (o Object) Version() Version { return o.version }

// Boxes is the platform's list of boxes, which lags behind the truth. A list
// with a higher version is newer.
type Boxes struct {
	version Version
	boxes   []domain.Box
}

// NewBoxes returns a list with its version.
func NewBoxes(v Version, boxes []domain.Box) Boxes { return Boxes{version: v, boxes: boxes} }

// Version tells newer lists from older.
func (b Boxes) Version() Version { return b.version }

// All are the listed boxes.
func (b Boxes) All() []domain.Box { return b.boxes }

// Reader reads objects.
type Reader interface {
	// Get returns the object, or ErrNotFound. The answer may be stale.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object is newer than since, and returns it. It
	// returns ErrNotFound once a deletion newer than since is seen, and
	// ctx's error when that ends first. It may return late or never.
	Watch(ctx context.Context, key string, since Version) (Object, error)
}

// Writer changes objects conditionally.
type Writer interface {
	// Put writes the value if the object has version expect; zero creates.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Delete removes the object if it has version expect.
	Delete(ctx context.Context, key string, expect Version) error
}

// BoxLister gives the list of boxes.
type BoxLister interface {
	// Boxes returns the list as the platform knows it now.
	Boxes(ctx context.Context) (Boxes, error)
}

// Store is the whole service.
type Store interface {
	Reader
	Writer
	BoxLister
}
