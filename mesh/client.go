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

// Client makes calls over a pool of connections. It is safe for concurrent use.
type Client struct {
	dial   Dialer
	onCall func(name Method, sent, received int)
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

const (
	// idleTimeout is how long an unused connection stays open: longer than the longest pause
	// between periodic calls.
	idleTimeout = 15 * time.Second
	// maxIdlePerProcess limits the idle connections to one process: one for updates, one for
	// orders, and one more for calls while both are busy.
	maxIdlePerProcess = 3
)

// NewClient returns a client without connections. It calls onCall with the bytes of the messages of each
// call, without those of the connection, at its end.
func NewClient(d Dialer, onCall func(name Method, sent, received int)) *Client {
	return &Client{dial: d, onCall: onCall, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerProcess})}
}

// Close closes all pooled connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call makes a call to the process at the address. The context must have a deadline.
func Call[In, Out any](ctx context.Context, c *Client, address string, name Method, in *In) (*Out, error) {
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		n, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(n), nil
	})
	out, bytes := new(Out), &meter{}
	err := conn.Invoke(ctx, string(name), bytes, in, out)
	c.onCall(name, bytes.sent, bytes.received)
	if err != nil {
		return nil, err
	}
	return out, nil
}
