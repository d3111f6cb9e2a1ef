package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/retry"
	"clovertrail.dev/transport"
)

// attempt is one try of an order at one target.
type attempt struct {
	d          *delivery
	lease      Lease
	try        retry.Try
	exchange   *transport.Exchange
	answer     call.Answer
	impatience *clock.Timer
	overdue    *clock.Timer
	last       time.Time     // when the last events came
	pause      time.Duration // before them
	gone       bool          // the target's process ended during the attempt
}

var errUnwanted = errors.New("the target asked for rest, named a limit, or is leaving, before the request was sent")

var errImpatient = errors.New("the answer did not begin in time")

// run makes the attempt and passes on what it brings.
func (a *attempt) run(caller context.Context) retry.Outcome {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	if !a.try.FirstByteDeadline.IsZero() {
		a.impatience = clock.AfterFunc(a.try.FirstByteDeadline, func() { cancel(errImpatient) })
		defer a.impatience.Stop()
	}
	if aim := a.d.o.route.Aim(); aim > 0 {
		a.overdue = clock.AfterFunc(clock.Now().Add(time.Duration(overdueAims*float64(aim))), a.lease.Overdue)
		defer a.overdue.Stop()
	}
	end, verdict := a.carry(ctx)
	if errors.Is(context.Cause(ctx), errImpatient) {
		end, verdict = impatient(end, verdict)
	}
	if callerGone(caller) && verdict != Good {
		verdict = Neutral
	}
	switch a.gone = a.ended(ctx, end); {
	case a.gone:
		verdict = Gone
		a.d.g.parts.Quarantine.Ended(clock.Now(), a.d.o.digest, a.lease.Target().ID())
	case ctx.Err() != nil && a.exchange != nil && a.exchange.Sent():
		a.lookBack()
	}
	a.lease.End(verdict)
	return end
}

// lookBackAfter is how long after an attempt was given up its target is looked at. Most drop
// work as its connection closes, and those that do not crash under it within a second; one
// that did is away for longer than this.
const lookBackAfter = 1500 * time.Millisecond

// lookBack finds out later whether the target ended under work for which nobody waits any
// more, as where a caller leaves before the crash. Otherwise nobody ever would, and a caller who
// left each time would end one target after the other.
func (a *attempt) lookBack() {
	parts, work, t, witness := a.d.g.parts, a.d.o.digest, a.lease.Target(), a.lease.Witness()
	clock.AfterFunc(clock.Now().Add(lookBackAfter), func() {
		if parts.Pool.Ended(context.Background(), t.Address(), witness) {
			parts.Quarantine.Ended(clock.Now(), work, t.ID())
		}
	})
}

// ended reports whether the target's process ended during the attempt, and not only the
// attempt's connection. Where a group loses a rank the others cut what they had, and live:
// what they had is not to be blamed for it.
func (a *attempt) ended(ctx context.Context, end retry.Outcome) bool {
	switch end.(type) {
	case retry.Lost, retry.Broken:
		return ctx.Err() == nil && a.d.g.parts.Pool.Ended(ctx, a.lease.Target().Address(), a.lease.Witness())
	default:
		return false
	}
}

// impatient gives the end of an attempt that was cut off for its silence.
func impatient(end retry.Outcome, v Verdict) (retry.Outcome, Verdict) {
	if _, never := end.(retry.NotSent); never {
		return end, v
	}
	end = retry.ResolveTimeout(end)
	switch end.(type) {
	case retry.FirstByteTimedOut:
		return end, Bad
	default:
		return end, Good // it came at the last moment
	}
}

// carry sends the request and handles the answer.
func (a *attempt) carry(ctx context.Context) (retry.Outcome, Verdict) {
	x, err := a.d.g.parts.Pool.Open(ctx, a.lease.Target().Address(), a.reuse())
	if err != nil {
		return retry.NotSent{Err: err}, Unreachable
	}
	a.exchange = x
	defer x.Close()
	// A connection may take a second to come up, and the target may have spoken meanwhile.
	if !a.lease.Wanted(clock.Now()) {
		return retry.NotSent{Err: errUnwanted}, Neutral
	}
	x.Bind(ctx)
	req := a.request(ctx)
	if err := x.Send(req); err != nil && !x.Sent() {
		return retry.NotSent{Err: err}, Neutral
	}
	// After a failed write an answer may still have come, such as an early refusal.
	resp, err := x.Receive(req, a.mine)
	if err != nil {
		return a.lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }() // the exchange closes the connection
	return a.answered(ctx, resp)
}

// reuse: a request that may run only once must not be lost on a connection that
// its target has forgotten.
func (a *attempt) reuse() transport.Reuse {
	if a.d.o.route.MayRepeat() {
		return transport.Kept
	}
	return transport.Fresh
}

// request is the caller's, with what the target receives beside it.
func (a *attempt) request(ctx context.Context) *http.Request {
	o := a.d.o
	h := passedOn(o.http.Header)
	a.d.g.parts.Speech.Attempt(clock.Now(), h, a.d.told(a.lease.Target(), a.try.Resume))
	if _, given := h["User-Agent"]; !given {
		h["User-Agent"] = nil // net/http would add its own
	}
	req := &http.Request{
		Method: o.http.Method, URL: o.http.URL, Host: o.http.Host, Header: h,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(o.body)),
	}
	if len(o.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(o.body))
	}
	return req.WithContext(ctx)
}

// mine distinguishes the answer to this request from a late one to another. An answer that
// names no request is the one that is due.
func (a *attempt) mine(r *http.Response) bool {
	id := a.d.g.parts.Speech.Answer(clock.Now(), r).ID
	return id == "" || id == a.d.o.ID()
}

func (a *attempt) lost(ctx context.Context, err error) (retry.Outcome, Verdict) {
	if ctx.Err() != nil {
		return retry.Expired{}, Neutral
	}
	return retry.Lost{Err: err}, Bad
}

// answered handles an answer whose head has come.
func (a *attempt) answered(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	now := clock.Now()
	a.answer = a.d.g.parts.Speech.Answer(now, resp)
	if a.answer.Outcome != call.Elsewhere && a.answer.Outcome != call.Foreign {
		a.lease.Heard(now, a.answer) // the others come from somebody else
	}
	if id := a.answer.AtFault; id != "" && id != a.lease.Target().ID().Listed() {
		a.d.g.parts.Fleet.Blame(id)
	}
	switch a.answer.Outcome {
	case call.Elsewhere:
		return retry.Declined{Err: fault.New(fault.StaleIncarnation, "another instance stands at %s", a.lease.Target().Address())}, Replaced
	case call.Declined:
		drain(resp)
		return retry.Declined{Err: fault.New(fault.Overloaded, "the target answered %d and did not run it", resp.StatusCode).RetryAt(a.retryAt(now))}, Full
	case call.Foreign:
		return retry.Lost{Err: errors.New("the answer is not one of the target's")}, Bad
	case call.Failed:
		return a.failed(ctx, resp)
	default:
		return a.served(ctx, resp)
	}
}

// served passes an answer on.
func (a *attempt) served(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	if a.d.o.route.Kind() == catalog.Stream && resp.StatusCode == http.StatusOK {
		return a.stream(ctx, resp)
	}
	return a.plain(ctx, resp)
}

// began stops the patience: the target is at work.
func (a *attempt) began() {
	if a.impatience != nil {
		a.impatience.Stop()
	}
	if a.overdue != nil {
		a.overdue.Stop()
	}
	a.lease.Began()
}

// drain reads a short body so that the connection can be kept.
func drain(resp *http.Response) {
	const most = 16 << 10
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, most)) // a failure shows when the connection is kept
}

// retryAt is when the caller of a request that the target declined best comes back; zero if the
// target does not state. One that
// wants nothing for a while reports nothing about the others: where one of them takes requests, callers
// come back as soon as they can be elsewhere, else as the first takes some again.
func (a *attempt) retryAt(now time.Time) time.Time {
	if a.answer.RestUntil().IsZero() {
		return a.answer.Again
	}
	at := a.d.g.parts.Fleet.TakesAt(now, a.d.o.service)
	if at.IsZero() {
		return a.answer.Again
	}
	if soonest := now.Add(elsewhere); at.Before(soonest) {
		return soonest
	}
	return at
}

// rest is for how long the target asked to be sent nothing; 0 if it did not.
func (a *attempt) rest() time.Duration {
	until := a.answer.RestUntil()
	if until.IsZero() {
		return 0
	}
	return clock.Until(until)
}
