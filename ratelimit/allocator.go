package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"

	"clovertrail.dev/core/domain"
)

const (
	// silentFor is for how long an issuer that did not answer is not asked; each further time
	// doubles it, up to silentMost.
	silentFor, silentMost = time.Second, 8 * time.Second
	maxSilent             = 3 // doublings
	// declinedFor is for how long a box is not asked that reports that it is not the issuer: two see it
	// differently for no longer than news takes.
	declinedFor = 200 * time.Millisecond
	// apartFor is for how long after it went by its own part a box counts as apart: a few rounds
	// in which boxes notify each other so.
	apartFor = 2 * time.Second
)

// Source is where a box gets permits for the targets of a service.
type Source interface{ source() }

// Local means that this box is the issuer.
type Local struct{}

// Remote means that another box is the issuer, and is to be asked. One that is slow is asked ahead:
// the request does not wait for the answer, and what it brings is for those that come later.
type Remote struct {
	Issuer   domain.BoxID
	Prefetch bool
}

// Pending means that a slow issuer is being asked already.
type Pending struct{}

// Fallback means that no issuer is known or answers, and that this box goes by its own part. Where Again
// is set it is time to find out whether that issuer answers again.
type Fallback struct{ Probe domain.BoxID }

func (Local) source()    {}
func (Remote) source()   {}
func (Pending) source()  {}
func (Fallback) source() {}

// Want is a target that a box has a request for, and what it gets a second from all boxes.
type Want struct {
	Target domain.InstanceID
	Rate   float64
}

// Turn is when a box may get a permit for a target.
type Turn struct {
	Target domain.InstanceID
	At     time.Time
}

// Grant is what a box gets: permits for one target, and its turns at those that come before it
// among its wants.
type Grant struct {
	Target  domain.InstanceID // empty if there is no permit for any
	Permits int
	Turns   []Turn
}

// Allocator hands out permits: for all boxes where this one is a service's issuer, and for itself while
// it goes by its own part. It is not safe for concurrent use.
type Allocator struct {
	rand   *rand.Rand
	self   domain.BoxID
	issued map[domain.ServiceName]*Buckets
	own    map[domain.ServiceName]*Buckets // of services for which it goes by its own part
	ownAt  time.Time                       // it last did
	peers  map[domain.BoxID]*peer
}

// peer is another box as an issuer.
type peer struct {
	asking int       // questions under way
	slow   bool      // its last answer came later than requests wait
	silent int       // times in a row that it did not answer
	until  time.Time // when it is looked at again, while it is silent
}

// NewAllocator returns the allocator of the box.
func NewAllocator(self domain.BoxID, rnd *rand.Rand) *Allocator {
	return &Allocator{
		rand: rnd, self: self, peers: map[domain.BoxID]*peer{},
		issued: map[domain.ServiceName]*Buckets{}, own: map[domain.ServiceName]*Buckets{},
	}
}

// Source is where permits for the service come from, whose issuer is the box; empty if none is known.
// Where that is another box, Asked follows.
func (d *Allocator) Source(now time.Time, svc domain.ServiceName, issuer domain.BoxID) Source {
	here := d.IsIssuer(issuer, svc)
	p := d.peer(issuer)
	switch {
	case issuer == "":
		return Fallback{}
	case here:
		return Local{}
	case p.silent > 0 && (now.Before(p.until) || p.asking > 0):
		return Fallback{}
	case p.silent > 0:
		return Fallback{Probe: issuer}
	case p.slow && p.asking > 0:
		return Pending{}
	default:
		return Remote{Issuer: issuer, Prefetch: p.slow}
	}
}

func (d *Allocator) peer(id domain.BoxID) *peer {
	p, ok := d.peers[id]
	if !ok {
		p = &peer{}
		d.peers[id] = p
	}
	return p
}

// RequestSent takes that the issuer is being asked. Answered or Silent follows.
func (d *Allocator) RequestSent(issuer domain.BoxID) { d.peer(issuer).asking++ }

// ReplyOverdue takes that the issuer has not answered in the time for which requests wait.
func (d *Allocator) ReplyOverdue(issuer domain.BoxID) { d.peer(issuer).slow = true }

// ReplyReceived takes that the issuer of the service answered, in time for the request or not. It tells
// whether it had been silent.
func (d *Allocator) ReplyReceived(svc domain.ServiceName, issuer domain.BoxID, inTime bool) bool {
	p := d.peer(issuer)
	silent := p.silent > 0
	p.asking--
	p.silent, p.slow = 0, !inTime
	delete(d.own, svc)
	return silent
}

// RequestDeclined takes that the box answered that it is not the issuer. It reports whether that was news.
func (d *Allocator) RequestDeclined(now time.Time, issuer domain.BoxID) bool {
	p := d.peer(issuer)
	p.asking--
	news := p.silent == 0
	p.silent, p.until = 1, now.Add(declinedFor)
	return news
}

// RequestFailed takes that the issuer did not answer. It reports whether that was news.
func (d *Allocator) RequestFailed(now time.Time, issuer domain.BoxID) bool {
	p := d.peer(issuer)
	p.asking--
	p.until = now.Add(min(silentFor<<min(p.silent, maxSilent), silentMost))
	p.silent++
	return p.silent == 1
}

// IsIssuer reports whether this box is the issuer of the service, which is the box. One that is not any
// more forgets what it handed out: it does not know what the other does.
func (d *Allocator) IsIssuer(issuer domain.BoxID, svc domain.ServiceName) bool {
	if issuer == d.self {
		return true
	}
	delete(d.issued, svc)
	return false
}

// Issue hands out permits to a box, where this one is the service's issuer and speaks for the part
// of all boxes.
func (d *Allocator) Issue(now time.Time, svc domain.ServiceName, wants []Want, part float64) Grant {
	delete(d.own, svc)
	return d.grant(now, d.issued, svc, wants, part)
}

// IssueFallback hands out permits to this box by its own part.
func (d *Allocator) IssueFallback(now time.Time, svc domain.ServiceName, wants []Want, part float64) Grant {
	d.ownAt = now
	return d.grant(now, d.own, svc, wants, part)
}

func (d *Allocator) grant(now time.Time, buckets map[domain.ServiceName]*Buckets, svc domain.ServiceName, wants []Want, part float64) Grant {
	b, ok := buckets[svc]
	if !ok {
		b = NewBuckets(d.rand)
		buckets[svc] = b
	}
	g := Grant{}
	for _, w := range wants {
		if math.IsInf(w.Rate, 0) {
			g.Target, g.Permits = w.Target, 1 // its limit is over, which the asker is yet to hear
			return g
		}
		permits, turn := b.Take(now, w.Target, w.Rate*part)
		if permits > 0 {
			g.Target, g.Permits = w.Target, permits
			return g
		}
		g.Turns = append(g.Turns, Turn{Target: w.Target, At: turn})
	}
	return g
}

// UsesFallback reports whether this box goes by its own part, so that no issuer speaks for it.
func (d *Allocator) UsesFallback(now time.Time) bool {
	return !d.ownAt.IsZero() && now.Sub(d.ownAt) < apartFor
}
