package transport_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"clovertrail.dev/transport"
)

// scriptedServer is a server that calls a script for each request, with the number n of the request on its
// connection, from 0. The script writes the response and returns whether the connection stays open.
type scriptedServer struct {
	listener net.Listener
	conns    atomic.Int32 // number of connections accepted
}

func newScriptedServer(t *testing.T, script func(n int, w net.Conn, r *http.Request) (keepOpen bool)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go serveScript(c, script)
		}
	}()
	return p
}

func serveScript(c net.Conn, script func(int, net.Conn, *http.Request) bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !script(n, c, req) {
			return
		}
	}
}

func (p *scriptedServer) address() string { return p.listener.Addr().String() }

// write writes text with CRLF line ends. It ignores errors, since the client may have closed the connection.
func write(w io.Writer, text string) {
	_, _ = io.WriteString(w, strings.ReplaceAll(text, "\n", "\r\n"))
}

func newPool() *transport.Pool {
	dial := transport.Dial(transport.Timeouts{Connect: time.Second, DeadPeer: time.Second})
	return transport.NewPool(dial, transport.DefaultSettings())
}

func request() *http.Request {
	return &http.Request{Method: "GET", URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
}

// get sends a request whose response has the id 1, and returns the body of the response.
func get(t *testing.T, p *transport.Pool, address string, reuse transport.Reuse) (string, error) {
	t.Helper()
	x, err := p.Open(context.Background(), address, reuse)
	if err != nil {
		return "", err
	}
	defer x.Close()
	req := request()
	if err := x.Send(req); err != nil {
		return "", err
	}
	resp, err := x.Receive(req, func(r *http.Response) bool { return r.Header.Get("Id") == "1" })
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestPoolReusesIdleConnections(t *testing.T) {
	tests := []struct {
		name      string
		response  string
		reuse     transport.Reuse
		wantConns int32
	}{
		{"reused", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok", transport.ReuseIdle, 1},
		{"new connection each time", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok", transport.DialNew, 3},
		{"closed by the target", "HTTP/1.1 200 OK\nId: 1\nConnection: close\nContent-Length: 2\n\nok", transport.ReuseIdle, 3},
		{"keep-alive time within the margin", "HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=1\nContent-Length: 2\n\nok", transport.ReuseIdle, 3},
		{"data after the response", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nokHTTP/1.1 200 OK\nId: 0\nContent-Length: 0\n\n", transport.ReuseIdle, 3},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
				write(w, tc.response)
				return true
			})
			pool := newPool()
			defer pool.Close()
			for range 3 {
				if body, err := get(t, pool, server.address(), tc.reuse); body != "ok" || err != nil {
					t.Fatalf("got body %q, error %v; want \"ok\"", body, err)
				}
			}
			if n := server.conns.Load(); n != tc.wantConns {
				t.Errorf("%d connections were opened, want %d", n, tc.wantConns)
			}
		})
	}
}

func TestReceiveSkipsResponsesToOtherRequests(t *testing.T) {
	server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
		write(w, "HTTP/1.1 200 OK\nId: late\nContent-Length: 5\n\nwrongHTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nId: 1\nContent-Length: 5\n\nright")
		return true
	})
	pool := newPool()
	defer pool.Close()
	if body, err := get(t, pool, server.address(), transport.ReuseIdle); body != "right" || err != nil {
		t.Errorf("got body %q, error %v; want \"right\"", body, err)
	}
}

func TestReceiveFailsAfterTooManyForeignResponses(t *testing.T) {
	server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
		write(w, strings.Repeat("HTTP/1.1 200 OK\nId: late\nContent-Length: 1\n\nx", 10))
		return true
	})
	if body, err := get(t, newPool(), server.address(), transport.ReuseIdle); err == nil {
		t.Errorf("got body %q, want an error after 10 responses to other requests", body)
	}
}

func TestReceiveReportsTruncatedResponses(t *testing.T) {
	tests := map[string]string{
		"short body":     "HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\n\nok",
		"cut chunk":      "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n5\nok",
		"no last chunk":  "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n2\nok\n",
		"no response":    "",
		"not a response": "hello there\n\n",
		"cut header":     "HTTP/1.1 200 OK\nId:",
		"invalid header": "HTTP/1.1 200 OK\n: :\x00\n\n",
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
				write(w, response)
				return false
			})
			if body, err := get(t, newPool(), server.address(), transport.ReuseIdle); err == nil {
				t.Errorf("got %q as a complete response", body)
			}
		})
	}
}

func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
		write(w, "HTTP/1.1 200 OK\nId: 1\n\nwhole")
		return false
	})
	if body, err := get(t, newPool(), server.address(), transport.ReuseIdle); body != "whole" || err != nil {
		t.Errorf("got body %q, error %v; want \"whole\"", body, err)
	}
	reset := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
		write(w, "HTTP/1.1 200 OK\nId: 1\n\nhal")
		_ = w.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
		return false
	})
	if body, err := get(t, newPool(), reset.address(), transport.ReuseIdle); err == nil {
		t.Errorf("got %q as a complete response although the connection was reset", body)
	}
}

func TestSentReportsWhetherAByteMayHaveLeft(t *testing.T) {
	pool := newPool()
	server := newScriptedServer(t, func(int, net.Conn, *http.Request) bool { return false })
	x, err := pool.Open(context.Background(), server.address(), transport.DialNew)
	if err != nil {
		t.Fatal(err)
	}
	if x.Sent() {
		t.Error("Sent is true before the request was written")
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.CloseWhenDone(ctx)
	cancel()
	for x.Send(request()) == nil { // another goroutine closes the connection; Send fails from then on
	}
	x.Close()

	y, err := pool.Open(context.Background(), server.address(), transport.DialNew)
	if err != nil {
		t.Fatal(err)
	}
	if err := y.Send(request()); err != nil || !y.Sent() {
		t.Errorf("after Send: Sent = %v, error %v; want true and no error", y.Sent(), err)
	}
	y.Close()
}

// TestSentHoldsAfterConnectionIsReused guards against a request that is sent again although it ran, and against a race: whether a request was sent
// is asked after its exchange has ended, when its connection may carry another request.
func TestSentHoldsAfterConnectionIsReused(t *testing.T) {
	pool := newPool()
	server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
		write(w, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n")
		return true
	})
	exchange := func() *transport.Exchange {
		x, err := pool.Open(t.Context(), server.address(), transport.ReuseIdle)
		if err != nil {
			t.Fatal(err)
		}
		req := request()
		if err := x.Send(req); err != nil {
			t.Fatal(err)
		}
		resp, err := x.Receive(req, func(*http.Response) bool { return true })
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		x.Close()
		return x
	}
	first := exchange()
	if !first.Sent() {
		t.Error("Sent is false after a complete exchange")
	}
	var other sync.WaitGroup
	other.Go(func() {
		if !exchange().Reused() {
			t.Error("the connection was not used again")
		}
	})
	if !first.Sent() {
		t.Error("Sent is false while the connection carries another request")
	}
	other.Wait()
}

// scriptedConn is a connection on which each write ends as the next of the results states.
type scriptedConn struct {
	net.Conn
	results []writeResult
}

type writeResult struct {
	n   int // bytes written; -1 for all
	err error
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	r := c.results[0]
	if len(c.results) > 1 {
		c.results = c.results[1:]
	}
	if r.n < 0 {
		return len(b), r.err
	}
	return r.n, r.err
}

func (*scriptedConn) Close() error { return nil }

// TestSentStaysTrueOnceAByteMayHaveLeft guards against a refusal that states "not run" for a request of
// which the target has received a part. A request that exceeds the write buffer goes out in several
// writes, and the connection may be closed between two of them.
func TestSentStaysTrueOnceAByteMayHaveLeft(t *testing.T) {
	all := writeResult{n: -1}
	for _, tc := range []struct {
		name    string
		results []writeResult
		sent    bool
	}{
		{"closed before the first write", []writeResult{{0, net.ErrClosed}}, false},
		{"closed between two writes", []writeResult{all, {0, net.ErrClosed}}, true},
		{"closed within the first write", []writeResult{{83, net.ErrClosed}}, true},
		{"first write fails for another reason", []writeResult{{0, syscall.ECONNRESET}}, true},
		{"second write fails for another reason", []writeResult{all, {0, syscall.ECONNRESET}}, true},
		{"first write times out", []writeResult{{0, os.ErrDeadlineExceeded}}, true},
		{"all is written", []writeResult{all}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pool := transport.NewPool(func(context.Context, string) (net.Conn, error) {
				return &scriptedConn{results: tc.results}, nil
			}, transport.DefaultSettings())
			x, err := pool.Open(t.Context(), "10.0.0.1:80", transport.DialNew)
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			req := request()
			req.Method, req.ContentLength = http.MethodPost, 64<<10
			req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 64<<10)))
			err = x.Send(req)
			if x.Sent() != tc.sent {
				t.Errorf("Sent = %v after Send returned %v, want %v", x.Sent(), err, tc.sent)
			}
		})
	}
}

func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
		var b [1]byte
		_, err := w.Read(b[:])
		closed <- err
		return false
	})
	x, err := newPool().Open(context.Background(), server.address(), transport.ReuseIdle)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.CloseWhenDone(ctx)
	if err := x.Send(request()); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := x.Receive(request(), func(*http.Response) bool { return true }); err == nil {
		t.Error("received a response on a closed connection")
	}
	if err := <-closed; err == nil {
		t.Error("the connection stayed open on the target's side")
	}
	x.Close()
}

// TestPoolSkipsConnectionsClosedByTarget guards against requests that are written to a connection
// whose end has already arrived: they would be lost.
func TestPoolSkipsConnectionsClosedByTarget(t *testing.T) {
	server := newScriptedServer(t, func(_ int, w net.Conn, _ *http.Request) bool {
		write(w, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok")
		return false // closes without a "Connection: close" header
	})
	var opened net.Conn
	dial := transport.Dial(transport.Timeouts{Connect: time.Second, DeadPeer: time.Second})
	pool := transport.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		opened = c
		return c, err
	}, transport.DefaultSettings())
	defer pool.Close()
	if _, err := get(t, pool, server.address(), transport.ReuseIdle); err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, opened.(*net.TCPConn))
	x, err := pool.Open(t.Context(), server.address(), transport.ReuseIdle)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	if x.Reused() {
		t.Error("the pool returned a connection that the target had closed")
	}
}

// awaitEnd waits until the end of the connection has arrived, and leaves it to be read.
func awaitEnd(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n == 0 && err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestOpenReturnsDialError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = newPool().Open(context.Background(), address, transport.ReuseIdle)
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		t.Errorf("got error %v, want a *net.OpError of the operation dial", err)
	}
}
