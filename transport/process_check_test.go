package transport_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/transport"
)

// Only refused connections show that a process ended: a box that does not respond, or a process that
// still listens, does not.
func TestProcessEndedOnlyOnRefusedConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		dial transport.Dialer
		want bool
	}{
		"refused": {func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: fmt.Errorf("connect: %w", syscall.ECONNREFUSED)}
		}, true},
		"silent": {func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, false},
		"unreachable": {func(context.Context, string) (net.Conn, error) { return nil, syscall.EHOSTUNREACH }, false},
		"opened": {func(context.Context, string) (net.Conn, error) {
			c, _ := net.Pipe()
			return c, nil
		}, false},
	} {
		p := transport.NewPool(tc.dial, transport.DefaultSettings())
		if got := p.ProcessEnded(t.Context(), "a:1", ""); got != tc.want {
			t.Errorf("%s: ended = %v", name, got)
		}
		p.Close()
	}
}

// When the links of a data hall are cut so that connections are refused, its boxes must not consider
// the targets of other halls ended and quarantine the work of these targets.
func TestProcessEndedRequiresWitness(t *testing.T) {
	for name, tc := range map[string]struct {
		witness string
		want    bool
	}{
		"witness accepts connections": {"beside:1", true},
		"witness refuses connections": {"gone:1", false},
		"no witness":                  {"", true},
	} {
		p := transport.NewPool(func(_ context.Context, address string) (net.Conn, error) {
			if address == "beside:1" {
				c, _ := net.Pipe()
				return c, nil
			}
			return nil, syscall.ECONNREFUSED
		}, transport.DefaultSettings())
		if got := p.ProcessEnded(t.Context(), "a:1", tc.witness); got != tc.want {
			t.Errorf("%s: ended = %v", name, got)
		}
	}
}

// A target may end right after a check found it alive, for example the check for another request that
// was cut off. The result of that check must not hide the end.
func TestAliveResultExpiresBeforeNextCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alive := true
		p := transport.NewPool(func(context.Context, string) (net.Conn, error) {
			if !alive {
				return nil, syscall.ECONNREFUSED
			}
			c, _ := net.Pipe()
			return c, nil
		}, transport.DefaultSettings())
		defer p.Close()
		if p.ProcessEnded(t.Context(), "a:1", "") {
			t.Error("reported ended while the process listens")
		}
		alive = false
		time.Sleep(50 * time.Millisecond)
		if !p.ProcessEnded(t.Context(), "a:1", "") {
			t.Error("an earlier result hides that the process ended")
		}
	})
}

// When a target closes all its connections, all requests to it break off. They share one check, and if
// the process still listens, the next request uses the connection that the check opened.
func TestConcurrentProcessChecksShareOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		release := make(chan struct{})
		p := transport.NewPool(func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			<-release
			c, _ := net.Pipe()
			return c, nil
		}, transport.DefaultSettings())
		defer p.Close()
		var checks sync.WaitGroup
		for range 20 {
			checks.Go(func() { p.ProcessEnded(context.Background(), "a:1", "") })
		}
		synctest.Wait()
		close(release)
		checks.Wait()
		if n := dials.Load(); n != 1 {
			t.Errorf("%d connections opened by concurrent checks, want 1", n)
		}
		x, err := p.Open(context.Background(), "a:1", transport.ReuseIdle)
		if err != nil || !x.Reused() {
			t.Errorf("the connection of the check is not reused: %v", err)
		}
	})
}
