package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/liveness"
	"clovertrail.dev/transport"
)

const healthResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// refuse is a Dialer to an address at which nothing listens.
func refuse(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: fmt.Errorf("connect: %w", syscall.ECONNREFUSED)}
}

// respond returns a connection to a process that sends the response to each request.
func respond(response string) net.Conn {
	c, process := net.Pipe()
	go func() {
		defer func() { _ = process.Close() }()
		for r := bufio.NewReader(process); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(process, response); err != nil {
				return
			}
		}
	}()
	return c
}

// closing returns a connection that closes as the first request arrives.
func closing() net.Conn {
	c, process := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(process)) // fails if the box closes the connection
		_ = process.Close()
	}()
	return c
}

// query returns a query about the process at a:1 whose connection ended just now.
func query(p *transport.Pool, witnesses ...string) transport.ProcessQuery {
	return transport.ProcessQuery{
		Process: transport.Process{Address: "a:1", Instance: "a"}, HealthPath: "/health", Witnesses: witnesses, End: p.Now(),
	}
}

// Only refused connections show that a process ended, and only responses that it is alive: a box that does not respond, a
// connection that opens, or one that closes, shows neither.
func TestProcessStatusNeedsRefusalOrResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		dial transport.Dialer
		want liveness.Status
	}{
		"refused": {refuse, liveness.Ended},
		"silent": {func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, liveness.Unproven},
		"unreachable": {func(context.Context, string) (net.Conn, error) { return nil, syscall.EHOSTUNREACH }, liveness.Unproven},
		"opened, no response": {func(context.Context, string) (net.Conn, error) {
			c, _ := net.Pipe()
			return c, nil
		}, liveness.Unproven},
		"opened, closed": {func(context.Context, string) (net.Conn, error) { return closing(), nil }, liveness.Unproven},
		"responds":       {func(context.Context, string) (net.Conn, error) { return respond(healthResponse), nil }, liveness.Alive},
		"responds with a body that does not come": {func(context.Context, string) (net.Conn, error) {
			return respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel"), nil
		}, liveness.Alive},
		"responds with a body without end": {func(context.Context, string) (net.Conn, error) {
			return respond("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxSentBytes)), nil
		}, liveness.Alive},
		"responds with a head without end": {func(context.Context, string) (net.Conn, error) {
			return respond("HTTP/1.1 200 OK\r\n" + strings.Repeat("Data: x\r\n", 100<<10)), nil
		}, liveness.Unproven},
		"responds with a status that HTTP does not have": {func(context.Context, string) (net.Conn, error) {
			return respond("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"), nil
		}, liveness.Unproven},
		"responds with an invalid name of a field": {func(context.Context, string) (net.Conn, error) {
			return respond("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n"), nil
		}, liveness.Unproven},
		"responds with a head that is cut": {func(context.Context, string) (net.Conn, error) {
			c, process := net.Pipe()
			go func() {
				defer func() { _ = process.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(process)); err == nil {
					_, _ = io.WriteString(process, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
				}
			}()
			return c, nil
		}, liveness.Unproven},
		"rejects": {func(context.Context, string) (net.Conn, error) {
			return respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), nil
		}, liveness.Alive},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := transport.NewPool(tc.dial, transport.DefaultSettings())
				defer p.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				if got := p.CheckProcess(ctx, query(p)); got != tc.want {
					t.Errorf("status %v, want %v", got, tc.want)
				}
				cancel()
				time.Sleep(2 * time.Second) // a health check that nobody waits for any more ends
			})
		})
	}
}

// A process that was killed accepts connections until its listening socket is closed, which takes as long as closing its
// other sockets and freeing its memory. Its connections must not be taken for a sign of life, however long that takes.
func TestProcessThatEndsSlowlyIsNotAlive(t *testing.T) {
	for _, ending := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ended := time.Now().Add(ending)
			p := transport.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
				if !time.Now().Before(ended) {
					return refuse(ctx, address)
				}
				c, process := net.Pipe()
				go func() {
					r := bufio.NewReader(process)
					_, _ = http.ReadRequest(r) // waits in the backlog
					time.Sleep(time.Until(ended))
					_ = process.Close()
				}()
				return c, nil
			}, transport.DefaultSettings())
			defer p.Close()
			if got := p.CheckProcess(t.Context(), query(p)); got != liveness.Ended {
				t.Errorf("ending in %v: status %v, want ended", ending, got)
			}
			if took := time.Since(ended); took > 200*time.Millisecond {
				t.Errorf("ending in %v: known %v after the end", ending, took)
			}
		})
	}
}

// When the links of a data hall are cut so that connections are refused, its boxes must not consider
// the targets of other halls ended and quarantine the work of these targets. Nor are they alive if the witness ended as well.
func TestProcessEndNeedsWitness(t *testing.T) {
	for name, tc := range map[string]struct {
		witnesses []string
		want      liveness.Status
	}{
		"witness accepts connections":            {[]string{"beside:1"}, liveness.Ended},
		"witness refuses connections":            {[]string{"gone:1"}, liveness.Unproven},
		"first witness ended, the second is not": {[]string{"gone:1", "beside:1"}, liveness.Ended},
		"no witness":                             {nil, liveness.Ended},
	} {
		p := transport.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			if address == "beside:1" {
				c, _ := net.Pipe()
				return c, nil
			}
			return refuse(ctx, address)
		}, transport.DefaultSettings())
		if got := p.CheckProcess(t.Context(), query(p, tc.witnesses...)); got != tc.want {
			t.Errorf("%s: status %v, want %v", name, got, tc.want)
		}
	}
}

// A target may end right after a check found it alive, for example the check for another request that
// was cut off. The result of that check must not hide the end.
func TestAliveResultIsNotValidForLaterEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alive := true
		p := transport.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			if !alive {
				return refuse(ctx, address)
			}
			return respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"), nil
		}, transport.DefaultSettings())
		defer p.Close()
		if got := p.CheckProcess(t.Context(), query(p)); got != liveness.Alive {
			t.Errorf("status %v while the process responds", got)
		}
		alive = false
		if got := p.CheckProcess(t.Context(), query(p)); got != liveness.Ended {
			t.Errorf("status %v: an earlier result hides that the process ended", got)
		}
	})
}

// A health check that was sent before a connection ended may be answered by a process that ended right after it.
func TestHealthCheckSentBeforeTheEndDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		release := make(chan struct{})
		p := transport.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return refuse(ctx, address)
			}
			c, process := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(process)) // the pipe does not fail
				<-release
				_, _ = io.WriteString(process, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
				_ = process.Close()
			}()
			return c, nil
		}, transport.DefaultSettings())
		defer p.Close()
		var first, second liveness.Status
		var checks sync.WaitGroup
		checks.Go(func() { first = p.CheckProcess(t.Context(), query(p)) })
		synctest.Wait()
		checks.Go(func() { second = p.CheckProcess(t.Context(), query(p)) })
		synctest.Wait()
		close(release)
		checks.Wait()
		if first != liveness.Alive || second != liveness.Ended {
			t.Errorf("status %v before the health check, %v after it; want alive and ended", first, second)
		}
	})
}

// At a target that other requests reach, their responses show that it is alive, as long as they were sent after the end.
func TestResponseToLaterRequestSettlesCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := transport.NewPool(func(context.Context, string) (net.Conn, error) {
			c, _ := net.Pipe()
			return c, nil // the health check waits for a slot
		}, transport.DefaultSettings())
		defer p.Close()
		q := query(p)
		var status liveness.Status
		var check sync.WaitGroup
		earlier := q.End - 1
		check.Go(func() { status = p.CheckProcess(t.Context(), q) })
		synctest.Wait()
		p.Responded(q.Process, earlier)
		p.Responded(transport.Process{Address: "a:1", Instance: "b"}, p.Now())
		synctest.Wait()
		if status != liveness.Unproven {
			t.Fatalf("status %v by a response to an earlier request or of another process", status)
		}
		p.Responded(q.Process, p.Now())
		check.Wait()
		if status != liveness.Alive {
			t.Errorf("status %v, want alive", status)
		}
		time.Sleep(2 * time.Second) // the health check that nobody waits for ends
	})
}

// The address of a process that has ended may go to another one, whose responses must not be taken for those of the first.
func TestResponseOfAnotherProcessShowsTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := transport.DefaultSettings()
		s.ParseHealth = func(r *http.Response) transport.HealthResponse {
			return transport.HealthResponse{Own: r.Header.Get("Request") == "", Instance: domain.ListedID(r.Header.Get("Instance"))}
		}
		p := transport.NewPool(func(context.Context, string) (net.Conn, error) {
			return respond("HTTP/1.1 200 OK\r\nInstance: b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"), nil
		}, s)
		defer p.Close()
		if got := p.CheckProcess(t.Context(), query(p)); got != liveness.Ended {
			t.Errorf("status %v, want ended", got)
		}
	})
}

// When a target closes all its connections, all requests to it break off. They share one check, and if
// the process still responds, the next request uses the connection of the check.
func TestConcurrentProcessChecksShareOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials, healthChecks atomic.Int32
		release := make(chan struct{})
		s := transport.DefaultSettings()
		s.OnHealthCheck = func() { healthChecks.Add(1) }
		p := transport.NewPool(func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			<-release
			return respond(healthResponse), nil
		}, s)
		defer p.Close()
		var checks sync.WaitGroup
		for range 20 {
			checks.Go(func() {
				if got := p.CheckProcess(context.Background(), query(p)); got != liveness.Alive {
					t.Errorf("status %v, want alive", got)
				}
			})
		}
		synctest.Wait()
		close(release)
		checks.Wait()
		synctest.Wait()
		if d, h := dials.Load(), healthChecks.Load(); d != 1 || h != 1 {
			t.Errorf("%d connections opened and %d health checks sent by concurrent checks, want one each", d, h)
		}
		x, err := p.Open(context.Background(), "a:1", transport.ReuseIdle)
		if err != nil || !x.Reused() {
			t.Fatalf("the connection of the check is not reused: %v", err)
		}
		x.Close()
	})
}
