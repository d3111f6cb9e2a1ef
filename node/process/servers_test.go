package process_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"clovertrail.dev/node/process"
	"clovertrail.dev/telemetry"
)

// failingListener returns the errors from Accept, then one connection, and then waits until it is closed.
type failingListener struct {
	net.Listener
	errs   []error
	conns  chan net.Conn
	closed chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *failingListener) Close() error {
	close(l.closed)
	return nil
}

// failingNetwork fails to listen with the errors, and then returns the listener.
type failingNetwork struct {
	process.Network
	errs     []error
	listener net.Listener
}

func (n *failingNetwork) Listen(string) (net.Listener, error) {
	if len(n.errs) > 0 {
		err := n.errs[0]
		n.errs = n.errs[1:]
		return nil, err
	}
	return n.listener, nil
}

// TestServersWaitForAddresses guards against a process that ends since an address cannot be used for a while, and one that waits for an
// address that can never be used.
func TestServersWaitForAddresses(t *testing.T) {
	malformed := &net.AddrError{Err: "missing port in address", Addr: "x"}
	for _, tc := range []struct {
		name string
		errs []error
		want error
	}{
		{"taken", []error{syscall.EADDRINUSE, syscall.EADDRINUSE}, nil},
		{"not configured yet", []error{syscall.EADDRNOTAVAIL}, nil},
		{"no descriptors", []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS}, nil},
		{"malformed", []error{malformed}, malformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &failingListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				s := process.NewServers(telemetry.Quiet(), &failingNetwork{errs: tc.errs, listener: l}, nil, make(chan error, 1))
				srv := &http.Server{}
				if err := s.Serve(srv, "test", "address"); !errors.Is(err, tc.want) {
					t.Errorf("got error %v, want %v", err, tc.want)
				}
				synctest.Wait()
				_ = srv.Close()
			})
		})
	}
}

// TestFailedServerIsReported guards against a server that fails for good without a trace.
func TestFailedServerIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &failingListener{errs: []error{syscall.EBADF}, conns: make(chan net.Conn), closed: make(chan struct{})}
		failed := make(chan error, 1)
		if err := process.NewServers(telemetry.Quiet(), &failingNetwork{listener: l}, nil, failed).Serve(&http.Server{}, "test", "address"); err != nil {
			t.Fatal(err)
		}
		if err := <-failed; !errors.Is(err, syscall.EBADF) {
			t.Errorf("got error %v, want that of the listener", err)
		}
	})
}

// TestServersBoundHeads guards against memory that grows with the heads of those who ask for metrics or readiness.
func TestServersBoundHeads(t *testing.T) {
	s := httptest.NewUnstartedServer(nil)
	s.Config = process.HTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Start()
	defer s.Close()
	for size, want := range map[int]int{1 << 10: http.StatusOK, 64 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X", strings.Repeat("x", size))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("head of %d bytes: status %d, want %d", size, resp.StatusCode, want)
		}
	}
}
