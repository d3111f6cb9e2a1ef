package faultproxy_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"clovertrail.dev/soak/faultproxy"
)

// pause is the time for which a test looks for data that must not arrive, and patience that for data that must.
const pause, patience = 100 * time.Millisecond, 10 * time.Second

// TestNothingFollowsLostData guards against a proxy that forwards what comes after data that it has dropped, as no network does, and
// against faults that can be noticed before they end.
func TestNothingFollowsLostData(t *testing.T) {
	t.Parallel()
	for _, mode := range []faultproxy.Mode{faultproxy.Blackhole, faultproxy.DropResponses} {
		for _, response := range []bool{true, false} {
			if mode == faultproxy.DropResponses && !response {
				continue // requests pass
			}
			for _, ends := range []bool{false, true} {
				// One connection resumes after the fault, and the next one has lost its path.
				for n, want := range []string{"lost, later", ""} {
					t.Run(fmt.Sprintf("%v, response %v, ends %v, connection %d", mode, response, ends, n), func(t *testing.T) {
						t.Parallel()
						p, from, to := connect(t, n, response)
						p.SetMode(mode)
						send(t, from, "lost, ")
						if ends {
							_ = from.Close()
						}
						if got, err := receive(to, pause); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
							t.Errorf("received %q, %v during the fault, want nothing", got, err)
						}
						p.SetMode(faultproxy.PassThrough)
						if !ends {
							send(t, from, "later")
						}
						checkAfterFault(t, to, want, ends)
					})
				}
			}
		}
	}
}

// checkAfterFault reports data other than that wanted after a fault. If the sender has ended, that is what it sent during the fault, and
// its end.
func checkAfterFault(t *testing.T, c net.Conn, want string, ended bool) {
	t.Helper()
	if want == "" {
		if got, err := receive(c, pause); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("received %q, %v after the fault, want nothing", got, err)
		}
		return
	}
	if ended {
		if got, err := receive(c, patience); got != "lost, " || err != nil {
			t.Errorf("received %q, %v after the fault, want what was sent during it, and the end", got, err)
		}
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(patience)) // an error shows in the read
	got := make([]byte, len(want))
	if n, err := io.ReadFull(c, got); string(got) != want {
		t.Errorf("received %q, %v after the fault, want %q", got[:n], err, want)
	}
}

// TestClosedProxyEndsHeldConnections guards against connections that outlast a proxy that is closed during a fault.
func TestClosedProxyEndsHeldConnections(t *testing.T) {
	t.Parallel()
	p, from, to := connect(t, 0, true)
	p.SetMode(faultproxy.Blackhole)
	send(t, from, "lost")
	p.Close()
	if got, err := receive(to, patience); got != "" || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("received %q, %v from the closed proxy, want a reset", got, err)
	}
}

// connect returns the ends of connection n of a new proxy: that of the upstream address is the sender if response is set.
func connect(t *testing.T, n int, response bool) (p *faultproxy.Proxy, from, to net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if p, err = faultproxy.New(l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	var downstream, upstream net.Conn
	for range n + 1 {
		if downstream, err = net.Dial("tcp", p.Address()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = downstream.Close() })
		if upstream, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = upstream.Close() })
	}
	if response {
		return p, upstream, downstream
	}
	return p, downstream, upstream
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive returns what arrives within the time, and the error that ends it; nil for the end of the connection.
func receive(c net.Conn, within time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(within)) // an error shows in the read
	got, err := io.ReadAll(c)
	return string(got), err
}
