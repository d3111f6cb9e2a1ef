package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/gateway"
)

// runLimited runs f with a connection to a Listener whose handler responds at once.
func runLimited(t *testing.T, f func(l *gateway.Listener, c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		p := newPipes()
		l := gateway.NewListener(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })})
		go func() { _ = l.Serve(p) }()
		c := p.dial()
		f(l, c)
		_ = c.Close()
		_ = l.Stop(context.Background())
	})
}

// limits returns the default limits after a change.
func limits(change func(*catalog.Limits)) catalog.Limits {
	l := catalog.DefaultLimits()
	change(&l)
	return l
}

// restedTime returns how long the connection stays open from now on, 100 s at most.
func restedTime(c net.Conn) time.Duration {
	begin := time.Now()
	_ = c.SetReadDeadline(begin.Add(100 * time.Second))
	_, _ = c.Read(make([]byte, 1))
	return time.Since(begin)
}

// TestIdleTimeoutOfConfigurationApplies guards against connections that rest for another time than the configuration states, also those that
// rest already as it changes.
func TestIdleTimeoutOfConfigurationApplies(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before, after time.Duration // before a rest of 3 s, and after it; 0 for the default
		want          time.Duration // that the connection rests after the change
	}{
		{"default", 0, 0, 12 * time.Second},
		{"stated", 40 * time.Second, 40 * time.Second, 37 * time.Second},
		{"made longer", 0, 40 * time.Second, 37 * time.Second},
		{"made shorter", 0, 5 * time.Second, 2 * time.Second},
		{"made shorter than the rest so far", 0, time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runLimited(t, func(l *gateway.Listener, c net.Conn) {
				set := func(d time.Duration) {
					if d > 0 {
						l.SetLimits(limits(func(l *catalog.Limits) { l.IdleTimeout = d }))
					}
				}
				set(tc.before)
				if body, err := requestOn(c); body != "whole" || err != nil {
					t.Fatalf("body %q, error %v", body, err)
				}
				time.Sleep(3 * time.Second)
				set(tc.after)
				if got := restedTime(c); got != tc.want {
					t.Errorf("the connection closed %v after the change, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestHeadLimitsOfConfigurationApply guards against heads that are accepted or rejected against the configuration, by their length and by the
// time that they take, on connections that are kept too.
func TestHeadLimitsOfConfigurationApply(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limits catalog.Limits
		bytes  int
		pause  time.Duration // within the head
		want   int           // status; 0 for a connection that closes
	}{
		{"default", catalog.DefaultLimits(), 15 << 10, 2 * time.Second, http.StatusOK},
		{"default, too long", catalog.DefaultLimits(), 24 << 10, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"default, too slow", catalog.DefaultLimits(), 1 << 10, 4 * time.Second, 0},
		{"longer", limits(func(l *catalog.Limits) { l.HeaderBytes = 48 << 10 }), 40 << 10, 0, http.StatusOK},
		{"shorter", limits(func(l *catalog.Limits) { l.HeaderBytes = 2 << 10 }), 15 << 10, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"more time", limits(func(l *catalog.Limits) { l.HeaderTimeout = 10 * time.Second }), 1 << 10, 8 * time.Second, http.StatusOK},
		{"less time", limits(func(l *catalog.Limits) { l.HeaderTimeout = time.Second }), 1 << 10, 2 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runLimited(t, func(l *gateway.Listener, c net.Conn) {
				if body, err := requestOn(c); body != "whole" || err != nil {
					t.Fatalf("first request: body %q, error %v", body, err)
				}
				l.SetLimits(tc.limits)
				var writer sync.WaitGroup
				writer.Go(func() { // a rejection ends the writes
					_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: box\r\n")
					time.Sleep(tc.pause)
					_, _ = io.WriteString(c, "X: "+strings.Repeat("x", tc.bytes)+"\r\n\r\n")
				})
				status := 0
				if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					status = resp.StatusCode
				}
				_ = c.Close()
				writer.Wait()
				if status != tc.want {
					t.Errorf("status %d, want %d", status, tc.want)
				}
			})
		})
	}
}
