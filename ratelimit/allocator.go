package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"

	"clovertrail.dev/core/domain"
)

const (
	// No requests are sent to an issuer for minBackoff after it did not reply. Each further failure
	// doubles that time, up to maxBackoff.
	minBackoff, maxBackoff = time.Second, 8 * time.Second
	maxDoublings           = 3
	// declineBackoff is how long no requests are sent to a box that replied that it is not the issuer.
	// It is short, because two boxes disagree about the issuer only until both have received the same
	// updates.
	declineBackoff = 200 * time.Millisecond
	// fallbackReported is how long after the last use of its fallback share a box still reports that
	// it uses it, unless the issuer has replied since: a few rounds of messages between boxes.
	fallbackReported = 2 * time.Second
)

// Source states where a box gets permits for the targets of a service.
type Source interface{ source() }

// Local means that this box is the issuer.
type Local struct{}

// Remote means that another box is the issuer, to which a request is sent. Prefetch reports that the
// issuer replies slowly: the request of the caller does not wait for the reply, whose permits are for
// later requests.
type Remote struct {
	Issuer   domain.BoxID
	Prefetch bool
}

// Pending means that a request to a slow issuer is already in progress.
type Pending struct{}

// Fallback means that no issuer is known or replies, and that this box uses its fallback share. If Probe
// is set, it is time to test whether that issuer replies again.
type Fallback struct{ Probe domain.BoxID }

func (Local) source()    {}
func (Remote) source()   {}
func (Pending) source()  {}
func (Fallback) source() {}

// Want is a target that a box has a request for, and the number of requests a second that the target
// gets from all boxes.
type Want struct {
	Target domain.InstanceID
	Rate   float64
}

// Turn is the time from which a box may get a permit for a target.
type Turn struct {
	Target domain.InstanceID
	At     time.Time
}

// Grant is the reply to a list of wants: permits for one target, and the turns at the targets before it
// in the list.
type Grant struct {
	Target  domain.InstanceID // empty if there are no permits
	Permits int
	Turns   []Turn
	By      Assigner // of the turns
}

// Allocator issues permits: to all boxes where this box is the issuer of a service, and to itself while
// it uses its fallback share. It is not safe for concurrent use.
type Allocator struct {
	rand       *rand.Rand
	self       domain.BoxID
	issued     map[domain.ServiceName]*Buckets  // buckets of the services for which this box is the issuer
	fallback   map[domain.ServiceName]*Buckets  // buckets of the services for which this box uses its fallback share
	fallbackAt map[domain.ServiceName]time.Time // when this box last used its fallback share of the service
	peers      map[domain.BoxID]*peer
}

// peer is the state of another box as an issuer.
type peer struct {
	pending  int       // requests in progress
	slow     bool      // its last reply came after the time that requests wait for it
	failures int       // consecutive requests that failed
	retryAt  time.Time // when it is probed again after a failure
}

// NewAllocator returns the allocator of the box self.
func NewAllocator(self domain.BoxID, rnd *rand.Rand) *Allocator {
	return &Allocator{
		rand: rnd, self: self, peers: map[domain.BoxID]*peer{},
		issued: map[domain.ServiceName]*Buckets{}, fallback: map[domain.ServiceName]*Buckets{}, fallbackAt: map[domain.ServiceName]time.Time{},
	}
}

// Source returns where permits for the service come from. issuer is the box that issues them, and empty
// if none is known. If the result names another box, the caller calls RequestSent next.
func (a *Allocator) Source(now time.Time, svc domain.ServiceName, issuer domain.BoxID) Source {
	isIssuer := a.IsIssuer(issuer, svc)
	p := a.peer(issuer)
	switch {
	case issuer == "":
		return Fallback{}
	case isIssuer:
		return Local{}
	case p.failures > 0 && (now.Before(p.retryAt) || p.pending > 0):
		return Fallback{}
	case p.failures > 0:
		return Fallback{Probe: issuer}
	case p.slow && p.pending > 0:
		return Pending{}
	default:
		return Remote{Issuer: issuer, Prefetch: p.slow}
	}
}

func (a *Allocator) peer(id domain.BoxID) *peer {
	p, ok := a.peers[id]
	if !ok {
		p = &peer{}
		a.peers[id] = p
	}
	return p
}

// RequestSent records that a request is being sent to the issuer. ReplyReceived, RequestDeclined or
// RequestFailed follows.
func (a *Allocator) RequestSent(issuer domain.BoxID) { a.peer(issuer).pending++ }

// ReplyOverdue records that the issuer has not replied within the time that requests wait for it.
func (a *Allocator) ReplyOverdue(issuer domain.BoxID) { a.peer(issuer).slow = true }

// ReplyReceived records that the issuer of the service replied. inTime reports whether the reply came
// within the time that requests wait for it. It returns whether earlier requests had failed.
func (a *Allocator) ReplyReceived(svc domain.ServiceName, issuer domain.BoxID, inTime bool) bool {
	p := a.peer(issuer)
	hadFailed := p.failures > 0
	p.pending--
	p.failures, p.slow = 0, !inTime
	a.endFallback(svc)
	return hadFailed
}

// RequestDeclined records that the box replied that it is not the issuer. It returns whether this is the
// first failure in a row.
func (a *Allocator) RequestDeclined(now time.Time, issuer domain.BoxID) bool {
	p := a.peer(issuer)
	p.pending--
	first := p.failures == 0
	p.failures, p.retryAt = 1, now.Add(declineBackoff)
	return first
}

// RequestFailed records that a request to the issuer failed or got no reply. It returns whether this is
// the first failure in a row.
func (a *Allocator) RequestFailed(now time.Time, issuer domain.BoxID) bool {
	p := a.peer(issuer)
	p.pending--
	p.retryAt = now.Add(min(minBackoff<<min(p.failures, maxDoublings), maxBackoff))
	p.failures++
	return p.failures == 1
}

// IsIssuer reports whether this box is issuer, the issuer of the service. If not, IsIssuer drops the
// buckets of the service: this box does not know which permits another issuer has issued since.
func (a *Allocator) IsIssuer(issuer domain.BoxID, svc domain.ServiceName) bool {
	if issuer == a.self {
		return true
	}
	delete(a.issued, svc)
	return false
}

// Issue issues permits to a box, where this box is the issuer of the service. share is the share of
// the limit that belongs to all boxes that this issuer serves.
func (a *Allocator) Issue(now time.Time, svc domain.ServiceName, wants []Want, share float64) Grant {
	a.endFallback(svc)
	return a.grant(now, a.issued, Assigner{svc, a.self}, wants, share)
}

// IssueFallback issues permits to this box from its fallback share. issuer is as in Source. If the issuer has
// failed, no turn is later than the next probe of it: while this box waits for a turn it requests no permits,
// and so would not probe the issuer either.
func (a *Allocator) IssueFallback(now time.Time, svc domain.ServiceName, issuer domain.BoxID, wants []Want, share float64) Grant {
	a.fallbackAt[svc] = now
	g := a.grant(now, a.fallback, Assigner{Service: svc}, wants, share)
	if p, ok := a.peers[issuer]; ok && p.failures > 0 {
		g.limitTurns(later(p.retryAt, now.Add(declineBackoff)))
	}
	return g
}

// limitTurns brings the turns after last forward to it.
func (g *Grant) limitTurns(last time.Time) {
	for i, t := range g.Turns {
		if t.At.After(last) {
			g.Turns[i].At = last
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// grant issues permits for the first target in wants that has any, and turns at the targets before it.
func (a *Allocator) grant(now time.Time, buckets map[domain.ServiceName]*Buckets, by Assigner, wants []Want, share float64) Grant {
	b, ok := buckets[by.Service]
	if !ok {
		b = NewBuckets(a.rand)
		buckets[by.Service] = b
	}
	g := Grant{By: by}
	for _, w := range wants {
		if math.IsInf(w.Rate, 0) {
			g.Target, g.Permits = w.Target, 1 // the limit has ended, but the requesting box does not know yet
			return g
		}
		permits, turn := b.Take(now, w.Target, w.Rate*share)
		if permits > 0 {
			g.Target, g.Permits = w.Target, permits
			return g
		}
		g.Turns = append(g.Turns, Turn{Target: w.Target, At: turn})
	}
	return g
}

// UsesFallback reports whether this box has recently used its fallback share. Issuers must then not count
// it among the boxes that they serve, or its share would be issued twice.
func (a *Allocator) UsesFallback(now time.Time) bool {
	for _, at := range a.fallbackAt {
		if now.Sub(at) < fallbackReported {
			return true
		}
	}
	return false
}

// endFallback ends the use of the fallback share of the service, as permits come from its issuer again.
func (a *Allocator) endFallback(svc domain.ServiceName) {
	delete(a.fallback, svc)
	delete(a.fallbackAt, svc)
}
