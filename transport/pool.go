package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
)

// Reuse states which connections a request may use.
type Reuse int

const (
	// ReuseIdle uses an idle connection if there is one.
	ReuseIdle Reuse = iota
	// DialNew opens a new connection, for requests that must not be lost on a connection that the
	// target has dropped without notice.
	DialNew
)

// Settings hold the limits of a Pool.
type Settings struct {
	// IdleTimeout is how long an idle connection stays open, unless the target announces a shorter
	// time.
	IdleTimeout time.Duration
	// KeepAliveMargin is subtracted from the time for which a target announces to keep a
	// connection open.
	KeepAliveMargin time.Duration
	// MaxIdlePerTarget limits the idle connections to one target.
	MaxIdlePerTarget int
	// ParseHealth reads the response to a health check. If it is nil, each response counts.
	ParseHealth func(*http.Response) HealthResponse
	// OnHealthCheck is called for each health check that is sent; nil for nothing.
	OnHealthCheck func()
}

// DefaultSettings returns the default settings. Targets commonly keep idle connections open for five
// seconds or more, and a margin of a second covers differences of clocks and network latency.
func DefaultSettings() Settings {
	return Settings{IdleTimeout: 4 * time.Second, KeepAliveMargin: time.Second, MaxIdlePerTarget: 16}
}

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	dial     Dialer
	settings Settings

	checks *processChecks

	mu   sync.Mutex
	idle map[string][]*conn // by address; most recently used last
}

// conn is a connection to a target.
type conn struct {
	net       net.Conn
	address   string
	head      headReader    // of net
	read      *bufio.Reader // of head
	idleUntil time.Time     // while idle: until when the connection may be used again
}

// NewPool returns an empty pool.
func NewPool(d Dialer, s Settings) *Pool {
	if s.ParseHealth == nil {
		s.ParseHealth = func(*http.Response) HealthResponse { return HealthResponse{Own: true} }
	}
	p := &Pool{dial: d, settings: s, idle: map[string][]*conn{}}
	p.checks = newProcessChecks(p)
	return p
}

// readBufferBytes fits the header of a response and some events of a stream.
const readBufferBytes = 2 << 10

// Open returns an exchange over a connection to the address.
func (p *Pool) Open(ctx context.Context, address string, reuse Reuse) (*Exchange, error) {
	if reuse == ReuseIdle {
		if c := p.takeIdle(address); c != nil {
			return &Exchange{pool: p, conn: c, reused: true}, nil
		}
	}
	c, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Exchange{pool: p, conn: c}, nil
}

// connect opens a new connection.
func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	n, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{net: n, address: address, head: headReader{from: n}}
	c.read = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c, nil
}

// takeIdle returns the most recently used idle connection that is still usable; nil if there is none.
// It closes unusable ones.
func (p *Pool) takeIdle(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if clock.Now().Before(c.idleUntil) && c.read.Buffered() == 0 && nothingToRead(c.net) {
			return c
		}
		c.close()
	}
}

// pop removes and returns the most recently used idle connection; nil if there is none.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

// put adds the connection to the idle ones until the given time; it closes the connection if there are
// already MaxIdlePerTarget of them.
func (p *Pool) put(c *conn, until time.Time) {
	c.idleUntil = until
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.settings.MaxIdlePerTarget {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes idle connections whose time has run out. It must be called periodically.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.close()
		}
	}
	clear(p.idle)
}

// close closes the connection. It ignores the error, since the connection is not used again either way.
func (c *conn) close() { _ = c.net.Close() }

// idleTimeFor returns how long the connection may stay idle after the response; zero if it must be closed.
func (p *Pool) idleTimeFor(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	idle := p.settings.IdleTimeout
	for field := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = min(idle, time.Duration(seconds)*time.Second-p.settings.KeepAliveMargin)
		}
	}
	return max(idle, 0)
}
