package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// weather is what a link does to what passes.
type weather int

const (
	fair        weather = iota
	slow                // every piece comes late
	silent              // nothing passes either way, and nobody is told
	oneWay              // what the far side says does not pass
	resets              // connections are reset as soon as something passes
	lostAnswers         // requests pass, and what is answered resets the connection
	refuses             // new connections are closed at once
)

func (w weather) String() string {
	return [...]string{"fair", "slow", "silent", "one way", "resets", "lost answers", "refuses"}[w]
}

// slowBy is how late a slow link is: longer than the way between data halls, shorter
// than a caller's patience.
const slowBy = 60 * time.Millisecond

// link is a loopback proxy before one address. Connections that were silent stay so:
// what they swallowed is lost.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	now   weather
	conns map[net.Conn]bool
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) set(w weather) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now = w
}

func (k *link) weather() weather {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// drop resets all connections, as a process that crashes does.
func (k *link) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

func (k *link) close() {
	_ = k.listener.Close() // it is given up either way
	k.drop()
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if k.weather() == refuses {
			reset(c)
			continue
		}
		go k.carry(c)
	}
}

func (k *link) carry(near net.Conn) {
	far, err := net.Dial("tcp", k.to)
	if err != nil {
		reset(near)
		return
	}
	k.hold(near, far)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); k.pass(far, near, false) }()
	go func() { defer both.Done(); k.pass(near, far, true) }()
	both.Wait()
	k.release(near, far)
}

// hold keeps the connections for drop.
func (k *link) hold(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		k.conns[c] = true
	}
}

func (k *link) release(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // both directions are over
		delete(k.conns, c)
	}
}

// pass moves bytes one way; back reports that it is the way of answers.
func (k *link) pass(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !k.piece(to, from, buf[:n], back) {
			return
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// piece passes some bytes as the weather is; false if the connection is gone.
func (k *link) piece(to, from net.Conn, b []byte, back bool) bool {
	switch w := k.weather(); {
	case w == silent, w == oneWay && back:
		return true // swallowed
	case w == resets, w == lostAnswers && back:
		reset(to)
		reset(from)
		return false
	case w == slow:
		time.Sleep(slowBy)
	}
	_, err := to.Write(b)
	return err == nil
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // a connection that is gone is closed already
	}
}

// reset closes the connection so that the peer is told at once.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the close is only less sudden
	}
	_ = c.Close() // it is given up either way
}
