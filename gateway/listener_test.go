package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/gateway"
	"clovertrail.dev/node/process"
)

// pipes is a net.Listener with in-memory connections.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{} }

func (p *pipes) dial() net.Conn {
	near, far := net.Pipe()
	p.conns <- far
	return near
}

// requestOn sends a request on the connection and returns the response body.
func requestOn(c net.Conn) (string, error) {
	req, _ := http.NewRequest(http.MethodGet, "http://box/", http.NoBody)
	if err := req.Write(c); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// runListener runs f with a Listener whose handler takes two seconds.
func runListener(t *testing.T, f func(p *pipes, l *gateway.Listener)) {
	synctest.Test(t, func(t *testing.T) {
		slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Second)
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "whole")
		})
		p := newPipes()
		l := gateway.NewListener(&http.Server{Handler: slow, ReadHeaderTimeout: time.Minute})
		served := make(chan error, 1)
		go func() { served <- l.Serve(p) }()
		f(p, l)
		if err := <-served; err != nil {
			t.Errorf("Serve returned %v", err)
		}
	})
}

func TestStopServesRequestsOnAcceptedConnections(t *testing.T) {
	tests := []struct {
		name      string
		sendAfter time.Duration // after the connection was accepted; Stop is called after one second
	}{
		{"request in flight", 500 * time.Millisecond},
		{"request on a connection accepted just before", 1100 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			runListener(t, func(p *pipes, l *gateway.Listener) {
				c := p.dial()
				response := make(chan string, 1)
				go func() {
					time.Sleep(tc.sendAfter)
					body, err := requestOn(c)
					if err != nil {
						t.Error(err)
					}
					response <- body
				}()
				time.Sleep(time.Second)
				if err := l.Stop(context.Background()); err != nil {
					t.Error(err)
				}
				if got := <-response; got != "whole" {
					t.Errorf("the caller got body %q", got)
				}
			})
		})
	}
}

func TestStopServesRequestOnIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		whole := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "whole")
		})
		first := true
		l := gateway.NewListener(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if first {
				first = false
				_, _ = io.WriteString(w, "kept")
				return
			}
			whole(w, r)
		}), ReadHeaderTimeout: time.Minute})
		p := newPipes()
		go func() { _ = l.Serve(p) }()
		c := p.dial()
		if got, err := requestOn(c); got != "kept" || err != nil {
			t.Fatal(got, err)
		}
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- l.Stop(context.Background()) }()
		synctest.Wait() // until the final read of the idle connection is pending
		if got, err := requestOn(c); got != "whole" || err != nil {
			t.Errorf("the caller got body %q, error %v", got, err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// pausedListener does not accept connections until it is resumed, like that of a process which is not scheduled.
type pausedListener struct {
	*net.TCPListener
	resumed chan struct{}
}

func (p pausedListener) Accept() (net.Conn, error) {
	<-p.resumed
	return p.TCPListener.Accept()
}

// TestStopServesRequestsOfBacklog guards against requests on connections that were opened while the process was not
// scheduled, and that the planned stop resets as it closes the listening socket.
func TestStopServesRequestsOfBacklog(t *testing.T) {
	inner, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "whole")
	})
	l, p := gateway.NewListener(&http.Server{Handler: answer, ReadHeaderTimeout: time.Minute}), pausedListener{inner, make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- l.Serve(p) }()
	var callers sync.WaitGroup
	for range 5 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		callers.Go(func() {
			defer func() { _ = c.Close() }()
			if body, err := requestOn(c); err != nil || body != "whole" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
	stopped := make(chan error, 1)
	go func() { stopped <- l.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond) // the pause goes on after the stop has begun
	close(p.resumed)
	callers.Wait()
	if err := errors.Join(<-stopped, <-served); err != nil {
		t.Error(err)
	}
}

// lateListener is closed some time after the process has decided to close it, as on a busy machine.
type lateListener struct {
	*net.TCPListener
	beforeClose func()
}

func (l lateListener) Close() error {
	l.beforeClose()
	return l.TCPListener.Close()
}

// TestStopResetsNoNewConnection guards against connections that open between the last one that the planned stop accepts and the close of
// the listening socket, which resets them.
func TestStopResetsNoNewConnection(t *testing.T) {
	inner, err := process.MachineNetwork().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := make(chan net.Conn, 1)
	p := lateListener{inner.(*net.TCPListener), func() {
		c, err := net.DialTimeout("tcp", inner.Addr().String(), 200*time.Millisecond)
		if err == nil {
			opened <- c
		}
	}}
	l := gateway.NewListener(&http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute})
	served := make(chan error, 1)
	go func() { served <- l.Serve(p) }()
	if err := errors.Join(l.Stop(context.Background()), <-served); err != nil {
		t.Error(err)
	}
	select {
	case c := <-opened:
		_, err := requestOn(c)
		t.Errorf("a connection opened that nothing serves: %v", err)
		_ = c.Close()
	default:
	}
}

func TestStopClosesSilentConnections(t *testing.T) {
	runListener(t, func(p *pipes, l *gateway.Listener) {
		silent, idle := p.dial(), p.dial()
		if _, err := requestOn(idle); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := l.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("Stop took %v", took)
		}
		for _, c := range []net.Conn{silent, idle} {
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("reading a connection returned %v, want EOF", err)
			}
		}
	})
}

func TestStopEndsAtContextDeadline(t *testing.T) {
	runListener(t, func(p *pipes, l *gateway.Listener) {
		go func() { _, _ = requestOn(p.dial()) }() // its connection is closed by Stop
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		if err := l.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Stop returned %v", err)
		}
		time.Sleep(2 * time.Second) // lets the handler end
	})
}
