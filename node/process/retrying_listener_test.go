package process_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/telemetry"
)

// acceptErrors are errors of Accept that pass. Some of them are not temporary by the definition of package net.
var acceptErrors = []error{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.EAGAIN, syscall.EINTR,
}

// TestServersOutliveFailedAccepts guards against a process that ends since one connection could not be accepted.
func TestServersOutliveFailedAccepts(t *testing.T) {
	servers := map[string]func(ctx context.Context) process.Server{
		"HTTP": func(context.Context) process.Server { return &http.Server{Handler: http.NotFoundHandler()} },
		"DRPC": func(ctx context.Context) process.Server {
			return process.ServerFunc(func(l net.Listener) error { return mesh.Serve(ctx, l, mesh.NewMux()) })
		},
	}
	for name, server := range servers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				l := &failingListener{errs: acceptErrors, conns: make(chan net.Conn), closed: make(chan struct{})}
				failed := make(chan error, 1)
				s := process.NewServers(telemetry.Quiet(), &failingNetwork{listener: l}, nil, failed)
				srv := server(ctx)
				if err := s.Serve(srv, "test", "address"); err != nil {
					t.Fatal(err)
				}
				client, accepted := net.Pipe()
				select {
				case l.conns <- accepted:
				case err := <-failed:
					t.Errorf("the server ended: %v", err)
				case <-time.After(time.Minute):
					t.Error("the server accepts no connection any more")
				}
				_, _ = client.Close(), accepted.Close()
				if h, ok := srv.(*http.Server); ok {
					_ = h.Close()
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
