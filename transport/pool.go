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

// Reuse reports which connections a request may take.
type Reuse int

// The ways of reuse.
const (
	// ReuseIdle takes a kept connection if there is one.
	ReuseIdle Reuse = iota
	// DialNew opens a new connection, for requests that must not be lost to one that
	// the target has silently forgotten.
	DialNew
)

// Settings hold the times of a Pool.
type Settings struct {
	// IdleTimeout is how long a connection rests before it is closed, where the target does
	// not say less.
	IdleTimeout time.Duration
	// KeepAliveMargin is how long before the end that a target tells a connection is no longer
	// used.
	KeepAliveMargin time.Duration
	// MaxIdlePerTarget is how many idle connections are kept to one target.
	MaxIdlePerTarget int
}

// DefaultSettings returns the usual settings: targets commonly keep idle connections for five seconds or more,
// and a second covers clocks and the way there.
func DefaultSettings() Settings {
	return Settings{IdleTimeout: 4 * time.Second, KeepAliveMargin: time.Second, MaxIdlePerTarget: 16}
}

// Pool keeps connections to targets. Its methods may be called from any goroutine.
type Pool struct {
	dial     Dialer
	settings Settings

	mu    sync.Mutex
	idle  map[string][]*conn // by address; the last used is last
	looks map[string]*look   // by address
}

// conn is one connection.
type conn struct {
	net     net.Conn
	address string
	read    *bufio.Reader
	until   time.Time // when it is too old to be used, while idle
	sent    bool      // a byte of the current request may have left
}

// NewPool returns an empty pool.
func NewPool(d Dialer, s Settings) *Pool {
	return &Pool{dial: d, settings: s, idle: map[string][]*conn{}, looks: map[string]*look{}}
}

// readBuffer fits the head of an answer and some events of a stream.
const readBuffer = 2 << 10

// Open gives an exchange over a connection to the address.
func (p *Pool) Open(ctx context.Context, address string, reuse Reuse) (*Exchange, error) {
	if reuse == ReuseIdle {
		if c := p.take(address); c != nil {
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
	return &conn{net: n, address: address, read: bufio.NewReaderSize(n, readBuffer)}, nil
}

// take gives the idle connection that was used last, if it is still good.
func (p *Pool) take(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if clock.Now().Before(c.until) && c.read.Buffered() == 0 && quiet(c.net) {
			return c
		}
		c.close()
	}
}

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

// put keeps the connection until the time.
func (p *Pool) put(c *conn, until time.Time) {
	c.until = until
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.settings.MaxIdlePerTarget {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes idle connections that are too old. It is to be called now and then.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
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

// close ignores the error: the connection is not used any more either way.
func (c *conn) close() { _ = c.net.Close() }

// keepFor is how long the connection may rest after the answer; zero for not at all.
func (p *Pool) keepFor(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	keep := p.settings.IdleTimeout
	for field := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = min(keep, time.Duration(seconds)*time.Second-p.settings.KeepAliveMargin)
		}
	}
	return max(keep, 0)
}
