package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/retry"
)

// patienceAims is after how many times its aim an answer that has not begun is
// asked for elsewhere. Answers in time begin within one; of those later than this few begin at
// all (docs/design/platform.md).
const patienceAims = 3

// overdueAims is after how many times its aim an answer that has not begun is reported to
// other boxes, which may see the same of its target.
const overdueAims = 1.5

// delivery moves one order through its attempts.
type delivery struct {
	g      *Gateway
	o      *order
	w      http.ResponseWriter
	course *retry.Machine
	purse  retry.Budget
	tried  []domain.InstanceID

	began  bool   // the head went to the caller
	status int    // of it
	after  string // the last event that the caller has
	events int
	first  time.Time     // when the caller got the first byte
	last   time.Time     // when the caller got the last events
	pause  time.Duration // the longest between events
	held   *answer       // a failed answer that may have to be passed on
	limit  call.Limit    // that the target of the last attempt named
}

// serve drives the order's machine to its end.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, o *order) {
	ctx, cancel := clock.WithDeadline(ctx, o.deadline)
	defer cancel()
	d := &delivery{g: g, o: o, w: w, after: o.After(), purse: g.parts.Purse(o.service)}
	rules := retry.Rules{
		Repeat: o.route.MayRepeat(), Resume: o.route.MayResume(), MaxAttempts: o.route.Attempts(),
		Deadline: o.deadline, FirstByteTimeout: patienceAims * o.route.Aim(),
	}
	d.course = retry.NewMachine(rules, d.purse)
	for cmd := d.course.Start(o.arrived); ; {
		if callerGone(ctx) {
			g.left(o, d)
			panic(http.ErrAbortHandler)
		}
		switch c := cmd.(type) {
		case retry.Try:
			cmd = d.try(ctx, c)
		case retry.Deliver:
			d.deliver()
			return
		case retry.Refuse:
			g.refuse(w, o, c.Err)
			return
		case retry.Abort:
			g.aborted(o, d, c.Err)
			panic(http.ErrAbortHandler) // closes the connection without a proper end
		}
	}
}

// callerGone distinguishes a caller that left from a deadline that passed.
func callerGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// try makes one attempt and returns what to do after it.
func (d *delivery) try(ctx context.Context, t retry.Try) retry.Command {
	now := clock.Now()
	// Asked before each attempt: what one attempt ended under, the next must not meet.
	if until, barred := d.g.parts.Quarantine.Barred(now, d.o.digest); barred {
		return d.course.Barred(now, fault.New(fault.Quarantined, "targets ended under this work").RetryAt(until))
	}
	lease, err := d.g.parts.Fleet.Acquire(ctx, now, Query{
		Service: d.o.service, Tried: d.tried, First: len(d.tried) == 0,
		Route: d.o.route.Name(), Aim: d.o.route.Aim(), Deadline: d.o.deadline,
	})
	if err != nil {
		f := fault.Find(err)
		if f == nil {
			f = fault.New(fault.Internal, "%v", err)
		}
		return d.course.NoTarget(now, f)
	}
	d.tried = append(d.tried, lease.Target().ID())
	a := &attempt{d: d, lease: lease, try: t}
	end := a.run(ctx)
	d.limit = a.answer.Limit
	if _, served := end.(retry.Answered); served {
		d.g.parts.Quarantine.Served(clock.Now(), d.o.digest)
	}
	cmd := d.course.Ended(clock.Now(), end)
	d.g.attempted(d.o, a, end, cmd)
	return cmd
}

// deliver ends an order whose answer has passed, or passes on one that was held.
func (d *delivery) deliver() {
	if d.held != nil && !d.began {
		d.held.pass(d)
	}
	d.g.delivered(d.o, d)
}

// told is what the target of an attempt receives.
func (d *delivery) told(t domain.Target, resume bool) call.Attempt {
	a := call.Attempt{Instance: t.ID(), Organisation: d.o.org.Name, Deadline: d.o.deadline}
	if resume {
		a.After = d.after
	}
	return a
}
