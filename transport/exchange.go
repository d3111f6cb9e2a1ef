package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/limit"
	"clovertrail.dev/core/wellformed"
	"clovertrail.dev/liveness"
)

// Exchange is one request and its response over one connection. It is not safe for concurrent use,
// except that another goroutine may cancel the context passed to CloseWhenDone.
type Exchange struct {
	pool        *Pool
	conn        *conn
	reused      bool
	sent        bool  // a byte of the request may have left
	lost        error // with which a write found the connection lost; nil if none did
	response    *http.Response
	complete    bool // the response body was read to its end
	sentAt      liveness.Moment
	stopClosing func() bool // set by CloseWhenDone
}

var errForeignResponses = errors.New("received only responses to other requests")

// maxResponses limits the responses that are read on a connection until the awaited one.
const maxResponses = 4

// maxSkippedBytes limits the body of a response that is skipped, which is read within some 35 ms at 1,000 Mbit/s. Longer ones are too
// rare to be worth a wait.
const maxSkippedBytes = 4 << 20

// Reused reports whether the connection had served an earlier request.
func (x *Exchange) Reused() bool { return x.reused }

// Sent reports whether a byte of the request may have left this box.
func (x *Exchange) Sent() bool { return x.sent }

// CloseWhenDone closes the connection when ctx ends, so that the target stops processing the request.
func (x *Exchange) CloseWhenDone(ctx context.Context) {
	x.stopClosing = context.AfterFunc(ctx, x.conn.close)
}

// SentAt returns when Send was called.
func (x *Exchange) SentAt() liveness.Moment { return x.sentAt }

// Send writes the request with its body.
func (x *Exchange) Send(r *http.Request) error {
	x.sentAt = x.pool.Now()
	return r.Write(&sentTracker{exchange: x})
}

// sentTracker writes to the connection of an exchange and records whether a byte may have left, and whether the connection was lost.
type sentTracker struct{ exchange *Exchange }

func (w *sentTracker) Write(b []byte) (int, error) {
	sentBefore := w.exchange.sent // by an earlier write of the same request
	w.exchange.sent = true
	n, err := w.exchange.conn.net.Write(b)
	if n == 0 && err != nil && closedBeforeWrite(err) {
		w.exchange.sent = sentBefore
	}
	if lostConnection(err) {
		w.exchange.lost = err
	}
	return n, err
}

// closedBeforeWrite reports whether the connection was closed before the write began.
func closedBeforeWrite(err error) bool { return errors.Is(err, net.ErrClosed) }

// Receive reads responses until isOwn accepts one. Responses before it belong to earlier requests and
// are skipped. The body of the response ends with io.EOF only if its length, its last chunk or an ordinary end of the connection
// shows that it is complete.
func (x *Exchange) Receive(r *http.Request, isOwn func(*http.Response) bool) (*http.Response, error) {
	for range maxResponses {
		resp, err := x.readResponse(r)
		if err != nil {
			return nil, err
		}
		if isOwn(resp) {
			x.response = resp
			resp.Body = &trackedBody{ReadCloser: resp.Body, exchange: x}
			return resp, nil
		}
		if resp.Close || EndsWithConnection(resp) {
			return nil, errForeignResponses // no other response can follow
		}
		if _, err := io.Copy(io.Discard, limit.NewReader(resp.Body, "the body of a response to another request", maxSkippedBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errForeignResponses
}

// readResponse reads one final response and skips the interim responses before it. It returns a *limit.Error if their heads are
// longer than maxHeadBytes.
func (x *Exchange) readResponse(r *http.Request) (*http.Response, error) {
	x.conn.head.begin()
	for {
		resp, err := x.conn.readHead(r)
		if err != nil {
			return nil, x.conn.head.end(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.conn.head.end(nil)
		}
	}
}

// readHead reads the head of a response, which may be an interim one. It returns an error of class wellformed.Error if net/http accepts
// the head although it is malformed.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	buffered, _ := c.read.Peek(c.read.Buffered()) // never fails
	c.head.nextHead(buffered)
	resp, err := http.ReadResponse(c.read, r)
	switch {
	case err != nil:
		return nil, err
	case c.head.encoding.found && !resp.ProtoAtLeast(1, 1):
		return nil, wellformed.Error.New("field Transfer-Encoding in a response of %s", resp.Proto)
	default:
		return resp, wellformed.Response(resp)
	}
}

const (
	// maxDrainBytes and maxDrainTime limit the rest of a response that is read only so that its connection can be used again:
	// what follows its head at once, since a new connection costs little more.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// Drain reads the rest of the response if it is short and arrives soon, so that the connection can be used again.
func (x *Exchange) Drain(r *http.Response) {
	_ = x.conn.net.SetReadDeadline(time.Now().Add(maxDrainTime))      // fails only on a closed connection
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes)) // a rest that was not read shows in complete
	_ = x.conn.net.SetReadDeadline(time.Time{})
}

// Buffered returns the number of bytes of the response that were received but not yet read.
func (x *Exchange) Buffered() int { return x.conn.read.Buffered() }

// Close ends the exchange. The connection returns to the pool if the response was read to its end, no
// data follows it, and the target keeps the connection open too.
func (x *Exchange) Close() {
	stopped := x.stopClosing == nil || x.stopClosing()
	idle := time.Duration(0)
	if stopped && x.complete && x.conn.read.Buffered() == 0 {
		idle = x.pool.idleTimeFor(x.response)
	}
	if idle <= 0 {
		x.conn.close()
		return
	}
	x.pool.put(x.conn, clock.Now().Add(idle))
}
