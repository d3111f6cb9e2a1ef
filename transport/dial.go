package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens a connection to host:port. Tests replace it with a simulated network.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Timeouts bound the time until a dead peer is detected.
type Timeouts struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// DeadPeer is how long sent bytes may remain unacknowledged, and how long an idle peer may
	// leave keep-alive probes unanswered, before the connection is closed.
	DeadPeer time.Duration
}

// keepAliveIntervals is the number of intervals between keep-alive probes within Timeouts.DeadPeer.
const keepAliveIntervals = 3

// Dial returns a Dialer of the machine's network.
func Dial(t Timeouts) Dialer {
	d := net.Dialer{
		Timeout: t.Connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: t.DeadPeer / keepAliveIntervals, Interval: t.DeadPeer / keepAliveIntervals, Count: keepAliveIntervals - 1,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, t.DeadPeer) },
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// setUserTimeout bounds how long sent bytes may remain unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// nothingToRead reports whether an idle connection has neither data nor its end to read. It does not
// block.
func nothingToRead(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // a connection of a simulated network
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
