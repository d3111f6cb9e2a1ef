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
)

// pipes is a listener whose connections are made in memory.
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

// askOn sends a request on the connection and gives the answer's body.
func askOn(c net.Conn) (string, error) {
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

// doorRun is a door whose handler takes two seconds.
func doorRun(t *testing.T, f func(p *pipes, d *gateway.Listener)) {
	synctest.Test(t, func(t *testing.T) {
		slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Second)
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "whole")
		})
		p := newPipes()
		d := gateway.NewListener(&http.Server{Handler: slow, ReadHeaderTimeout: time.Minute})
		served := make(chan error, 1)
		go func() { served <- d.Serve(p) }()
		f(p, d)
		if err := <-served; err != nil {
			t.Errorf("serving ended with %v", err)
		}
	})
}

func TestStopServesWhatWasAccepted(t *testing.T) {
	tests := []struct {
		name  string
		sends time.Duration // after the connection was accepted; it stops after a second
	}{
		{"a request under way", 500 * time.Millisecond},
		{"a request on a connection accepted just before", 1100 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			doorRun(t, func(p *pipes, d *gateway.Listener) {
				c := p.dial()
				answer := make(chan string, 1)
				go func() {
					time.Sleep(tc.sends)
					body, err := askOn(c)
					if err != nil {
						t.Error(err)
					}
					answer <- body
				}()
				time.Sleep(time.Second)
				if err := d.Stop(context.Background()); err != nil {
					t.Error(err)
				}
				if got := <-answer; got != "whole" {
					t.Errorf("the caller got %q", got)
				}
			})
		})
	}
}

func TestStopServesWhatCameOnAConnectionThatRested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		whole := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "whole")
		})
		kept := true
		d := gateway.NewListener(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if kept {
				kept = false
				_, _ = io.WriteString(w, "kept")
				return
			}
			whole(w, r)
		}), ReadHeaderTimeout: time.Minute})
		p := newPipes()
		go func() { _ = d.Serve(p) }()
		c := p.dial()
		if got, err := askOn(c); got != "kept" || err != nil {
			t.Fatal(got, err)
		}
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- d.Stop(context.Background()) }()
		synctest.Wait() // the connection is looked at for the last time
		if got, err := askOn(c); got != "whole" || err != nil {
			t.Errorf("the caller got %q, %v", got, err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

func TestStopWaitsForNobodySilent(t *testing.T) {
	doorRun(t, func(p *pipes, d *gateway.Listener) {
		silent, rests := p.dial(), p.dial()
		if _, err := askOn(rests); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := d.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("it took %v", took)
		}
		for _, c := range []net.Conn{silent, rests} {
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("a connection ended with %v", err)
			}
		}
	})
}

func TestStopEndsAtTheLatestWhenTold(t *testing.T) {
	doorRun(t, func(p *pipes, d *gateway.Listener) {
		go func() { _, _ = askOn(p.dial()) }() // it is cut off
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		if err := d.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("it ended with %v", err)
		}
		time.Sleep(2 * time.Second) // for the handler to end
	})
}
