package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/retry"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// Speech reads and writes the wire's headers.
type Speech interface {
	// Request reads a caller's request; the body is left alone.
	Request(now time.Time, r *http.Request) (call.Request, error)
	// Attempt writes into the headers what the target is told.
	Attempt(now time.Time, h http.Header, a call.Attempt)
	// Answer reads the head of a target's answer, which came now.
	Answer(now time.Time, r *http.Response) call.Answer
}

// Query is what is known of a request that looks for a target.
type Query struct {
	Service domain.ServiceName
	// Tried are instances that had an attempt of the request.
	Tried []domain.InstanceID
	// First reports that this is the first attempt; a further one is not refused for
	// want of room.
	First bool
	Route string
	// Aim is the time within which an answer must begin to be in time.
	Aim time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Lease is a place at a target for one attempt. One of its methods is called last,
// and ends it.
type Lease interface {
	// Target is the target that was chosen.
	Target() domain.Target
	// Witness is the address of another process that is reached on the same way as the
	// target; empty if there is none.
	Witness() string
	// Wanted reports whether the target may still be sent the attempt: it may have said meanwhile
	// that it is leaving, or asked for rest, or named a limit.
	Wanted(now time.Time) bool
	// Heard takes what the target reports about itself with an answer: its load, whether it is
	// leaving, for how long it wants nothing, and how much it takes.
	Heard(now time.Time, a call.Answer)
	// Overdue reports that the answer has not begun although one in time would have long ago.
	Overdue()
	// Began reports that the answer has begun.
	Began()
	// Paused reports the time between two events of the answer, and of the longest
	// that is in time; 0 for none.
	Paused(pause, aim time.Duration)
	// Drags reports whether streams are to be moved from this target to others: it makes the
	// steps of its group too long for all of them.
	Drags(now time.Time, tried []domain.InstanceID) bool
	// End gives the place back, with how the attempt spoke for the target.
	End(v Verdict)
}

// Verdict is what an attempt shows about its target.
type Verdict int

// The verdicts.
const (
	// Neutral reports nothing: the caller left, or the request itself was at fault.
	Neutral Verdict = iota
	// Good: it served.
	Good
	// Bad: it could be reached, and let the attempt down.
	Bad
	// Full: it reported that it had no room.
	Full
	// Unreachable: no connection could be made.
	Unreachable
	// Replaced: another instance stands at the address.
	Replaced
	// Gone: its process ended during the attempt.
	Gone
)

// Fleet chooses targets.
type Fleet interface {
	// Acquire gives a place at a target, or an error of the closed list that says
	// why there is none. For targets that name a limit it may ask another box.
	Acquire(ctx context.Context, now time.Time, q Query) (Lease, error)
	// TakesAt is when a target of the service takes requests, as far as is known: now, if one
	// does; zero if it is not known.
	TakesAt(now time.Time, svc domain.ServiceName) time.Time
	// Blame reports that a target, named by another, is at fault for a failure.
	Blame(id domain.ListedID)
}

// Quarantine knows which work is not to be sent to targets, as targets ended under it.
type Quarantine interface {
	// Barred tells until when the work is not to be sent, if it is not.
	Barred(now time.Time, work call.Digest) (until time.Time, barred bool)
	// Ended takes that the target ended while it had the work.
	Ended(now time.Time, work call.Digest, id domain.InstanceID)
	// Served takes that the work was served.
	Served(now time.Time, work call.Digest)
}

// Parts is what a Gateway is made of.
type Parts struct {
	Common     telemetry.Common
	Speech     Speech
	Fleet      Fleet
	Pool       *transport.Pool
	Quarantine Quarantine
	// Purse pays for further attempts of requests to a service.
	Purse func(domain.ServiceName) retry.Budget
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	parts    Parts
	catalog  atomic.Pointer[catalog.Catalog]
	inFlight atomic.Int64
	leaving  atomic.Pointer[time.Time] // when this box ends at the latest; nil while it stays
	stays    *stays
	draw     func() float64
}

// New returns a gateway without a configuration.
func New(p Parts) *Gateway { return &Gateway{parts: p, draw: rand.Float64, stays: newStays()} }

// Configure puts a catalog in force for requests that come from now on.
func (g *Gateway) Configure(c *catalog.Catalog) { g.catalog.Store(c) }

// Catalog is the catalog in force, or nil before the first.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// InFlight is how many requests are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Leave makes every further answer notify its caller that the connection ends. What most
// likely does not fit into the time until the end is not let in any more.
func (g *Gateway) Leave(end time.Time) { g.leaving.Store(&end) }

// Leaving reports whether Leave was called.
func (g *Gateway) Leaving() bool { return g.leaving.Load() != nil }

// elsewhere is after how long a caller that was not let in comes back, to another box:
// the time of a new connection.
const elsewhere = 20 * time.Millisecond

// fits refuses an order that this box would most likely have to cut off.
func (g *Gateway) fits(now time.Time, o *order) error {
	end := g.leaving.Load()
	if end == nil || g.stays.fits(now, o.route.Name(), *end) {
		return nil
	}
	return fault.New(fault.Stopping, "this box ends at %s, and answers of the route took longer lately", end.Format(time.TimeOnly)).
		RetryAt(now.Add(elsewhere))
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.Leaving() {
		w.Header().Set("Connection", "close")
	}
	now := clock.Now()
	c, err := g.intake(now, w, r)
	if err == nil {
		err = g.fits(now, c)
	}
	if err != nil {
		g.refuse(w, c, err)
		return
	}
	g.serve(r.Context(), w, c)
}
