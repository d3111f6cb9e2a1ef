package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is the fault that a proxy injects; PassThrough is none.
type Mode int

// Modes of a proxy.
const (
	PassThrough Mode = iota
	// SlowLink delays all data by slowLinkDelay.
	SlowLink
	// Blackhole lets nothing pass in either direction, not even the end of a connection.
	Blackhole
	// DropResponses lets nothing pass from upstream.
	DropResponses
	// ResetOnData resets a connection on the first data in either direction.
	ResetOnData
	// ResetOnResponse forwards requests, and resets the connection on data from upstream.
	ResetOnResponse
	// RefuseConnections resets new connections at once.
	RefuseConnections
)

func (mode Mode) String() string {
	return [...]string{"fair", "slow", "silent", "one way", "resets", "lost answers", "refuses"}[mode]
}

// slowLinkDelay is longer than the latency between data halls, and shorter than the time-out of
// callers.
const slowLinkDelay = 60 * time.Millisecond

// Proxy is a loopback proxy in front of one upstream address. Data that meets a silent mode arrives in order after the mode, as TCP
// delivers it, on every second connection. On the others nothing arrives any more in either direction, as behind a middlebox that
// has lost their state.
//
// Lock order: mu is the only lock.
type Proxy struct {
	listener net.Listener
	upstream string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{} // closed at the next change of the mode
	conns   map[net.Conn]bool
	closed  bool
}

// link is a connection through a proxy.
type link struct {
	proxy                *Proxy
	downstream, upstream net.Conn
	forgets              bool        // data that meets a silent mode is lost, and all that comes after it
	lost                 atomic.Bool // data was lost
}

// New starts a proxy in front of the address.
func New(upstream string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, upstream: upstream, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the fault.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) currentMode() (mode Mode, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// holds reports whether the mode lets nothing pass in the direction.
func (mode Mode) holds(response bool) bool {
	return mode == Blackhole || mode == DropResponses && response
}

// ResetAll resets all connections, as the crash of a process does.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	p.Refuse()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ResetAll()
	p.SetMode(PassThrough) // ends the wait of connections that are held
}

// Refuse makes the address refuse connections, as after the end of the process behind it.
func (p *Proxy) Refuse() { _ = p.listener.Close() } // the listener is discarded even if this fails

func (p *Proxy) accept() {
	for forgets := false; ; forgets = !forgets {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.currentMode(); mode == RefuseConnections {
			reset(c)
			continue
		}
		go p.forward(c, forgets)
	}
}

func (p *Proxy) forward(downstream net.Conn, forgets bool) {
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(downstream)
		return
	}
	if !p.track(downstream, upstream) {
		reset(downstream)
		reset(upstream)
		return
	}
	l := &link{proxy: p, downstream: downstream, upstream: upstream, forgets: forgets}
	var both sync.WaitGroup
	both.Go(func() { l.copyData(upstream, downstream, false) })
	both.Go(func() { l.copyData(downstream, upstream, true) })
	both.Wait()
	p.closeAll(downstream, upstream)
}

// track adds the connections to those that ResetAll resets; false if the proxy is closed.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) closeAll(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // both directions have ended, so an error has no consequence
		delete(p.conns, c)
	}
}

// copyData forwards data in one direction; response is true for data from upstream.
func (l *link) copyData(to, from net.Conn, response bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.copyChunk(to, from, buf[:n], response) {
			return
		}
		if err != nil {
			l.end(to, err, response)
			return
		}
	}
}

// pass waits while the mode lets nothing pass in the direction, and returns the mode that does; false if what waited is lost.
func (l *link) pass(response bool) (Mode, bool) {
	for {
		mode, changed := l.proxy.currentMode()
		if !mode.holds(response) {
			return mode, !l.lost.Load()
		}
		if l.forgets {
			l.lost.Store(true)
			return mode, false
		}
		<-changed
	}
}

// copyChunk forwards a chunk of data as the mode says. It returns false if the connection has ended.
func (l *link) copyChunk(to, from net.Conn, chunk []byte, response bool) bool {
	switch mode, passes := l.pass(response); {
	case mode == ResetOnData, mode == ResetOnResponse && response:
		reset(to)
		reset(from)
		return false
	case !passes:
		return true
	case mode == SlowLink:
		time.Sleep(slowLinkDelay)
	}
	_, err := to.Write(chunk)
	return err == nil
}

// end forwards the end of a direction, unless it is lost.
func (l *link) end(to net.Conn, err error, response bool) {
	switch _, passes := l.pass(response); {
	case !passes: // the other side is left without an end, until the proxy is closed
	case errors.Is(err, io.EOF):
		closeWrite(to)
	default:
		reset(to)
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails if the connection is closed already
	}
}

// reset closes the connection with a TCP reset, so that the peer sees an error at once.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the connection is closed without a reset
	}
	_ = c.Close() // the connection is discarded even if this fails
}
