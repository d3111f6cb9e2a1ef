// Package store is the narrow interface through which clovertrail reads and writes records in the
// platform's object store.
//
// The store holds versioned objects by kind and lets a client wait for changes. Each call counts
// against its rate limits, including one that waits; the store has outages, and it may discard its
// history. Code that makes decisions does not depend on the Feed: it receives values and returns
// commands (package store/follow decides when to list and when to watch).
//
// # Usage
//
//	l, err := feed.List(ctx, kind)
//	c, err := feed.Watch(ctx, kind, l.At, wait)
//	if errors.Is(err, store.ErrHistoryLost) {
//		// list again
//	}
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Revision numbers the changes of the whole store. It increases by one with each change, and
// decreases when the store is restored from a backup; a Position orders revisions of different eras.
type Revision uint64

// Era numbers the periods between restores of the store. It increases by one with each restore from a
// backup, after which revision numbers are issued a second time. Zero stands for an unknown era.
type Era uint64

// Kind names a kind of record.
type Kind string

var class = errs.Class("platform")

// The errors of a Feed. Any other error is a fault of the adapter.
var (
	// ErrHistoryLost reports that the store no longer has all changes since the position of a
	// watch; the kind must be listed again.
	ErrHistoryLost = class.New("history lost")
	// ErrUnavailable reports that the store cannot be reached, or rejects the call.
	ErrUnavailable = class.New("unavailable")
	// ErrRateLimited reports that there were too many calls.
	ErrRateLimited = class.New("rate limited")
	// ErrExists reports that a record of the name exists already.
	ErrExists = class.New("exists")
)

// Record is an object of the store, with the body that its writer supplied.
type Record struct {
	Kind Kind
	Name string
	At   Position // position of the last change of the record
	Spec []byte   // nil if the body cannot be read
}

// Listing holds all records of a kind at a position. The era of the positions is zero if the response
// does not state it.
type Listing struct {
	Records []Record
	At      Position
	// Nameless is the number of records so damaged that even their names cannot be read.
	Nameless int
}

// Events returns the records as events that add them.
func (l Listing) Events() []Event {
	list := make([]Event, 0, len(l.Records))
	for _, r := range l.Records {
		list = append(list, Event{Record: r})
	}
	return list
}

// Event is a change of one record. The record has no Spec if it was removed.
type Event struct {
	Record  Record
	Removed bool
}

// Changes holds the events of a kind after one position and up to another (At), oldest first. If At
// is in a later era, they are the events after the revision of the same number in that era. The era
// is zero if the response does not state it.
type Changes struct {
	Events []Event
	At     Position
}

// Feed lists and watches the records of a kind. Every call counts against the rate limits of the
// store, including one that waits.
type Feed interface {
	// List returns all current records of the kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch waits until the kind changes after the position, at most for wait, and returns the
	// changes; without events if the wait ended first. It returns ErrHistoryLost if the store
	// has discarded changes since the position.
	Watch(ctx context.Context, kind Kind, since Position, wait time.Duration) (Changes, error)
}

// RecordStore is a Feed that can also create and remove records, for the system's own kinds. A call
// without a response may have been executed, or may be executed later; it may be repeated.
type RecordStore interface {
	Feed
	// Create stores a new record; ErrExists if one of the name exists.
	Create(ctx context.Context, kind Kind, name string, spec []byte) error
	// Remove deletes a record; it succeeds if there is none of the name.
	Remove(ctx context.Context, kind Kind, name string) error
}
