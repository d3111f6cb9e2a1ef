package mesh

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Dialer opens a connection to host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Client makes calls, over connections that it keeps. Its methods may be called
// from any goroutine.
type Client struct {
	dial Dialer
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

const (
	// keepFor is how long an unused connection is kept: longer than the longest pause
	// between regular calls.
	keepFor = 15 * time.Second
	// keepEach is how many connections to one process are kept: one for news, one for
	// orders, and one more while both are busy.
	keepEach = 3
)

// NewClient returns a client without connections.
func NewClient(d Dialer) *Client {
	return &Client{dial: d, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: keepFor, KeyCapacity: keepEach})}
}

// Close closes all connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call calls the process at the address. The context must have a deadline.
func Call[In, Out any](ctx context.Context, c *Client, address string, name Method, in *In) (*Out, error) {
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		n, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(n), nil
	})
	out := new(Out)
	if err := conn.Invoke(ctx, string(name), encoding{}, in, out); err != nil {
		return nil, err
	}
	return out, nil
}
