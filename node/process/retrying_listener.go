package process

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pauses after Accept failed. Each failure doubles the pause.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// retryingListener accepts again after errors of the operating system, for example after a connection ended before it was accepted,
// or while descriptors or memory are exhausted. Servers would end, and the process with them. Accept is called by one goroutine.
type retryingListener struct {
	net.Listener
	log    *slog.Logger
	pause  time.Duration // after the next failure; 0 if the last Accept succeeded
	closed chan struct{}
	once   sync.Once // guards the closing of closed
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			if l.pause > 0 {
				l.pause = 0
				l.log.Info("accepting connections again")
			}
			return c, nil
		}
		if !isTransient(err) {
			return nil, err
		}
		if l.pause == 0 {
			l.log.Warn("connection not accepted, trying again", "err", err)
		}
		l.pause = min(max(2*l.pause, minAcceptPause), maxAcceptPause)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(l.pause):
		}
	}
}

// Close implements net.Listener.
func (l *retryingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetDeadline sets the deadline of Accept, as net.TCPListener does.
func (l *retryingListener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (l *retryingListener) SyscallConn() (syscall.RawConn, error) {
	if c, ok := l.Listener.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
