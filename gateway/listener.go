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
)

const (
	// unspokenFor is how long a stopping Door waits for the first request on a connection
	// that it had accepted: a few times the way from a caller and back, with its lost
	// packets sent again once.
	unspokenFor = time.Second
	// lastLook is how long a connection that rests is read once more before it is closed.
	// A process that was given no processor for a while finds requests that came meanwhile
	// and the time to stop together; what has come is read at once.
	lastLook = 50 * time.Millisecond
)

// Listener lets callers in over HTTP. Unlike http.Server's own Shutdown, which drops a
// request that was read on a connection accepted just before and closes connections that
// rest whatever has come on them, its planned stop lets in no more connections and then
// serves what those that are open still bring. Its handler must end each connection with
// the answer from then on.
//
//	door := gateway.NewDoor(&http.Server{Handler: g})
//	go door.Serve(listener)
//	err := door.Stop(ctx)
type Listener struct {
	server *http.Server
	shut   chan struct{} // closed by Stop
	served chan struct{} // closed once every accepted connection is known

	mu    sync.Mutex
	open  map[*doorConn]http.ConnState
	empty chan struct{} // closed when Stop was called and none is open
	once  sync.Once     // guards the closing of empty
}

// NewListener returns a door for the server, whose ConnState it takes.
func NewListener(s *http.Server) *Listener {
	d := &Listener{
		server: s, shut: make(chan struct{}), served: make(chan struct{}),
		open: map[*doorConn]http.ConnState{}, empty: make(chan struct{}),
	}
	s.ConnState = d.note
	return d
}

// Serve accepts connections until Stop, for which it returns nil. It is called once.
func (d *Listener) Serve(l net.Listener) error {
	defer close(d.served)
	go func() {
		select {
		case <-d.shut:
			_ = l.Close() // it shows as the end of Serve
		case <-d.served: // the listener ended by itself
		}
	}()
	err := d.server.Serve(doorListener{l, d})
	select {
	case <-d.shut:
		return nil
	default:
		return err
	}
}

// Stop lets in no more connections and returns once all are over. When ctx ends first
// it closes those that are left and returns an error. It is called once.
func (d *Listener) Stop(ctx context.Context) error {
	close(d.shut)
	<-d.served
	d.lookAgain(http.StateIdle)
	unspoken := time.AfterFunc(unspokenFor, func() { d.lookAgain(http.StateNew) })
	defer unspoken.Stop()
	d.check()
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), d.server.Close())
	}
}

// note receives each connection's states.
func (d *Listener) note(n net.Conn, s http.ConnState) {
	c, ok := n.(*doorConn)
	if !ok {
		return // it came by another listener
	}
	if s == http.StateIdle {
		c.heard.Store(false)
	}
	d.mu.Lock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(d.open, c)
	} else {
		d.open[c] = s
	}
	d.mu.Unlock()
	if s == http.StateActive && d.stopping() {
		// A last look may have begun while the request was read: it must not end it.
		_ = c.Conn.SetReadDeadline(time.Time{}) // where that fails, reading does too
	}
	select {
	case <-d.served:
		d.check()
	default: // more may come
	}
}

// check notifies Stop if nothing is open.
func (d *Listener) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) == 0 {
		d.once.Do(func() { close(d.empty) })
	}
}

// stopping reports whether Stop was called.
func (d *Listener) stopping() bool {
	select {
	case <-d.shut:
		return true
	default:
		return false
	}
}

// lookAgain ends the waiting for a request on the connections in the state.
func (d *Listener) lookAgain(in http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, s := range d.open {
		if s == in {
			_ = c.Conn.SetReadDeadline(time.Now()) // a connection that has ended needs none
		}
	}
}

// doorListener gives connections that look again.
type doorListener struct {
	net.Listener
	door *Listener
}

// Accept implements net.Listener.
func (l doorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &doorConn{Conn: c, door: l.door}, nil
}

// doorConn is a connection on which, once its door stops, the wait for a request ends
// only after a last look at what has come.
type doorConn struct {
	net.Conn
	door   *Listener
	looked atomic.Bool // for the last time
	heard  atomic.Bool // something has come since it rests
}

// Read implements net.Conn.
func (c *doorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(true)
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.door.stopping() || !c.door.waits(c) || c.looked.Swap(true) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// SetReadDeadline implements net.Conn. The server calls it before it waits for another
// request; once the door stops it waits for a moment only.
func (c *doorConn) SetReadDeadline(t time.Time) error {
	if c.door.stopping() && c.door.state(c) == http.StateIdle && !c.heard.Load() {
		t = time.Now().Add(lastLook)
	}
	return c.Conn.SetReadDeadline(t)
}

// waits reports that no request has been read on the connection that is not answered.
func (d *Listener) waits(c *doorConn) bool {
	s := d.state(c)
	return s == http.StateIdle || s == http.StateNew
}

func (d *Listener) state(c *doorConn) http.ConnState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open[c]
}
