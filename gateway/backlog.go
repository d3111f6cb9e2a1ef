package gateway

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// backlog is the queue of connections that the kernel has opened for a listening socket and that the process has not accepted. The
// kernel resets them when the socket is closed.
type backlog struct {
	socket syscall.RawConn
	closed bool // the kernel opens no further connections
}

// backlogOf returns the backlog of the listener; false if it has no socket of the operating system.
func backlogOf(l net.Listener) (*backlog, bool) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return nil, false
	}
	socket, err := c.SyscallConn()
	return &backlog{socket: socket}, err == nil
}

// close makes the kernel drop the packets of callers that are opening a connection. They are refused once the socket is closed, and
// know then that no request of theirs was read.
func (b *backlog) close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	return b.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
}

// isEmpty reports whether no connection waits to be accepted.
func (b *backlog) isEmpty() (empty bool) {
	err := b.control(func(fd int) error {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		empty = n == 0
		return err
	})
	return empty || err != nil
}

func (b *backlog) control(f func(fd int) error) error {
	var inner error
	if err := b.socket.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}
