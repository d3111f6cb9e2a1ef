// Package lease gives a duty or a box a claim that lapses unless it is renewed in
// the platform, with a fencing number.
//
// The holder's deadline is counted from before a renewal was sent and is shorter
// than the term, and it is read after an order arrived, not before: a holder that
// was paused without noticing finds its lease lapsed. An observer counts the term
// by its own clock from when it first saw a renewal, so no two clocks are
// compared. The platform's version of the record is the fencing number: it grows
// with every change of holder and every renewal.
//
// # Usage
//
//	l := lease.New("lease/group/g1", "entry-1.42", term)
//	switch c := l.Next(now).(type) {
//	case lease.Read:   // get c.Key, then l.WasRead(sentAt, record, version, err)
//	case lease.Write:  // put c.Key, then l.WasWritten(sentAt, version, err)
//	case lease.Rest:   // nothing to do until c.Until
//	}
//	if fence, ok := l.Held(now); ok { order(fence) }
package lease

import (
	"encoding/json"
	"errors"
	"time"

	"clovertrail.dev/store"
)

// Fence is a fencing number. Orders with a lower one than was seen are refused.
type Fence uint64

// guard is the share of the term that the holder gives up, for clocks that run at
// slightly different rates.
const guard = 8

// renewals is how often in a term a lease is renewed.
const renewals = 3

// Record is what stands in the platform.
type Record struct {
	Holder string `json:"holder"`
	Count  uint64 `json:"count"`
}

// Encode gives the stored form.
func (r Record) Encode() []byte {
	raw, _ := json.Marshal(r) // two plain fields always have a form
	return raw
}

// DecodeRecord reads the stored form; an unreadable one names no holder.
func DecodeRecord(raw []byte) Record {
	var r Record
	_ = json.Unmarshal(raw, &r) // see above
	return r
}

// Command is what the owner of a Lease must do next. The set is closed: Read,
// Write and Rest.
type Command interface{ command() }

// Read asks to get the record.
type Read struct{ Key string }

// Write asks to put the record if it has the version.
type Write struct {
	Key    string
	Record Record
	Expect store.Version
}

// Rest asks to do nothing until the time.
type Rest struct{ Until time.Time }

func (Read) command()  {}
func (Write) command() {}
func (Rest) command()  {}

// Lease is the machine of one who wants to hold a lease.
type Lease struct {
	key      string
	holder   string
	term     time.Duration
	known    bool // the record and version below are the last read
	record   Record
	version  store.Version
	watch    Observer
	deadline time.Time // until which it is held
	renewAt  time.Time
}

// New returns the machine of a holder; the name must be unique to the process.
func New(key, holder string, term time.Duration) *Lease {
	return &Lease{key: key, holder: holder, term: term, watch: NewObserver(term)}
}

// Held gives the fencing number while the lease is in force.
func (l *Lease) Held(now time.Time) (Fence, bool) {
	return Fence(l.version), l.mine() && now.Before(l.deadline)
}

// Deadline is the time until which the lease is held; zero if it is not.
func (l *Lease) Deadline() time.Time {
	if !l.mine() {
		return time.Time{}
	}
	return l.deadline
}

func (l *Lease) mine() bool { return l.known && l.record.Holder == l.holder }

// Next tells what to do.
func (l *Lease) Next(now time.Time) Command {
	switch {
	case now.Before(l.renewAt):
		return Rest{Until: l.renewAt}
	case !l.known:
		return Read{Key: l.key}
	case l.mine() || l.record.Holder == "" || l.watch.Lapsed(now):
		return l.write()
	default:
		return l.observe(now)
	}
}

func (l *Lease) write() Command {
	next := Record{Holder: l.holder, Count: l.record.Count + 1}
	return Write{Key: l.key, Record: next, Expect: l.version}
}

// observe looks at another's lease again later.
func (l *Lease) observe(now time.Time) Command {
	l.known = false
	l.renewAt = now.Add(l.term / renewals)
	return Rest{Until: l.renewAt}
}

// WasRead takes the answer to Read, which was sent at the time.
func (l *Lease) WasRead(now time.Time, raw []byte, v store.Version, err error) {
	if errors.Is(err, store.ErrNotFound) {
		raw, v, err = nil, 0, nil
	}
	if err != nil {
		l.renewAt = now.Add(l.term / renewals / renewals)
		return
	}
	l.record, l.version, l.known = DecodeRecord(raw), v, true
	l.watch.Saw(now, v)
}

// WasWritten takes the answer to Write, which was sent at the time. After a lost
// answer or a conflict the record is read again; a lease that may have been won
// counts only once that has been seen and renewed.
func (l *Lease) WasWritten(sentAt, now time.Time, v store.Version, err error) {
	if err != nil {
		l.known = !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknownOutcome)
		l.renewAt = now.Add(l.term / renewals / renewals)
		return
	}
	l.record = Record{Holder: l.holder, Count: l.record.Count + 1}
	l.version = v
	l.watch.Saw(now, v)
	l.deadline = sentAt.Add(l.term - l.term/guard)
	l.renewAt = sentAt.Add(l.term / renewals)
}

// Observer tells from outside when another's lease has lapsed.
type Observer struct {
	term    time.Duration
	version store.Version
	since   time.Time
}

// NewObserver returns an observer of leases with the term.
func NewObserver(term time.Duration) Observer { return Observer{term: term} }

// Saw takes the version that the record had now.
func (o *Observer) Saw(now time.Time, v store.Version) {
	if o.since.IsZero() || v != o.version {
		o.version, o.since = v, now
	}
}

// Lapsed tells that the record has not changed for a whole term.
func (o *Observer) Lapsed(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) >= o.term
}
