package process

import (
	"errors"
	"net"
	"net/http"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/telemetry"
)

// listenRetryInterval is the time between two attempts to listen at an address.
const listenRetryInterval = 200 * time.Millisecond

// ErrStopped reports that the process was told to stop while it waited for an address.
var ErrStopped = errors.New("stopped while waiting for an address")

// Server serves connections of a listener until it is stopped.
type Server interface{ Serve(net.Listener) error }

// ServerFunc is a function that serves the connections of a listener.
type ServerFunc func(net.Listener) error

// Serve implements Server.
func (f ServerFunc) Serve(l net.Listener) error { return f(l) }

// Servers starts the servers of one process. An address that cannot be used, for example because another program or a
// process that is stopping has it, is tried again. The first server that fails ends the process.
type Servers struct {
	common  telemetry.Common
	network Network
	stop    <-chan struct{}
	failed  chan<- error
}

// NewServers returns Servers without a server. They wait for addresses until stop is closed. The error of a server that
// fails is sent to failed.
func NewServers(c telemetry.Common, n Network, stop <-chan struct{}, failed chan<- error) *Servers {
	return &Servers{common: c, network: n, stop: stop, failed: failed}
}

// Serve starts the server at the address, which the process cannot do without. It waits until it can listen there, and returns
// ErrStopped if the process is told to stop before. The name is for the log.
func (s *Servers) Serve(srv Server, name, address string) error {
	l, err := s.listen(name, address)
	if err != nil {
		return err
	}
	go s.run(srv, l)
	return nil
}

// ServeOptional starts the server at the address as soon as it can listen there. It does nothing if the address is
// empty, and returns an error only for an address that is malformed.
func (s *Servers) ServeOptional(srv Server, name, address string) error {
	if address == "" {
		return nil
	}
	l, err := s.network.Listen(address)
	if err == nil {
		go s.run(srv, s.accepting(l, name, address))
		return nil
	}
	if !isTransient(err) {
		return err
	}
	go func() {
		if l, err := s.listen(name, address); err == nil {
			s.run(srv, l)
		} else if !errors.Is(err, ErrStopped) {
			ReportFailure(s.failed, err)
		}
	}()
	return nil
}

// ServeMetrics starts a server of counters and histograms at the address, as ServeOptional does.
func (s *Servers) ServeMetrics(address string) error {
	return s.ServeOptional(HTTPServer(s.common.Metrics.Handler()), "metrics", address)
}

// HTTPServer returns a server that limits what a connection may hold: the length of a head, the time until it is complete, and the time
// without a request.
func HTTPServer(h http.Handler) *http.Server {
	l := catalog.DefaultLimits()
	return &http.Server{Handler: h, MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// listen returns a listener at the address as soon as that is possible.
func (s *Servers) listen(name, address string) (net.Listener, error) {
	waiting := false
	for {
		l, err := s.network.Listen(address)
		switch {
		case err == nil:
			if waiting {
				s.common.Log.Info("listening after a wait", "server", name, "address", address)
			}
			return s.accepting(l, name, address), nil
		case !isTransient(err):
			return nil, err
		case !waiting:
			waiting = true
			s.common.Log.Warn("cannot listen, trying again until the address is free", "server", name, "address", address, "err", err)
		}
		select {
		case <-s.stop:
			return nil, ErrStopped
		case <-time.After(listenRetryInterval):
		}
	}
}

func (s *Servers) accepting(l net.Listener, name, address string) net.Listener {
	return &retryingListener{Listener: l, log: s.common.Log.With("server", name, "address", address), closed: make(chan struct{})}
}

func (s *Servers) run(srv Server, l net.Listener) {
	if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		ReportFailure(s.failed, err)
	}
}

// ReportFailure sends the error of a failed server to failed without blocking. Only the first error
// counts, and none once the process stops.
func ReportFailure(failed chan<- error, err error) {
	select {
	case failed <- err:
	default:
	}
}
