package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"clovertrail.dev/catalog"
)

const (
	// firstRequestTimeout limits how long a stopping Listener waits for the first request on an
	// accepted connection: a few round trips to a caller, with lost packets resent once.
	firstRequestTimeout = time.Second
	// finalReadTimeout limits the last read on an idle connection before it is closed. If the
	// process was not scheduled for a while, requests may have arrived before it handles the stop;
	// the last read returns these without waiting.
	finalReadTimeout = 50 * time.Millisecond
	// finalAcceptTimeout limits the last wait for a connection.
	finalAcceptTimeout = 20 * time.Millisecond
	// MaxHeadBytes is the longest head that a Listener can be told to accept.
	MaxHeadBytes = 64 << 10
)

// Listener accepts callers' connections over HTTP and drains them at a planned stop.
//
// http.Server's own Shutdown drops a request that was read on a connection accepted just
// before, and closes idle connections whatever has arrived on them. The planned stop of a
// Listener accepts the connections that are open already, no more after them, and serves the
// requests that still arrive on those that are open. During the stop the server's handler must close each connection with the
// response.
//
//	l := gateway.NewListener(&http.Server{Handler: g})
//	go l.Serve(listener)
//	err := l.Stop(ctx)
type Listener struct {
	server    *http.Server
	stop      chan struct{} // closed by Stop
	serveDone chan struct{} // closed when Serve returns; all accepted connections are tracked by then

	acceptUntil atomic.Pointer[time.Time]      // deadline of the last wait for a connection; nil before the stop
	limits      atomic.Pointer[catalog.Limits] // of what callers may send and how long they may rest

	mu        sync.Mutex
	conns     map[*trackedConn]http.ConnState
	drained   chan struct{} // closed once Serve has ended and no connection is open
	drainOnce sync.Once     // guards the closing of drained
}

// NewListener returns a Listener for the server with the default limits. It sets the server's ConnState and its limits of a head and of
// the time between requests, which the Listener applies itself.
func NewListener(s *http.Server) *Listener {
	l := &Listener{
		server: s, stop: make(chan struct{}), serveDone: make(chan struct{}),
		conns: map[*trackedConn]http.ConnState{}, drained: make(chan struct{}),
	}
	l.SetLimits(catalog.DefaultLimits())
	s.ConnState = l.trackState
	s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = MaxHeadBytes, time.Hour, time.Hour // the times tell trackedConn when each begins
	return l
}

// SetLimits limits the heads of requests and the time that connections may rest, from now on and on open connections too.
func (l *Listener) SetLimits(limits catalog.Limits) {
	before := l.limits.Swap(&limits)
	if before == nil || before.IdleTimeout == limits.IdleTimeout {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, s := range l.conns {
		if s == http.StateIdle && !c.receivedSinceIdle.Load() && !l.stopping() {
			_ = c.Conn.SetReadDeadline(c.idleSince.Add(limits.IdleTimeout)) // fails only on a closed connection
		}
	}
}

// Serve accepts connections until Stop, after which it returns nil. It must be called once.
func (l *Listener) Serve(inner net.Listener) error {
	defer close(l.serveDone)
	go func() {
		select {
		case <-l.stop:
			l.endAccepting(inner)
		case <-l.serveDone: // the inner listener failed
		}
	}()
	err := l.server.Serve(&trackingListener{Listener: inner, owner: l})
	select {
	case <-l.stop:
		return nil
	default:
		return err
	}
}

// Stop accepts no more connections and returns once all connections are closed. If ctx ends
// first it closes the remaining connections and returns an error. It must be called once.
func (l *Listener) Stop(ctx context.Context) error {
	close(l.stop)
	<-l.serveDone
	l.expireReads(http.StateIdle)
	firstRequestTimer := time.AfterFunc(firstRequestTimeout, func() { l.expireReads(http.StateNew) })
	defer firstRequestTimer.Stop()
	l.signalIfDrained()
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), l.server.Close())
	}
}

// deadlineListener is a net.Listener like those of package net, whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// endAccepting makes the inner listener accept the connections of its backlog and then close, which makes the
// server's Serve return.
func (l *Listener) endAccepting(inner net.Listener) {
	until := time.Now().Add(finalAcceptTimeout)
	l.acceptUntil.Store(&until)
	if d, ok := inner.(deadlineListener); ok && d.SetDeadline(until) == nil {
		return // Accept closes the listener at the deadline
	}
	_ = inner.Close() // the listener is not used again
}

// trackState records the state of a connection. The server calls it at each change.
func (l *Listener) trackState(n net.Conn, s http.ConnState) {
	c, ok := n.(*trackedConn)
	if !ok {
		return // accepted by another listener of the server
	}
	c.state.Store(int32(s))
	if s == http.StateIdle {
		c.receivedSinceIdle.Store(false)
		c.headBytes.Store(0)
	}
	l.mu.Lock()
	if s == http.StateIdle {
		c.idleSince = time.Now()
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, c)
	} else {
		l.conns[c] = s
	}
	l.mu.Unlock()
	if s == http.StateActive && l.stopping() {
		// A final read may have begun while the request was read; its deadline must not end
		// the request.
		_ = c.Conn.SetReadDeadline(time.Time{}) // where that fails, reading fails too
	}
	select {
	case <-l.serveDone:
		l.signalIfDrained()
	default: // further connections may be accepted
	}
}

// signalIfDrained wakes Stop if no connection is open.
func (l *Listener) signalIfDrained() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) == 0 {
		l.drainOnce.Do(func() { close(l.drained) })
	}
}

// stopping reports whether Stop was called.
func (l *Listener) stopping() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// expireReads lets the pending reads of all connections in the state time out now.
func (l *Listener) expireReads(state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, s := range l.conns {
		if s == state {
			_ = c.Conn.SetReadDeadline(time.Now()) // fails only on a closed connection
		}
	}
}

// trackingListener wraps the connections that it accepts in a trackedConn. Accept is called by one goroutine.
type trackingListener struct {
	net.Listener
	owner   *Listener
	backlog *backlog // nil before the stop, or if the listener has no socket
}

// Accept implements net.Listener.
func (t *trackingListener) Accept() (net.Conn, error) {
	for {
		c, err := t.Listener.Accept()
		if err == nil {
			return &trackedConn{Conn: c, owner: t.owner}, nil
		}
		until := t.owner.acceptUntil.Load()
		if until == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if t.drained(*until) {
			_ = t.Close() // the listener is not used again
			return nil, net.ErrClosed
		}
		t.owner.endAccepting(t.Listener) // connections have arrived since the deadline
	}
}

// drained reports whether all connections are accepted that will ever open. Without a socket, that is assumed if the process was
// scheduled at the deadline.
func (t *trackingListener) drained(until time.Time) bool {
	if t.backlog == nil {
		b, ok := backlogOf(t.Listener)
		if !ok {
			return time.Since(until) < finalAcceptTimeout
		}
		t.backlog = b
	}
	_ = t.backlog.close() // where that is not possible, a connection may still open before the listener is closed
	return t.backlog.isEmpty()
}
