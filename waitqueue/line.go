package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReleaseInterval is the time after which a box may release one more request, whatever the reports
	// state. Reports are up to a second old and a caller waits for two, so a box must not wait for a report
	// of slots that became free.
	ReleaseInterval = 100 * time.Millisecond
	// maxReportAge is the age from which reports of usable targets include everything that was released
	// before. Targets whose reports are older are not usable.
	maxReportAge = 2 * time.Second
)

// waiter is a request that waits.
type waiter struct {
	ticket   Ticket
	request  Request
	queuedAt time.Time
	latest   time.Time // the request is refused unless it has been released before
}

func (w *waiter) compare(o *waiter) int {
	return cmp.Or(w.request.compare(o.request), cmp.Compare(w.ticket, o.ticket))
}

// line has the waiting requests of one service.
type line struct {
	waiters  []*waiter   // in the order in which they are released
	released []time.Time // releases that the reports may not include yet, oldest first
	nextAt   time.Time   // from when one more request may be released, whatever the reports state
}

// insert adds the waiter and returns its place, from 1.
func (l *line) insert(w *waiter) int {
	at, _ := slices.BinarySearchFunc(l.waiters, w, (*waiter).compare)
	l.waiters = slices.Insert(l.waiters, at, w)
	return at + 1
}

func (l *line) remove(w *waiter) {
	if at, found := slices.BinarySearchFunc(l.waiters, w, (*waiter).compare); found {
		l.waiters = slices.Delete(l.waiters, at, at+1)
	}
}

// release removes and returns the waiters that the room allows, the first ones first.
func (l *line) release(now time.Time, r Room) []*waiter {
	l.released = slices.DeleteFunc(l.released, func(at time.Time) bool {
		return !at.After(r.ReportedAt) || now.Sub(at) > maxReportAge
	})
	n := r.share() - len(l.released)
	if n < 1 && !now.Before(l.nextAt) {
		n = 1
	}
	n = min(max(n, 0), len(l.waiters))
	if n == 0 {
		return nil
	}
	l.nextAt = now.Add(ReleaseInterval)
	for range n {
		l.released = append(l.released, now)
	}
	list := slices.Clone(l.waiters[:n])
	l.waiters = slices.Delete(l.waiters, 0, n)
	return list
}
