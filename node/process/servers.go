package process

import (
	"errors"
	"net"
	"net/http"

	"clovertrail.dev/catalog"
	"clovertrail.dev/telemetry"
)

// Server serves connections of a listener until it is stopped.
type Server interface{ Serve(net.Listener) error }

// Servers starts the servers of one process. The first server that fails ends the process.
type Servers struct {
	network Network
	failed  chan<- error
}

// NewServers returns Servers without a server. The error of a server that fails is sent to failed.
func NewServers(n Network, failed chan<- error) *Servers { return &Servers{network: n, failed: failed} }

// Serve starts the server at the address.
func (s *Servers) Serve(srv Server, address string) error {
	l, err := s.network.Listen(address)
	if err != nil {
		return err
	}
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			ReportFailure(s.failed, err)
		}
	}()
	return nil
}

// ServeMetrics starts a server of counters and histograms at the address. It does nothing if the
// address is empty.
func (s *Servers) ServeMetrics(c telemetry.Common, address string) error {
	if address == "" {
		return nil
	}
	return s.Serve(&http.Server{Handler: c.Metrics.Handler(), ReadHeaderTimeout: catalog.DefaultLimits().HeaderTimeout}, address)
}

// ReportFailure sends the error of a failed server to failed without blocking. Only the first error
// counts, and none once the process stops.
func ReportFailure(failed chan<- error, err error) {
	select {
	case failed <- err:
	default:
	}
}
