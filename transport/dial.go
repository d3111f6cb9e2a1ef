package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens a connection to host:port. Tests put a network of their own in its
// place.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Timeouts bounds how long a dead peer goes unnoticed.
type Timeouts struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// DeadPeer is how long sent bytes may stay unacknowledged, and how long an idle
	// peer may leave probes unanswered, before the connection is given up.
	DeadPeer time.Duration
}

// probes is how many keep-alive probes fit into the time of an unheard peer.
const probes = 3

// Dial returns a Dialer of the real network.
func Dial(t Timeouts) Dialer {
	d := net.Dialer{
		Timeout: t.Connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: t.DeadPeer / probes, Interval: t.DeadPeer / probes, Count: probes - 1,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, t.DeadPeer) },
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet reports whether nothing waits to be read on an idle connection, not even its
// end. It does not block.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // a network of a test
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = e == unix.EAGAIN || e == unix.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
