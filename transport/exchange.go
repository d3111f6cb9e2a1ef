package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"clovertrail.dev/core/clock"
)

// Exchange is one request and its answer over one connection. One goroutine uses
// it; only Cut may be called from others.
type Exchange struct {
	pool   *Pool
	conn   *conn
	reused bool
	answer *http.Response
	whole  bool // the answer's body was read to its end
	cut    func() bool
}

// errSurplus reports that more came than one connection may bring.
var errSurplus = errors.New("too many answers to other requests on the connection")

// surplusAnswers bounds the answers to other requests that are passed over.
const surplusAnswers = 4

// Reused reports that the connection had served an earlier request.
func (x *Exchange) Reused() bool { return x.reused }

// Sent reports that a byte of the request may have left this box.
func (x *Exchange) Sent() bool { return x.conn.sent }

// CloseWhenDone closes the connection once ctx ends, so that the target stops working.
func (x *Exchange) CloseWhenDone(ctx context.Context) {
	x.cut = context.AfterFunc(ctx, x.conn.close)
}

// Send writes the request with its body.
func (x *Exchange) Send(r *http.Request) error {
	w := &markingWriter{conn: x.conn}
	return r.Write(w)
}

// markingWriter notes that a byte may have left.
type markingWriter struct{ conn *conn }

func (w *markingWriter) Write(b []byte) (int, error) {
	w.conn.sent = true
	n, err := w.conn.net.Write(b)
	if n == 0 && err != nil && refused(err) {
		w.conn.sent = false
	}
	return n, err
}

// refused reports that the connection was closed before the write began.
func refused(err error) bool { return errors.Is(err, net.ErrClosed) }

// Receive reads answers until one is mine. Those before it belong to earlier
// requests and are passed over.
func (x *Exchange) Receive(r *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	for range surplusAnswers {
		resp, err := x.next(r)
		if err != nil {
			return nil, err
		}
		if mine(resp) {
			x.answer = resp
			resp.Body = &wholeBody{ReadCloser: resp.Body, exchange: x}
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errSurplus // nothing can follow it
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errSurplus
}

// next reads one answer, without the interim ones before it.
func (x *Exchange) next(r *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.read, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// wholeBody notes that the answer's end was reached.
type wholeBody struct {
	io.ReadCloser
	exchange *Exchange
}

func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.whole = true
	}
	return n, err
}

// Close does nothing: the connection is the exchange's to close. The body that
// net/http gives would first read what is left, which on a stream may take long.
func (b *wholeBody) Close() error { return nil }

// Buffered reports how many bytes of the answer have come and are not read yet.
func (x *Exchange) Buffered() int { return x.conn.read.Buffered() }

// Close ends the exchange. The connection is kept if the answer was whole, nothing
// follows it, and the target keeps it too.
func (x *Exchange) Close() {
	stopped := x.cut == nil || x.cut()
	keep := time.Duration(0)
	if stopped && x.whole && x.conn.read.Buffered() == 0 {
		keep = x.pool.keepFor(x.answer)
	}
	if keep <= 0 {
		x.conn.close()
		return
	}
	x.conn.sent = false
	x.pool.put(x.conn, clock.Now().Add(keep))
}
