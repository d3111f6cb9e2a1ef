package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is the fault that a proxy injects; passThrough is none.
type proxyMode int

const (
	passThrough proxyMode = iota
	// slowLink delays all data by slowLinkDelay.
	slowLink
	// blackhole drops all data in both directions, without an error on either side.
	blackhole
	// dropResponses drops data from upstream, without an error on either side.
	dropResponses
	// resetOnData resets a connection on the first data in either direction.
	resetOnData
	// resetOnResponse forwards requests, and resets the connection on data from upstream.
	resetOnResponse
	// refuseConnections resets new connections at once.
	refuseConnections
)

func (mode proxyMode) String() string {
	return [...]string{"fair", "slow", "silent", "one way", "resets", "lost answers", "refuses"}[mode]
}

// slowLinkDelay is longer than the latency between data halls, and shorter than the time-out of
// callers.
const slowLinkDelay = 60 * time.Millisecond

// proxy is a loopback proxy in front of one upstream address. Data that was dropped is lost for good,
// even if the mode changes while the connection is open.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetAll resets all connections, as the crash of a process does.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // the listener is discarded even if this fails
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == refuseConnections {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(downstream net.Conn) {
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(downstream)
		return
	}
	p.track(downstream, upstream)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copyData(upstream, downstream, false) }()
	go func() { defer both.Done(); p.copyData(downstream, upstream, true) }()
	both.Wait()
	p.closeAll(downstream, upstream)
}

// track adds the connections to those that resetAll resets.
func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) closeAll(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // both directions have ended, so an error has no consequence
		delete(p.conns, c)
	}
}

// copyData forwards data in one direction; response is true for data from upstream.
func (p *proxy) copyData(to, from net.Conn, response bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.copyChunk(to, from, buf[:n], response) {
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

// copyChunk forwards a chunk of data as the mode says. It returns false if the connection has ended.
func (p *proxy) copyChunk(to, from net.Conn, chunk []byte, response bool) bool {
	switch mode := p.currentMode(); {
	case mode == blackhole, mode == dropResponses && response:
		return true // dropped
	case mode == resetOnData, mode == resetOnResponse && response:
		reset(to)
		reset(from)
		return false
	case mode == slowLink:
		time.Sleep(slowLinkDelay)
	}
	_, err := to.Write(chunk)
	return err == nil
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
