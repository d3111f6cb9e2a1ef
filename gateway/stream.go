package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/limit"
	"clovertrail.dev/ending"
	"clovertrail.dev/eventstream"
	"clovertrail.dev/retry"
	"clovertrail.dev/transport"
)

// maxEventBytes limits the size of one event of a stream; the largest are some hundred bytes.
const maxEventBytes = 1 << 20

var errEventTooLarge = limit.New("an event of the stream", maxEventBytes)

var errNotContinued = errors.New("the target sent no event of a stream that was cut short")

// forwardStream sends each event to the caller once it is complete and in order, so that neither a partial event nor one out
// of order ever reaches the caller.
func (a *attempt) forwardStream(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	d, run := a.d, eventstream.NewRun(a.continuesAfter())
	a.arrivals = ending.NewArrivals(a.sentAt)
	buf := make([]byte, 0, 1<<10)
	for {
		if len(buf) == cap(buf) {
			if err := d.hold.reserve(ctx, int64(cap(buf))); err != nil { // append about doubles the capacity
				return a.responseBroken(ctx, err, d.headSent)
			}
			buf = append(buf, 0)[:len(buf)]
		}
		waitedSince := clock.Now()
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		a.arrivals.Waited(clock.Since(waitedSince), a.lastPause(resp))
		buf = buf[:len(buf)+n]
		batch, orderErr := run.Scan(buf, errors.Is(err, io.EOF))
		if flushErr := a.forwardEvents(resp, batch, buf[:batch.Length]); flushErr != nil {
			return a.responseBroken(ctx, flushErr, true)
		}
		buf = buf[:copy(buf, buf[batch.Length:])]
		switch {
		case orderErr != nil:
			return a.responseBroken(ctx, orderErr, d.headSent)
		case batch.Events > 0 && !errors.Is(err, io.EOF) && a.shouldMove(clock.Now()):
			d.endInDoubt = resp.ContentLength < 0 // a length shows that events are missing
			return retry.Moved{}, Neutral
		case errors.Is(err, io.EOF) && len(buf) == 0:
			if err := a.checkStreamEnd(ctx, resp); err != nil {
				return a.responseBroken(ctx, err, d.headSent)
			}
			a.startCallerResponse(resp)
			return retry.Answered{}, Good
		case errors.Is(err, io.EOF):
			return a.responseBroken(ctx, errTruncated, d.headSent)
		case err != nil:
			return a.responseBroken(ctx, err, d.headSent)
		case len(buf) > maxEventBytes:
			return a.responseBroken(ctx, errEventTooLarge, d.headSent)
		}
	}
}

// continuesAfter returns the ID of the last event that the caller has, whether from this request or an earlier one; empty if there
// is none, or if the route does not promise that a run continues after it.
func (a *attempt) continuesAfter() string {
	if !a.d.req.route.MayResume() {
		return ""
	}
	return a.d.after
}

// checkStreamEnd returns an error unless the stream, which ended between two events, is complete. A continuation without an event
// completes only a stream of which all events may have been sent before.
func (a *attempt) checkStreamEnd(ctx context.Context, resp *http.Response) error {
	if transport.EndsWithConnection(resp) {
		if err := a.streamEnded(ctx); err != nil {
			a.d.endInDoubt = a.d.endInDoubt || a.arrivals.Events() > 0
			return err
		}
	}
	if a.try.Resume && a.arrivals.Events() == 0 && !a.d.endInDoubt {
		return errNotContinued
	}
	return nil
}

// forwardEvents writes complete events, if there are any. The first events of a request are preceded by the response
// head; an attempt that resumes a stream keeps the head of the earlier attempt.
func (a *attempt) forwardEvents(resp *http.Response, batch eventstream.Batch, whole []byte) (err error) {
	if len(whole) == 0 {
		return nil
	}
	a.d.hold.transfer(func() {
		a.startCallerResponse(resp)
		if batch.Events > 0 {
			a.recordEvents(clock.Now(), batch)
		}
		_, _ = a.d.w.Write(whole) // a caller that has left shows in the flush
		err = http.NewResponseController(a.d.w).Flush()
	})
	return err
}

// recordEvents records events that are sent to the caller now.
func (a *attempt) recordEvents(now time.Time, batch eventstream.Batch) {
	a.recordGap(now)
	a.arrivals.Arrived(now, batch.Events)
	a.d.endInDoubt = false
	a.d.recordEvents(now, batch.Events)
	a.d.unplaced = batch.Unplaced
	if batch.LastID != "" {
		a.d.after = batch.LastID
	}
}

// recordGap reports the time since the last events of this attempt to the lease.
func (a *attempt) recordGap(now time.Time) {
	if !a.lastEventsAt.IsZero() {
		if a.gap == 0 {
			a.d.g.deps.Quarantine.PartsServed(now, a.d.req.work)
		}
		a.gap = now.Sub(a.lastEventsAt)
		a.lease.ReportEventGap(a.gap, a.d.req.route.EventGapObjective())
	}
	a.lastEventsAt = now
}

// shouldMove reports whether the stream is to be resumed at another target, because its events come
// too late and this target causes that. The budget is charged for the move. Work in quarantine stays where
// it is.
func (a *attempt) shouldMove(now time.Time) bool {
	objective := a.d.req.route.EventGapObjective()
	return a.try.Movable && !a.d.unplaced && objective > 0 && a.gap > objective && a.lease.IsStraggler(now, a.d.tried) &&
		!a.d.barred(now) && a.d.machine.Move(now)
}

// recordEvents counts n events that are sent to the caller now.
func (d *delivery) recordEvents(now time.Time, n int) {
	if d.events > 0 {
		d.maxGap = max(d.maxGap, now.Sub(d.lastEventsAt))
	}
	d.events += n
	d.lastEventsAt = now
}

// startCallerResponse writes the response head unless an earlier attempt has sent it already.
func (a *attempt) startCallerResponse(resp *http.Response) {
	a.responseStarted()
	if a.d.headSent {
		return
	}
	copyResponseHeaders(a.d.w.Header(), resp.Header)
	a.d.w.Header().Del("Content-Length") // a target that resumes the stream may send more or less
	a.d.writeHead(resp.StatusCode)
}

// writeHead writes the head of the response to the caller.
func (d *delivery) writeHead(status int) {
	d.headSent, d.status = true, status
	d.firstByteAt = clock.Now()
	d.w.WriteHeader(status)
}
