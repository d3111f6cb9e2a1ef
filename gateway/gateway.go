package gateway

import (
	"cmp"
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
	"clovertrail.dev/core/urgency"
	"clovertrail.dev/retry"
	"clovertrail.dev/shutdown"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// HeaderCodec reads and writes the headers of requests and responses on the wire.
type HeaderCodec interface {
	// ParseRequest reads the headers of a caller's request. It does not read the body.
	ParseRequest(now time.Time, r *http.Request) (call.Request, error)
	// WriteAttempt writes the fields of an attempt into the headers of a request to a target.
	WriteAttempt(now time.Time, h http.Header, a call.Attempt)
	// ParseResponse reads the status and headers of a target's response that arrived now.
	ParseResponse(now time.Time, r *http.Response) call.Response
}

// Query describes a request for which a target is to be chosen.
type Query struct {
	// Request is the id of the request, for the log.
	Request call.ID
	Service domain.ServiceName
	// Tried lists the instances that already had an attempt of the request.
	Tried []domain.InstanceID
	// First reports whether this is the first attempt. Further attempts, and one that has waited for a
	// target, are not refused for lack of capacity.
	First bool
	Route string
	// Class is the urgency of the request.
	Class        urgency.Class
	Organisation domain.OrganisationName
	// LatencyObjective is the time within which the response has to begin to meet the route's objective.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between events that the route allows; 0 if it has no such limit.
	EventGapObjective time.Duration
	// ArrivedAt is when the request arrived at this box.
	ArrivedAt time.Time
	// Started reports that an attempt may have run or the caller has a part of the response, so that it does
	// not try again if the request is refused.
	Started bool
	// Deadline is when the caller stops waiting for the end of the response. LeavesAt is when it leaves
	// unless it has received an event by then; for other requests it is the deadline.
	Deadline, LeavesAt time.Time
}

// Lease is the use of a target for one attempt. Release is called last, exactly once.
type Lease interface {
	// Target returns the chosen target.
	Target() domain.Target
	// Witnesses returns the addresses of other processes that are reached by the same network path as
	// the target; empty if there are none.
	Witnesses() []string
	// MaySend reports whether the attempt may still be sent to the target. Since it was chosen,
	// the target may have reported that it is leaving, asked for rest or named a limit.
	MaySend(now time.Time) bool
	// UpdateStatus records what the target reports about itself in a response: its load, whether
	// it is leaving, for how long it asks to be sent nothing, and its limit.
	UpdateStatus(now time.Time, a call.Response)
	// ResponseOverdue records that the response has not begun, long after the time that the
	// route's objective allows.
	ResponseOverdue()
	// ResponseStarted records that the response has begun.
	ResponseStarted()
	// ReportEventGap records the time between two events of the response. The objective is the
	// longest gap that the route allows; 0 if it has none.
	ReportEventGap(gap, objective time.Duration)
	// IsStraggler reports whether streams are to be moved from this target to others, because it
	// lengthens the steps of its whole group too much.
	IsStraggler(now time.Time, tried []domain.InstanceID) bool
	// GroupInterrupted reports whether the target's group has stopped, or formed anew, since the target was chosen; false
	// without a group.
	GroupInterrupted(now time.Time) bool
	// Release ends the use of the target, and records the attempt's verdict on the target.
	Release(v Verdict)
}

// Verdict classifies the result of an attempt as evidence about the health of its target.
type Verdict int

// The verdicts.
const (
	// Neutral: the attempt says nothing about the target, for example because the caller left.
	Neutral Verdict = iota
	// Good: the target served the request.
	Good
	// Bad: the target was reached, and the attempt failed there.
	Bad
	// Full: the target reported that it has no capacity left.
	Full
	// Unreachable: no connection to the target could be made.
	Unreachable
	// Replaced: another instance listens at the target's address.
	Replaced
	// ProcessEnded: the target's process ended during the attempt.
	ProcessEnded
)

// Fleet chooses targets.
type Fleet interface {
	// Acquire leases a target for one attempt. If there is none it returns an error of package
	// fault with the reason. For targets that have named a limit it may request a permit from
	// another box. It may wait while the group that would serve the request is stopped, until ctx ends
	// or the caller is about to leave.
	Acquire(ctx context.Context, now time.Time, q Query) (Lease, error)
	// HasTarget reports whether a target that has not been tried can be chosen now.
	HasTarget(now time.Time, svc domain.ServiceName, tried []domain.InstanceID) bool
	// AvailableAt returns when a target of the service accepts requests, as far as is known: now
	// if one does already; zero if that is unknown.
	AvailableAt(now time.Time, svc domain.ServiceName) time.Time
	// ReportFault records that another target named this one as the cause of a failure.
	ReportFault(id domain.ListedID)
}

// Quarantine holds the work that must not be sent to targets, because targets ended under it, or under the parts
// of its prompt.
type Quarantine interface {
	// QuarantinedUntil reports whether the work must not be sent now, and until when.
	QuarantinedUntil(now time.Time, work call.Work) (until time.Time, barred bool)
	// TargetEnded records that the target's process ended while it had the work.
	TargetEnded(now time.Time, work call.Work, id domain.InstanceID)
	// WorkServed records that the work was served, and PartsServed that a target went on with a response to a
	// prompt of these parts after its beginning.
	WorkServed(now time.Time, work call.Work)
	PartsServed(now time.Time, work call.Work)
	// KnowsParts reports whether targets are known to have served each part of the prompt, and none to have ended
	// under it since.
	KnowsParts(work call.Work) bool
	// BeginTrial reports whether one request of the work, which must not be sent otherwise, may be sent to
	// one target. EndTrial is called as that attempt has ended; ran is false if the request cannot have run.
	BeginTrial(now time.Time, work call.Work) bool
	EndTrial(now time.Time, work call.Work, ran bool)
}

// Dependencies are the components that a Gateway uses.
type Dependencies struct {
	Common     telemetry.Common
	Headers    HeaderCodec
	Fleet      Fleet
	Pool       *transport.Pool
	Quarantine Quarantine
	// Budget returns the retry budget of a service.
	Budget func(domain.ServiceName) retry.Budget
	// LastPause returns when the process was last scheduled again after a pause; zero if there was none. Nil if that is not known.
	LastPause func(now time.Time) time.Time
	// MaxHeldBytes bounds the bodies of requests and the parts of responses that are held at a time; 0
	// for 64 MiB.
	MaxHeldBytes int64
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	deps          Dependencies
	catalog       atomic.Pointer[catalog.Catalog]
	inFlight      atomic.Int64
	deliveries    *deliveries
	stop          atomic.Pointer[shutdown.Plan] // the planned stop; nil before BeginStop
	responseTimes *responseTimes
	memory        *memory
	random        func() float64 // uniform in [0, 1), chooses among the backends of a route
}

// New returns a gateway without a configuration.
func New(d Dependencies) *Gateway {
	if d.LastPause == nil {
		d.LastPause = func(time.Time) time.Time { return time.Time{} }
	}
	return &Gateway{
		deps: d, random: rand.Float64, responseTimes: newResponseTimes(), deliveries: newDeliveries(),
		memory: newMemory(cmp.Or(d.MaxHeldBytes, defaultMaxHeldBytes)),
	}
}

// Configure puts a catalog in force for requests that arrive from now on.
func (g *Gateway) Configure(c *catalog.Catalog) { g.catalog.Store(c) }

// Catalog returns the catalog in force, or nil before the first Configure.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// QuarantineChanged withdraws the requests whose work must not be sent any more from where they wait, and from
// targets that have not begun to respond.
func (g *Gateway) QuarantineChanged() {
	now := clock.Now()
	for _, d := range g.deliveries.all() {
		if d.barred(now) {
			d.withdraw()
		}
	}
}

// BeginStop starts the planned stop of this box. From now on each response tells its caller that the connection
// closes, and requests that the plan does not accept are refused.
func (g *Gateway) BeginStop(p shutdown.Plan) { g.stop.Store(&p) }

// Stopping reports whether BeginStop was called.
func (g *Gateway) Stopping() bool { return g.stop.Load() != nil }

// OtherBoxRetryDelay is the time after which a refused caller can retry at another box: the
// time of a new connection.
const OtherBoxRetryDelay = 20 * time.Millisecond

// checkTimeLeft refuses a request that a stopping box may not have answered by its end.
func (g *Gateway) checkTimeLeft(now time.Time, req *inboundRequest) error {
	plan := g.stop.Load()
	if plan == nil {
		return nil
	}
	longest := max(g.responseTimes.longestOf(req.route.Name()), g.deliveries.longestOf(now, req.route.Name()))
	if plan.Accepts(now, shutdown.Request{Deadline: req.deadline, Longest: longest}) {
		return nil
	}
	return fault.New(fault.Stopping, "this box stops within %v, the request may last %v, recent responses of its route lasted up to %v",
		plan.End().Sub(now), req.deadline.Sub(now), longest).RetryAt(now.Add(OtherBoxRetryDelay))
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	now := clock.Now()
	conn := callerConn{http.NewResponseController(w)}
	conn.resetDeadlines()
	hold := g.memory.open(func() { conn.readUntil(clock.Now()) })
	defer hold.close()
	req, err := g.intake(now, w, r, hold, conn)
	if err == nil {
		err = g.checkTimeLeft(now, req)
	}
	if err != nil {
		g.refuse(w, req, err)
		return
	}
	g.serve(r.Context(), w, req, hold, conn)
}
