package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// weather is what a link does to what passes.
type proxyMode int

const (
	passThrough       proxyMode = iota
	slowLink                    // every piece comes late
	blackhole                   // nothing passes either way, and nobody is told
	dropResponses               // what the far side says does not pass
	resetOnData                 // connections are reset as soon as something passes
	resetOnResponse             // requests pass, and what is answered resets the connection
	refuseConnections           // new connections are closed at once
)

func (mode proxyMode) String() string {
	return [...]string{"fair", "slow", "silent", "one way", "resets", "lost answers", "refuses"}[mode]
}

// slowBy is how late a slow link is: longer than the way between data halls, shorter
// than a caller's patience.
const slowLinkDelay = 60 * time.Millisecond

// link is a loopback proxy before one address. Connections that were silent stay so:
// what they swallowed is lost.
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

// drop resets all connections, as a process that crashes does.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // it is given up either way
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

// hold keeps the connections for drop.
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
		_ = c.Close() // both directions are over
		delete(p.conns, c)
	}
}

// pass moves bytes one way; back reports that it is the way of answers.
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

// piece passes some bytes as the weather is; false if the connection is gone.
func (p *proxy) copyChunk(to, from net.Conn, chunk []byte, response bool) bool {
	switch mode := p.currentMode(); {
	case mode == blackhole, mode == dropResponses && response:
		return true // swallowed
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
