package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/ending"
	"clovertrail.dev/liveness"
	"clovertrail.dev/retry"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// attempt is one attempt of a request at one target.
type attempt struct {
	d            *delivery
	lease        Lease
	try          retry.Try
	exchange     *transport.Exchange
	response     call.Response
	firstByte    firstByteTimer // cancels the attempt if the response does not begin and another target can be tried
	overdueTimer *clock.Timer   // reports the target if the response does not begin
	began        bool           // the response has begun
	arrivals     *ending.Arrivals
	lastEventsAt time.Time     // arrival of the last events of the stream
	gap          time.Duration // between the last two arrivals of events
	processEnded bool          // the target's process ended during the attempt
	headReceived bool          // the head of a response to this request has arrived
	sentAt       time.Time     // when the request was sent
}

var errTargetUnavailable = errors.New("the target asked for rest, named a limit, or is leaving, before the request was sent")

var errEndedAtBeginning = errors.New("the target ended as it began to respond, and is not known to have responded to such a prompt")

var errFirstByteTimeout = errors.New("the response did not begin in time")

// run makes the attempt and forwards the response to the caller. It ends with withdrawable, which is derived from
// the context of the caller.
func (a *attempt) run(withdrawable, caller context.Context) retry.Outcome {
	ctx, cancel := context.WithCancelCause(withdrawable)
	defer cancel(nil)
	if !a.try.FirstByteDeadline.IsZero() {
		a.firstByte.start(a.try.FirstByteDeadline, func() { a.responseMissing(ctx, cancel) })
	}
	if objective := a.d.req.route.LatencyObjective(); objective > 0 {
		a.overdueTimer = clock.AfterFunc(clock.Now().Add(time.Duration(overdueFactor*float64(objective))), a.lease.ResponseOverdue)
		defer a.overdueTimer.Stop()
	}
	end, verdict := a.roundTrip(ctx)
	a.firstByte.stop()
	if errors.Is(context.Cause(ctx), errFirstByteTimeout) {
		end, verdict = endAfterFirstByteTimeout(end, verdict)
	}
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		end, verdict = a.withdrawn(end), Neutral
	}
	if callerGone(caller) && !isTargetResult(end) {
		verdict = Neutral
	}
	if _, expired := end.(retry.Expired); expired && !a.began && a.firstByte.passed() {
		verdict = Bad // the target is as suspect as if the attempt had been cancelled at the timeout
	}
	switch status := a.targetStatus(ctx, end); {
	case status == liveness.Ended:
		a.processEnded = true
		verdict = ProcessEnded
		a.d.g.deps.Common.Metrics.Count(telemetry.LostAttempts, a.progress(), 1)
		end = a.targetLost(clock.Now(), end)
	case ctx.Err() != nil && a.exchange != nil && a.exchange.Sent():
		a.scheduleProcessCheck()
	}
	a.lease.Release(verdict)
	return end
}

// isTargetResult reports whether the outcome is what the target responded, whether or not the caller has left since.
func isTargetResult(end retry.Outcome) bool {
	switch end.(type) {
	case retry.Answered, retry.Failed, retry.Declined:
		return true
	default:
		return false
	}
}

// withdrawn returns the outcome of an attempt that was cancelled because its work was put in quarantine.
func (a *attempt) withdrawn(end retry.Outcome) retry.Outcome {
	switch {
	case a.exchange == nil || !a.exchange.Sent():
		return retry.NotSent{Err: errWithdrawn}
	case a.began:
		return end
	default:
		return retry.Suspected{Err: errWithdrawn}
	}
}

// targetLost reports that the target ended under the request, and returns the outcome of the attempt.
func (a *attempt) targetLost(now time.Time, end retry.Outcome) retry.Outcome {
	q := a.d.g.deps.Quarantine
	known, lasted := q.KnowsParts(a.d.req.work), now.Sub(a.sentAt)
	switch {
	case a.d.lostAfter == 0:
		a.d.lostAfter, a.d.knownParts = max(lasted, 1), known
		q.TargetEnded(now, a.suspectedWork(), a.lease.Target().ID())
	case lasted >= a.d.lostAfter/minLastedDivisor || a.d.lostAfter < minLostAfter:
		q.TargetEnded(now, a.suspectedAgain(), a.lease.Target().ID())
	}
	if broken, ok := end.(retry.Broken); ok && !broken.Forwarded && a.lastEventsAt.IsZero() && !known {
		return retry.Suspected{Err: errEndedAtBeginning}
	}
	return end
}

// minLastedDivisor is the divisor of the time after which a target ended under a request, if that is at least minLostAfter. A
// request that ends its targets takes as long at each; one that lasted for a small part of that at the next was there as
// something else ended it, such as the loss of power of a whole rack.
const (
	minLastedDivisor = 5
	minLostAfter     = 25 * time.Millisecond
)

// suspectedWork returns the work that may have ended the target. A part of a prompt crashes the targets that begin
// to write a response, so that one that has written an event was ended by something else.
func (a *attempt) suspectedWork() call.Work {
	if a.lastEventsAt.IsZero() {
		return a.d.req.work
	}
	return a.d.req.work.WithoutParts()
}

// suspectedAgain returns the work that may have ended the target, if another one ended under the request before. Parts
// that no target is known to have served come into quarantine after two ends, which one request must not bring about: it
// may have met two targets that something else ended.
func (a *attempt) suspectedAgain() call.Work {
	if a.d.knownParts {
		return a.suspectedWork()
	}
	return a.d.req.work.WithoutParts()
}

// progress returns how far the response of the attempt got, as a label of logs and counters.
func (a *attempt) progress() string {
	switch {
	case a.began:
		return "begun"
	case a.headReceived:
		return "head"
	default:
		return "none"
	}
}

// processCheckDelay is the time between the cancellation of an attempt and the check whether its
// target's process has ended. Most targets drop work when its connection closes. A target that
// keeps running work that crashes it does so within a second, and is then unavailable for longer
// than this delay.
const processCheckDelay = 1500 * time.Millisecond

// scheduleProcessCheck schedules a check whether the target's process ended while it ran the work
// of a cancelled attempt, as happens if the caller leaves before the crash. Without the check the
// crash would not be recorded, and a caller that sends the work again and leaves each time would
// crash one target after the other.
func (a *attempt) scheduleProcessCheck() {
	work := a.suspectedWork()
	clock.AfterFunc(clock.Now().Add(processCheckDelay), func() { a.reportLateEnd(work) })
}

// endAfterFirstByteTimeout returns the end and the verdict of an attempt that was cancelled by the
// timeout for the first byte of its response.
func endAfterFirstByteTimeout(end retry.Outcome, v Verdict) (retry.Outcome, Verdict) {
	end = retry.ResolveTimeout(end)
	switch end.(type) {
	case retry.FirstByteTimedOut:
		return end, Bad
	case retry.Broken:
		return end, Good // the response began as the timeout fired
	default:
		return end, v
	}
}

// responseMissing handles a response that has not begun by its timeout: the attempt is cancelled if
// another target can be tried. cancel ends ctx.
func (a *attempt) responseMissing(ctx context.Context, cancel context.CancelCauseFunc) {
	if ctx.Err() != nil {
		return // the caller left, or the deadline passed
	}
	if a.d.replaceOverdue(clock.Now()) {
		cancel(errFirstByteTimeout)
		return
	}
	a.d.g.logOverdue(a.d.req, a)
}

// roundTrip sends the request and handles the response.
func (a *attempt) roundTrip(ctx context.Context) (retry.Outcome, Verdict) {
	x, err := a.d.g.deps.Pool.Open(ctx, a.lease.Target().Address(), a.connectionReuse())
	if err != nil {
		return retry.NotSent{Err: err}, Unreachable
	}
	a.exchange = x
	defer x.Close()
	// A connection may take a second to open, and the target may have sent an update meanwhile.
	if !a.lease.MaySend(clock.Now()) {
		return retry.NotSent{Err: errTargetUnavailable}, Neutral
	}
	x.CloseWhenDone(ctx)
	req := a.outboundRequest(ctx)
	a.sentAt = clock.Now()
	if err := x.Send(req); err != nil && !x.Sent() {
		return retry.NotSent{Err: err}, Neutral
	}
	// Even after a failed write there may be a response to read, such as an early refusal.
	resp, err := x.Receive(req, a.isOwnResponse)
	if err != nil {
		return a.noResponse(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }() // the exchange closes the connection
	return a.handleResponse(ctx, resp)
}

// connectionReuse returns DialNew for requests that may run only once: on an idle connection that the
// target has already dropped, such a request would be lost and could not be repeated.
func (a *attempt) connectionReuse() transport.Reuse {
	if a.d.req.route.MayRepeat() {
		return transport.ReuseIdle
	}
	return transport.DialNew
}

// outboundRequest returns the caller's request with the headers of the attempt.
func (a *attempt) outboundRequest(ctx context.Context) *http.Request {
	in := a.d.req
	h := endToEndHeaders(in.http.Header)
	a.d.g.deps.Headers.WriteAttempt(clock.Now(), h, a.d.attemptFields(a.lease.Target(), a.try.Resume))
	if _, set := h["User-Agent"]; !set {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	req := &http.Request{
		Method: in.http.Method, URL: in.http.URL, Host: in.http.Host, Header: h,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(in.body)),
	}
	if len(in.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(in.body))
	}
	return req.WithContext(ctx)
}

// isOwnResponse distinguishes the response to this request from a late response to an earlier
// request on the connection. A response without a request ID counts as the response to this request.
func (a *attempt) isOwnResponse(r *http.Response) bool {
	id := a.d.g.deps.Headers.ParseResponse(clock.Now(), r).ID
	return id == "" || id == a.d.req.ID()
}

// noResponse returns the end and the verdict of an attempt that was sent and got no response.
func (a *attempt) noResponse(ctx context.Context, err error) (retry.Outcome, Verdict) {
	if ctx.Err() != nil {
		return retry.Expired{}, Neutral
	}
	return retry.Lost{Err: err}, Bad
}

// handleResponse handles a response whose headers have arrived.
func (a *attempt) handleResponse(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	now := clock.Now()
	a.headReceived = true
	a.response = a.d.g.deps.Headers.ParseResponse(now, resp)
	if a.response.Outcome != call.WrongInstance && a.response.Outcome != call.Unrecognised {
		a.lease.UpdateStatus(now, a.response) // responses with either of these outcomes did not come from the target
		if a.response.ID != "" {
			a.d.g.deps.Pool.Responded(processOf(a.lease.Target()), a.exchange.SentAt())
		}
	}
	if id := a.response.AtFault; id != "" && id != a.lease.Target().ID().ListedID() {
		a.d.g.deps.Fleet.ReportFault(id)
	}
	switch a.response.Outcome {
	case call.WrongInstance:
		return retry.Declined{Err: fault.New(fault.StaleIncarnation, "another instance listens at %s", a.lease.Target().Address())}, Replaced
	case call.Declined:
		a.exchange.Drain(resp)
		return retry.Declined{Err: fault.New(fault.Overloaded, "the target responded with status %d and did not run the request", resp.StatusCode).RetryAt(a.callerRetryAt(now))}, Full
	case call.Unrecognised:
		return retry.Lost{Err: errors.New("the response did not come from the target")}, Bad
	case call.Failed:
		a.checkEnd(ctx, resp)
		return a.bufferFailure(ctx, resp)
	default:
		return a.forward(ctx, resp)
	}
}

// forward sends the response on to the caller.
func (a *attempt) forward(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	switch {
	case a.isStream(resp):
		return a.forwardStream(ctx, resp)
	case a.d.headSent:
		err := fmt.Errorf("the target responded with status %d to a request to continue a stream", resp.StatusCode)
		return retry.Broken{Err: err, Forwarded: true}, Neutral
	default:
		a.checkEnd(ctx, resp)
		return a.forwardPlain(ctx, resp)
	}
}

// isStream reports whether the response is a stream. No content continues a stream without a further event.
func (a *attempt) isStream(resp *http.Response) bool {
	return a.d.req.route.Kind() == catalog.Stream && (resp.StatusCode == http.StatusOK || a.d.headSent && resp.StatusCode == http.StatusNoContent)
}

// checkEnd makes the body of a response that ends with its connection fail unless it is complete.
func (a *attempt) checkEnd(ctx context.Context, resp *http.Response) {
	if transport.EndsWithConnection(resp) {
		resp.Body = &connectionBody{ReadCloser: resp.Body, ended: func(waited time.Duration) error { return a.plainEnded(ctx, waited) }}
	}
}

// responseStarted stops the timers for the first byte of the response.
func (a *attempt) responseStarted() {
	a.began = true
	a.d.setUnbegun(nil)
	a.firstByte.stop()
	if a.overdueTimer != nil {
		a.overdueTimer.Stop()
	}
	a.lease.ResponseStarted()
}

// callerRetryAt returns when the caller of a declined request should retry; zero if the target does
// not state it. If the target's group has stopped and the service has no other target, that is close to
// the longest time that callers honour. If the target asked for rest, its retry time does not apply to the other targets of
// the service. If one of these accepts requests now, the caller should retry as soon as it can reach
// another box, otherwise when the first target of the service accepts requests again.
func (a *attempt) callerRetryAt(now time.Time) time.Time {
	if a.response.RestUntil().IsZero() {
		if a.serviceStopped(now) {
			return now.Add(admission.RetryAfterOutage(a.d.req.deadline.Sub(now), a.d.g.random()))
		}
		return a.response.RetryAt
	}
	at := a.d.g.deps.Fleet.AvailableAt(now, a.d.req.service)
	if at.IsZero() {
		return a.response.RetryAt
	}
	if soonest := now.Add(OtherBoxRetryDelay); at.Before(soonest) {
		return soonest
	}
	return at
}

// serviceStopped reports whether the target declined the request because its group has stopped, and no other
// target of the service accepts requests.
func (a *attempt) serviceStopped(now time.Time) bool {
	return a.response.GroupStopped(a.lease.Target().ID().ListedID()) && a.d.g.deps.Fleet.AvailableAt(now, a.d.req.service).IsZero()
}

// requestedRest returns the time for which the target asked to be sent nothing; 0 if it did not.
func (a *attempt) requestedRest() time.Duration {
	until := a.response.RestUntil()
	if until.IsZero() {
		return 0
	}
	return clock.Until(until)
}
