package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// unspokenFor is how long a stopping Door waits for the first request on a connection
// that it had accepted: a few times the way from a caller and back, with its lost
// packets sent again once.
const unspokenFor = time.Second

// Door lets callers in over HTTP. Unlike http.Server's own Shutdown, which drops a
// request that was read on a connection accepted just before, its planned stop lets in
// no more connections and then serves what those that are open still bring.
//
//	door := gateway.NewDoor(&http.Server{Handler: g})
//	go door.Serve(listener)
//	err := door.Stop(ctx)
type Door struct {
	server *http.Server
	shut   chan struct{} // closed by Stop
	served chan struct{} // closed once every accepted connection is known

	mu    sync.Mutex
	open  map[net.Conn]http.ConnState
	empty chan struct{} // closed when Stop was called and none is open
	once  sync.Once     // guards the closing of empty
}

// NewDoor returns a door for the server, whose ConnState it takes.
func NewDoor(s *http.Server) *Door {
	d := &Door{
		server: s, shut: make(chan struct{}), served: make(chan struct{}),
		open: map[net.Conn]http.ConnState{}, empty: make(chan struct{}),
	}
	s.ConnState = d.note
	return d
}

// Serve accepts connections until Stop, for which it returns nil. It is called once.
func (d *Door) Serve(l net.Listener) error {
	defer close(d.served)
	go func() {
		<-d.shut
		_ = l.Close() // it shows as the end of Serve
	}()
	err := d.server.Serve(l)
	select {
	case <-d.shut:
		return nil
	default:
		return err
	}
}

// Stop lets in no more connections and returns once all are over. When ctx ends first
// it closes those that are left and returns an error. It is called once.
func (d *Door) Stop(ctx context.Context) error {
	close(d.shut)
	<-d.served
	d.server.SetKeepAlivesEnabled(false) // closes those that rest
	unspoken := time.AfterFunc(unspokenFor, d.closeUnspoken)
	defer unspoken.Stop()
	d.check()
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), d.server.Close())
	}
}

// note is told of each connection's states.
func (d *Door) note(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(d.open, c)
	} else {
		d.open[c] = s
	}
	d.mu.Unlock()
	select {
	case <-d.served:
		d.check()
	default: // more may come
	}
}

// check tells Stop if nothing is open.
func (d *Door) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) == 0 {
		d.once.Do(func() { close(d.empty) })
	}
}

// closeUnspoken closes the connections on which no request has come.
func (d *Door) closeUnspoken() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, s := range d.open {
		if s == http.StateNew {
			_ = c.Close() // its end is noted by the server
		}
	}
}
