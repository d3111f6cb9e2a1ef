package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// trackedConn is a connection to which the limits of its Listener apply and that, when its Listener stops, is read once more before the
// wait for a request ends.
type trackedConn struct {
	net.Conn
	owner             *Listener
	state             atomic.Int32 // an http.ConnState, as the server states it
	finalReadDone     atomic.Bool  // the final read has begun
	receivedSinceIdle atomic.Bool  // bytes arrived since the connection became idle
	headBytes         atomic.Int64 // received since the connection became idle or was accepted; only before the head is complete
	idleSince         time.Time    // guarded by owner.mu
}

const (
	// headSlop is the number of bytes behind a head that may be read with it.
	headSlop = 4 << 10
	// rejectedHeadBytes and rejectedHeadTime limit what is read of a head that is too long, so that the caller receives the rejection
	// before its connection closes.
	rejectedHeadBytes, rejectedHeadTime = 256 << 10, 500 * time.Millisecond
	// headRejection is the response to a head that is too long.
	headRejection = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// SetLinger sets what Close does with data that was not sent, as that of a net.TCPConn.
func (c *trackedConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedSinceIdle.Store(true)
		if c.headTooLong(n) {
			return 0, c.rejectHead()
		}
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.owner.stopping() || !c.awaitsRequest() || c.finalReadDone.Swap(true) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

var errHeadTooLong = errors.New("the head of the request is too long")

// awaitsRequest reports whether the connection waits for a request, or for the rest of one: every
// request that was read completely has been answered.
func (c *trackedConn) awaitsRequest() bool {
	s := http.ConnState(c.state.Load())
	return s == http.StateIdle || s == http.StateNew
}

// headTooLong counts received bytes, and reports whether a head exceeds the limit.
func (c *trackedConn) headTooLong(n int) bool {
	if !c.awaitsRequest() {
		return false
	}
	return c.headBytes.Add(int64(n)) > int64(min(c.owner.limits.Load().HeaderBytes, MaxHeadBytes)+headSlop)
}

// rejectHead responds to a head that is too long, and returns an error that makes the server close the connection.
func (c *trackedConn) rejectHead() error {
	_ = c.Conn.SetReadDeadline(time.Now().Add(rejectedHeadTime)) // fails only on a closed connection
	if _, err := io.WriteString(c.Conn, headRejection); err != nil {
		return err
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, rejectedHeadBytes) // what cannot be read is lost with the connection
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadTooLong} // an error to which the server does not respond
}

// SetReadDeadline implements net.Conn. The server calls it before it waits for the next request and before it reads a head, with deadlines
// that the limits of the Listener replace. While the Listener stops, the wait for a request is limited to finalReadTimeout.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	state, now := http.ConnState(c.state.Load()), time.Now()
	resting := state == http.StateIdle && !c.receivedSinceIdle.Load()
	switch limits := c.owner.limits.Load(); {
	case resting && c.owner.stopping():
		t = now.Add(finalReadTimeout)
	case !t.After(now): // no deadline, or one that ends a read
	case resting:
		t = now.Add(limits.IdleTimeout)
	case state == http.StateIdle || state == http.StateNew:
		t = now.Add(limits.HeaderTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}
