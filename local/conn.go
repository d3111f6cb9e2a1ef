package local

import (
	"net"
	"sync"
	"time"
)

// conn is a connection whose traffic follows the state of the link between two halls.
type conn struct {
	net.Conn
	from, to *Host

	writeMu sync.Mutex // guards pending and the order of writes; locked before mu
	pending []byte     // written while the link was silent

	mu      sync.Mutex
	changed *sync.Cond
	link    Link
	closed  bool
	done    chan struct{} // closed with the connection
}

func newConn(raw net.Conn, from, to *Host, l Link) *conn {
	c := &conn{Conn: raw, from: from, to: to, link: l, done: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *conn) setLink(l Link) {
	if l == Refused {
		_ = c.Close()
		return
	}
	c.mu.Lock()
	c.link = l
	c.changed.Broadcast()
	c.mu.Unlock()
	go c.flushPending()
}

// waitWhileSilent blocks until the link is no longer silent; it fails once the connection
// is closed.
func (c *conn) waitWhileSilent() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.link == Silent && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

// delayWhileSlow waits for slowDelay if the link is slow, or until the connection is closed.
func (c *conn) delayWhileSlow() {
	c.mu.Lock()
	slow := c.link == Slow && !c.closed
	c.mu.Unlock()
	if !slow {
		return
	}
	t := time.NewTimer(slowDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.done:
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	c.delayWhileSlow()
	return n, c.waitWhileSilent()
}

// Write implements net.Conn. Bytes written while the link is silent stay in the sender's
// buffer, as with TCP, and are sent when the link opens.
func (c *conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	silent, err := c.state()
	if err != nil {
		return 0, err
	}
	if silent {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	if err := c.flush(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) state() (silent bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, net.ErrClosed
	}
	return c.link == Silent, nil
}

// flush sends the pending bytes. The caller holds writeMu.
func (c *conn) flush() error {
	if len(c.pending) == 0 {
		return nil
	}
	buffered := c.pending
	c.pending = nil
	_, err := c.Conn.Write(buffered)
	return err
}

// flushPending sends the pending bytes if the link is no longer silent.
func (c *conn) flushPending() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if silent, err := c.state(); err == nil && !silent {
		_ = c.flush() // the next call on the connection returns the error
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	already := c.closed
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if already {
		return nil
	}
	close(c.done)
	go c.from.network.forget(c)
	return c.Conn.Close()
}
