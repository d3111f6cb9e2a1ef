package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/retry"
)

// firstByteTimeoutFactor is the timeout for the first byte of a response, as a multiple of the
// route's latency objective; after it the request is sent to another target if that is possible. Normal
// responses begin within the objective. If capacity is short, many begin after this timeout; the retry
// budget is then exhausted, so that these attempts go on (docs/design/retries.md).
const firstByteTimeoutFactor = 3

// overdueFactor is the time, as a multiple of the route's latency objective, after which a response
// that has not begun is reported to other boxes, which may observe late responses of the same target.
const overdueFactor = 1.5

// delivery runs one request through its attempts.
type delivery struct {
	g       *Gateway
	req     *inboundRequest
	w       http.ResponseWriter
	machine *retry.Machine
	tried   []domain.InstanceID

	headSent     bool   // the response head was sent to the caller
	status       int    // status sent to the caller
	after        string // ID of the last event sent to the caller; at first the one that the request names
	unplaced     bool   // no target can continue after what was sent to the caller: the last event has no ID, or it is no stream
	events       int
	firstByteAt  time.Time         // when the response head was sent to the caller
	lastEventsAt time.Time         // when the last events were sent to the caller
	maxGap       time.Duration     // longest time between events
	endInDoubt   bool              // the last attempt that sent events may have sent all of them
	buffered     *bufferedResponse // failure response, sent if there is no other attempt
	limit        call.Limit        // limit named by the target of the last attempt
	hold         *holding
	lostAfter    time.Duration // from when an attempt was sent until its target ended, of the first one; 0 for none
	knownParts   bool          // the parts of the prompt were known then

	mu      sync.Mutex
	unbegun context.CancelCauseFunc // ends an attempt, or the wait for one, whose response has not begun; nil if there is none
}

// errWithdrawn is the cause with which an attempt ends whose work was put in quarantine.
var errWithdrawn = errors.New("the work of the request was put in quarantine")

// withdraw ends the current attempt if its response has not begun, and the wait for a target.
func (d *delivery) withdraw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unbegun != nil {
		d.unbegun(errWithdrawn)
	}
}

// setUnbegun sets the function that ends what withdraw ends; nil for nothing.
func (d *delivery) setUnbegun(cancel context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unbegun = cancel
}

// serve executes the commands of the request's retry state machine until the request has ended.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, req *inboundRequest, hold *holding, conn callerConn) {
	ctx, cancel := clock.WithDeadline(ctx, req.deadline)
	defer cancel()
	ctx, endSlow := context.WithCancelCause(ctx)
	defer endSlow(nil)
	conn.writeUntil(req.deadline.Add(writeMargin))
	hold.setEnd(func() {
		endSlow(errSlowPeer)
		conn.writeUntil(clock.Now())
	})
	d := &delivery{g: g, req: req, w: w, hold: hold, after: req.LastEventID()}
	rules := retry.Rules{
		Repeat: req.route.MayRepeat(), Resume: req.route.MayResume(), MaxAttempts: req.route.MaxAttempts(),
		Deadline: req.deadline, FirstByteTimeout: firstByteTimeoutFactor * req.route.LatencyObjective(),
	}
	d.machine = retry.NewMachine(rules, g.deps.Budget(req.service))
	g.deliveries.add(d)
	defer g.deliveries.remove(d)
	for cmd := d.machine.Start(req.arrived); ; {
		if callerGone(ctx) {
			g.logCallerGone(req, d)
			panic(http.ErrAbortHandler)
		}
		if errors.Is(context.Cause(ctx), errSlowPeer) {
			g.logAborted(req, d, fault.New(fault.SlowPeer, "%v", errSlowPeer))
			abort(w, req.http)
		}
		switch c := cmd.(type) {
		case retry.Try:
			cmd = d.try(ctx, c)
		case retry.Deliver:
			d.finish()
			return
		case retry.Refuse:
			g.refuse(w, req, c.Err)
			return
		case retry.Abort:
			g.logAborted(req, d, c.Err)
			abort(w, req.http)
		}
	}
}

// callerGone reports whether the caller left, as opposed to a deadline that passed.
func callerGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// try makes one attempt and returns the next command.
func (d *delivery) try(caller context.Context, t retry.Try) retry.Command {
	now := clock.Now()
	// Checked before each attempt: work that ended the target of one attempt must not reach another.
	trial := false
	if until, barred := d.quarantinedUntil(now); barred {
		if trial = len(d.tried) == 0 && d.g.deps.Quarantine.BeginTrial(now, d.req.work); !trial {
			return d.refuseQuarantined(now, until)
		}
		defer func() { d.g.deps.Quarantine.EndTrial(clock.Now(), d.req.work, !d.machine.NotRun()) }()
	}
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	if !trial {
		d.setUnbegun(cancel)
		defer d.setUnbegun(nil)
	}
	lease, err := d.g.deps.Fleet.Acquire(ctx, now, d.query())
	now = clock.Now() // the request may have waited for a target
	if until, barred := d.quarantinedUntil(now); barred && !trial {
		if err == nil {
			lease.Release(Neutral)
		}
		return d.refuseQuarantined(now, until)
	}
	if err != nil {
		f := fault.Find(err)
		if f == nil {
			f = fault.New(fault.Internal, "%v", err)
		}
		return d.machine.NoTarget(now, f)
	}
	d.tried = append(d.tried, lease.Target().ID())
	a := &attempt{d: d, lease: lease, try: d.machine.Delayed(now, t)}
	end := a.run(ctx, caller)
	d.limit = a.response.Limit
	if _, served := end.(retry.Answered); served {
		d.g.deps.Quarantine.WorkServed(clock.Now(), d.req.work)
	}
	cmd := d.machine.Ended(clock.Now(), end)
	d.g.logAttempt(d.req, a, end, cmd)
	return cmd
}

// query describes the request for the choice of a target.
func (d *delivery) query() Query {
	return Query{
		Request: d.req.ID(), Service: d.req.service, Tried: d.tried, First: len(d.tried) == 0,
		Route: d.req.route.Name(), Class: d.req.class, Organisation: d.req.org.Name,
		LatencyObjective: d.req.route.LatencyObjective(), EventGapObjective: d.req.route.EventGapObjective(),
		ArrivedAt: d.req.arrived, Deadline: d.req.deadline, LeavesAt: d.leavesAt(), Started: !d.machine.NotRun(),
	}
}

// replaceOverdue reports whether the current attempt, whose response is overdue, is to be cancelled so
// that another target is tried, and charges the retry budget for that. Work in quarantine is not sent to
// another target.
func (d *delivery) replaceOverdue(now time.Time) bool {
	return !d.barred(now) && d.g.deps.Fleet.HasTarget(now, d.req.service, d.tried) && d.machine.ReplaceOverdue(now)
}

// quarantinedUntil reports whether the work of the request is in quarantine, and until when.
func (d *delivery) quarantinedUntil(now time.Time) (until time.Time, barred bool) {
	return d.g.deps.Quarantine.QuarantinedUntil(now, d.req.work)
}

// barred reports whether the request must not be sent to another target.
func (d *delivery) barred(now time.Time) bool {
	_, barred := d.quarantinedUntil(now)
	return barred
}

// refuseQuarantined returns the next command for a request whose work is in quarantine.
func (d *delivery) refuseQuarantined(now, until time.Time) retry.Command {
	return d.machine.Barred(now, fault.New(fault.Quarantined, "targets ended under this work").RetryAt(until))
}

// leavesAt returns when the caller leaves unless it has received an event by then.
func (d *delivery) leavesAt() time.Time {
	last := d.req.arrived
	if d.events > 0 {
		last = d.lastEventsAt
	}
	leaves := last.Add(d.req.route.Patience())
	if d.req.route.Patience() == 0 || leaves.After(d.req.deadline) {
		return d.req.deadline
	}
	return leaves
}

// finish sends the buffered failure response, unless a response was already sent to the caller.
func (d *delivery) finish() {
	if d.buffered != nil && !d.headSent {
		d.buffered.send(d)
	}
	d.g.logDelivered(d.req, d)
}

// attemptFields returns what the target of an attempt receives besides the caller's request.
func (d *delivery) attemptFields(t domain.Target, resume bool) call.Attempt {
	a := call.Attempt{Instance: t.ID(), Organisation: d.req.org.Name, Class: d.req.class, Deadline: d.req.deadline}
	if resume {
		a.LastEventID = d.after
	}
	return a
}
