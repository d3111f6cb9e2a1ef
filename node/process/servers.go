package process

import (
	"errors"
	"net"
	"net/http"

	"clovertrail.dev/catalog"
	"clovertrail.dev/telemetry"
)

// Server is one that serves a listener until it is stopped.
type Server interface{ Serve(net.Listener) error }

// Servers are those of one process. The first that ends by itself ends the process.
type Servers struct {
	network Network
	failed  chan<- error
}

// NewServers returns servers that send to failed how one of them ended.
func NewServers(n Network, failed chan<- error) *Servers { return &Servers{network: n, failed: failed} }

// Serve runs the server at the address.
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

// ServeMetrics serves counters and histograms at the address; none if it is empty.
func (s *Servers) ServeMetrics(c telemetry.Common, address string) error {
	if address == "" {
		return nil
	}
	return s.Serve(&http.Server{Handler: c.Metrics.Handler(), ReadHeaderTimeout: catalog.DefaultLimits().HeaderTimeout}, address)
}

// ReportFailure reports how a server ended. Only the first counts, and none once the process leaves.
func ReportFailure(failed chan<- error, err error) {
	select {
	case failed <- err:
	default:
	}
}
