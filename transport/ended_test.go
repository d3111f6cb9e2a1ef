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

// TestAnEndedProcessRefusesConnections: only that counts, and a box that reports nothing, or a
// process that still listens, does not.
func TestAnEndedProcessRefusesConnections(t *testing.T) {
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
			t.Errorf("%s: ended %v", name, got)
		}
		p.Close()
	}
}

// TestACutWayRefusesToo: seen on a hall whose links were cut with refusals, where all its boxes
// took all targets of the others for ended, and put what these had run into quarantine.
func TestACutWayRefusesToo(t *testing.T) {
	for name, tc := range map[string]struct {
		witness string
		want    bool
	}{
		"a process beside it takes connections": {"beside:1", true},
		"nothing there does":                    {"gone:1", false},
		"nobody is there to tell":               {"", true},
	} {
		p := transport.NewPool(func(_ context.Context, address string) (net.Conn, error) {
			if address == "beside:1" {
				c, _ := net.Pipe()
				return c, nil
			}
			return nil, syscall.ECONNREFUSED
		}, transport.DefaultSettings())
		if got := p.ProcessEnded(t.Context(), "a:1", tc.witness); got != tc.want {
			t.Errorf("%s: ended %v", name, got)
		}
	}
}

// TestATargetMayEndRightAfterALook: that it lived a moment ago, as when another request was cut
// off, reports nothing about now.
func TestATargetMayEndRightAfterALook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lives := true
		p := transport.NewPool(func(context.Context, string) (net.Conn, error) {
			if !lives {
				return nil, syscall.ECONNREFUSED
			}
			c, _ := net.Pipe()
			return c, nil
		}, transport.DefaultSettings())
		defer p.Close()
		if p.ProcessEnded(t.Context(), "a:1", "") {
			t.Error("ended while it lives")
		}
		lives = false
		time.Sleep(50 * time.Millisecond)
		if !p.ProcessEnded(t.Context(), "a:1", "") {
			t.Error("that it lived a moment ago hides that it ended")
		}
	})
}

// TestManyLookOnce: all requests of a target break off as it ends. They share one look, and
// a connection that it opened is used by the next request.
func TestManyLookOnce(t *testing.T) {
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
		var asking sync.WaitGroup
		for range 20 {
			asking.Go(func() { p.ProcessEnded(context.Background(), "a:1", "") })
		}
		synctest.Wait()
		close(release)
		asking.Wait()
		if n := dials.Load(); n != 1 {
			t.Errorf("%d connections for one look", n)
		}
		x, err := p.Open(context.Background(), "a:1", transport.ReuseIdle)
		if err != nil || !x.Reused() {
			t.Errorf("the connection of the look is not used: %v", err)
		}
	})
}
