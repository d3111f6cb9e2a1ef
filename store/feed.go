// Package store is the narrow interface through which clovertrail follows the platform's
// object store.
//
// The store keeps versioned objects by kind and lets a client wait for changes. Each
// call counts against its rates, a waiting one too; it has outages, and it may forget
// its history. Decisions never see this package: they are handed values and hand back
// commands (store/follow states when to list and when to watch).
//
// # Usage
//
//	l, err := feed.List(ctx, kind)
//	c, err := feed.Watch(ctx, kind, l.At, wait)
//	if errors.Is(err, store.ErrHistoryLost) {
//		// list anew
//	}
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Revision numbers the changes of the whole store. It rises by one with each, and goes back when
// the store comes back from a copy; a Position orders those of different eras.
type Revision uint64

// Era numbers the lives of the store. It rises by one each time the store comes back from a
// copy, after which revisions are given out again. Zero stands for an era that is not stated.
type Era uint64

// Kind names a kind of record.
type Kind string

var class = errs.Class("platform")

// The errors of a Feed. Any other error is a fault of the adapter.
var (
	// ErrHistoryLost reports that changes since a revision are no longer to be had; the
	// kind must be listed anew.
	ErrHistoryLost = class.New("history lost")
	// ErrUnavailable: the store cannot be reached, or turns the call away.
	ErrUnavailable = class.New("unavailable")
	// ErrRateLimited: there were too many calls.
	ErrRateLimited = class.New("rate limited")
	// ErrExists reports that a record of the name is there already.
	ErrExists = class.New("exists")
)

// Record is an object as the store keeps it, with the body that its writer gave.
type Record struct {
	Kind Kind
	Name string
	At   Position // of its last change
	Spec []byte   // nil if the record cannot be read
}

// Listing is all records of a kind at a position. The era of the positions is zero if the answer
// does not state it.
type Listing struct {
	Records []Record
	At      Position
	// Nameless is how many records cannot even tell their names.
	Nameless int
}

// Event is a change of one record. A removed one has no Spec.
type Event struct {
	Record  Record
	Removed bool
}

// Changes are the events of a kind after a position, oldest first, up to another. In a later era
// they are those after the revision of the same number. The era is zero if it is not stated.
type Changes struct {
	Events []Event
	At     Position
}

// Feed is how a box follows a kind of record. Every call counts against the
// store's rates, a waiting one too.
type Feed interface {
	// List returns the whole kind as it is now.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch waits until the kind changes after the position, at most for wait, and
	// returns what changed; nothing if the wait ended first. It returns
	// ErrHistoryLost if the store has forgotten changes since then.
	Watch(ctx context.Context, kind Kind, since Position, wait time.Duration) (Changes, error)
}

// RecordStore keeps records of the system's own kinds. A call without an answer may have been done,
// or may be done later; it may be made again.
type RecordStore interface {
	Feed
	// Create keeps a record that is not there yet; ErrExists if one of the name is.
	Create(ctx context.Context, kind Kind, name string, spec []byte) error
	// Remove takes a record away; one that is not there counts as taken away.
	Remove(ctx context.Context, kind Kind, name string) error
}
