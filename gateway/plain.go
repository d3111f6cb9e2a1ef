package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/retry"
)

// maxBufferedBytes limits how much of a response is read before any of it is sent to the caller. If
// a response breaks off before this limit, the request can be sent again. All but the largest
// responses of plain services are within the limit.
const maxBufferedBytes = 64 << 10

// minBufferedBytes is the least capacity of the buffer of a response that is not shorter.
const minBufferedBytes = 4 << 10

// progressWriter writes to a caller and records each write as progress of the exchange.
type progressWriter struct {
	io.Writer
	hold *holding
}

// Write implements io.Writer.
func (w progressWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.hold.progressed()
	return n, err
}

// bufferedResponse is a response with its whole body, or with the beginning of its body.
type bufferedResponse struct {
	resp *http.Response
	body []byte
}

// errTruncated reports that a response ended before its announced end.
var errTruncated = errors.New("the response was truncated")

// forwardPlain reads the response and sends it to the caller once it is complete, or once more
// than maxBufferedBytes have arrived.
func (a *attempt) forwardPlain(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	body, whole, err := a.readBuffered(resp)
	if err != nil {
		return a.responseBroken(ctx, err, false)
	}
	a.responseStarted()
	b := &bufferedResponse{resp: resp, body: body}
	if whole {
		b.send(a.d)
		return retry.Answered{}, Good
	}
	if err := a.forwardRest(b); err != nil {
		return a.responseBroken(ctx, err, true)
	}
	return retry.Answered{}, Good
}

// bufferFailure buffers a failure response, which is sent to the caller if there is no other
// attempt. A response that is too long to be buffered is dropped if there is one, and forwarded otherwise.
func (a *attempt) bufferFailure(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	body, whole, err := a.readBuffered(resp)
	if err != nil {
		return a.responseBroken(ctx, err, false)
	}
	b, failed := &bufferedResponse{resp: resp, body: body}, retry.Failed{Status: resp.StatusCode}
	if whole {
		a.d.buffered = b
		return failed, Bad
	}
	a.firstByte.stop() // it asks for another attempt too
	if a.d.headSent || a.d.replaceOverdue(clock.Now()) {
		return failed, Bad
	}
	a.responseStarted()
	if err := a.forwardRest(b); err != nil {
		return a.responseBroken(ctx, err, true)
	}
	failed.Forwarded = true
	return failed, Bad
}

// forwardRest sends the buffered part of the response to the caller, and then the rest as it arrives.
func (a *attempt) forwardRest(b *bufferedResponse) (err error) {
	a.d.unplaced = true
	b.sendBuffered(a.d)
	a.d.hold.transfer(func() { _, err = io.Copy(progressWriter{a.d.w, a.d.hold}, b.resp.Body) })
	return err
}

// readBuffered reads up to maxBufferedBytes, less if the box has no room for them, and reports whether
// that was the whole body.
func (a *attempt) readBuffered(resp *http.Response) (body []byte, whole bool, err error) {
	size := int64(maxBufferedBytes)
	if n := resp.ContentLength; n >= 0 && n < size {
		size = n
	}
	first := min(size, minBufferedBytes) + 1
	if !a.d.hold.tryReserve(first) {
		return nil, false, nil
	}
	body = make([]byte, 0, first)
	for len(body) < maxBufferedBytes {
		if len(body) == cap(body) {
			if !a.d.hold.tryReserve(int64(cap(body))) { // append about doubles the capacity
				return body, false, nil
			}
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// send writes a complete response.
func (b *bufferedResponse) send(d *delivery) {
	if d.w.Header().Get("Content-Length") == "" && b.resp.ContentLength < 0 {
		b.resp.Header.Del("Content-Length")
	}
	b.sendBuffered(d)
}

// sendBuffered writes the head and the buffered part of the body.
func (b *bufferedResponse) sendBuffered(d *delivery) {
	copyResponseHeaders(d.w.Header(), b.resp.Header)
	d.hold.transfer(func() {
		d.writeHead(b.resp.StatusCode)
		_, _ = d.w.Write(b.body) // a caller that has left shows in its context
	})
}

// responseBroken returns the end and the verdict of an attempt whose response broke off. The
// argument sent states whether the caller has received any part of the response.
func (a *attempt) responseBroken(ctx context.Context, err error, sent bool) (retry.Outcome, Verdict) {
	atDeadline := errors.Is(err, errCutAtDeadline)
	if (atDeadline || ctx.Err() != nil) && !sent {
		return retry.Expired{}, Neutral
	}
	v := Bad
	if atDeadline || ctx.Err() != nil {
		v = Neutral
	}
	return retry.Broken{Err: err, Forwarded: sent, Unresumable: atDeadline || a.d.unplaced}, v
}
