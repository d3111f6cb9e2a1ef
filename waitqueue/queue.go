package waitqueue

import (
	"maps"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// Queue holds the requests of one box that wait for a group to open. It is not safe for concurrent use.
type Queue struct {
	capacity int // largest number of waiting requests; 0 for none
	stopping bool
	issued   Ticket // the last ticket
	waiters  map[Ticket]*waiter
	lines    map[domain.ServiceName]*line
}

// New returns an empty queue for at most the given number of requests.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, waiters: map[Ticket]*waiter{}, lines: map[domain.ServiceName]*line{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// LenOf returns the number of waiting requests of the service.
func (q *Queue) LenOf(svc domain.ServiceName) int {
	if l, ok := q.lines[svc]; ok {
		return len(l.waiters)
	}
	return 0
}

// Services returns the services with waiting requests, sorted by name.
func (q *Queue) Services() []domain.ServiceName {
	var list []domain.ServiceName
	for _, svc := range slices.Sorted(maps.Keys(q.lines)) {
		if len(q.lines[svc].waiters) > 0 {
			list = append(list, svc)
		}
	}
	return list
}

// Add decides whether a request without a usable target waits. The decisions include that about a waiting
// request which it displaces.
func (q *Queue) Add(now time.Time, r Request) (Ticket, []Decision) {
	q.issued++
	w := &waiter{ticket: q.issued, request: r, queuedAt: now, latest: r.LatestRelease()}
	decisions := q.Expire(now)
	if reason, refused := q.refusal(now, w); refused {
		return w.ticket, append(decisions, Refused{Ticket: w.ticket, Reason: reason})
	}
	if len(q.waiters) >= q.capacity {
		last := q.last()
		if last == nil || r.Class.Compare(last.request.Class) >= 0 {
			return w.ticket, append(decisions, Refused{Ticket: w.ticket, Reason: Full})
		}
		decisions = append(decisions, q.refuse(now, last, Displaced))
	}
	l, ok := q.lines[r.Service]
	if !ok {
		l = &line{}
		q.lines[r.Service] = l
	}
	q.waiters[w.ticket] = w
	return w.ticket, append(decisions, Queued{Ticket: w.ticket, Place: l.insert(w)})
}

// refusal reports whether the request must not wait, whatever places are free, and why.
func (q *Queue) refusal(now time.Time, w *waiter) (Reason, bool) {
	switch {
	case w.request.Withdrawn && w.request.Stage != Started:
		return Gone, true
	case w.request.Stage == FirstTry && !w.request.opensInTime():
		return Unexpected, true
	case !now.Before(w.latest):
		return Expired, true
	case q.stopping && w.request.Stage != Started:
		return Stopped, true
	default:
		return "", false
	}
}

// last returns the least urgent waiter of all services, among equals the one that leaves last; nil if none
// waits. Classes of different services are compared by their ranks.
func (q *Queue) last() *waiter {
	var last *waiter
	for _, l := range q.lines {
		if n := len(l.waiters); n > 0 && (last == nil || l.waiters[n-1].compare(last) > 0) {
			last = l.waiters[n-1]
		}
	}
	return last
}

// Usable records that the service has usable targets with the given room, and decides which requests are
// released. It is called at least every ReleaseInterval while requests wait and targets are usable.
func (q *Queue) Usable(now time.Time, svc domain.ServiceName, r Room) []Decision {
	decisions := q.Expire(now)
	l, ok := q.lines[svc]
	if !ok {
		return decisions
	}
	for _, w := range l.release(now, r) {
		delete(q.waiters, w.ticket)
		decisions = append(decisions, Released{Ticket: w.ticket, Waited: now.Sub(w.queuedAt)})
	}
	return decisions
}

// Gone records that no group of the service is expected to come back.
func (q *Queue) Gone(now time.Time, svc domain.ServiceName) []Decision {
	return q.refuseAll(now, Gone, func(w *waiter) bool { return w.request.Service == svc })
}

// Withdrawn records that the ranks of the service are listed but not expected to take requests soon. Requests that
// have started go on waiting, as a refusal would not let their callers return; the others are refused.
func (q *Queue) Withdrawn(now time.Time, svc domain.ServiceName) []Decision {
	return q.refuseAll(now, Gone, func(w *waiter) bool { return w.request.Service == svc && w.request.Stage != Started })
}

// Expire refuses the requests whose answers could no longer begin in time.
func (q *Queue) Expire(now time.Time) []Decision {
	return q.refuseAll(now, Expired, func(w *waiter) bool { return !now.Before(w.latest) })
}

// NextExpiry returns when Expire is to be called at the latest; false if no request waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, w := range q.waiters {
		if next.IsZero() || w.latest.Before(next) {
			next = w.latest
		}
	}
	return next, !next.IsZero()
}

// Stop records that the box begins a planned stop. Requests that other boxes can run are refused, so that
// the stop does not wait for them. Those that have started cannot be run elsewhere and go on waiting, at
// most until their callers leave.
func (q *Queue) Stop(now time.Time) []Decision {
	q.stopping = true
	return q.refuseAll(now, Stopped, func(w *waiter) bool { return w.request.Stage != Started })
}

// SetCapacity sets the largest number of waiting requests, and refuses the last ones of those that are
// above it.
func (q *Queue) SetCapacity(now time.Time, capacity int) []Decision {
	q.capacity = capacity
	var decisions []Decision
	for len(q.waiters) > capacity {
		decisions = append(decisions, q.refuse(now, q.last(), Displaced))
	}
	return decisions
}

// Leave removes the request of a caller that has left. It returns false if the request does not wait.
func (q *Queue) Leave(t Ticket) bool {
	w, ok := q.waiters[t]
	if ok {
		q.remove(w)
	}
	return ok
}

// refuseAll refuses the waiters that match, in the order of their tickets.
func (q *Queue) refuseAll(now time.Time, reason Reason, match func(*waiter) bool) []Decision {
	var matching []Ticket
	for t, w := range q.waiters {
		if match(w) {
			matching = append(matching, t)
		}
	}
	slices.Sort(matching)
	var decisions []Decision
	for _, t := range matching {
		decisions = append(decisions, q.refuse(now, q.waiters[t], reason))
	}
	return decisions
}

func (q *Queue) refuse(now time.Time, w *waiter, reason Reason) Decision {
	q.remove(w)
	return Refused{Ticket: w.ticket, Reason: reason, Queued: true, Waited: now.Sub(w.queuedAt)}
}

func (q *Queue) remove(w *waiter) {
	delete(q.waiters, w.ticket)
	q.lines[w.request.Service].remove(w)
}
