package transport_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"clovertrail.dev/transport"
)

// failingWriter is a connection on which writes fail, and from which a response and an ordinary end of the connection are read.
type failingWriter struct {
	readerConn
	err error
}

func (c failingWriter) Write(p []byte) (int, error) {
	if c.err == nil {
		return len(p), nil
	}
	return len(p) / 2, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.err)}
}

// TestLostConnectionIsNoEnd guards against a part of a response that counts as complete: a write received the error with which the
// connection was lost, so that the end that is read after it does not show whether the response is complete.
func TestLostConnectionIsNoEnd(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\nId: 1\n\nok"
		length   = "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok"
		chunked  = "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n"
		cut      = "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n2\nok\n"
	)
	tests := []struct {
		method, response string
		write            error
		complete         bool
	}{
		{"POST", unframed, nil, true},
		{"POST", unframed, syscall.ECONNRESET, false},
		{"POST", unframed, syscall.ETIMEDOUT, false},
		{"POST", unframed, syscall.EHOSTUNREACH, false},
		{"POST", unframed, syscall.EPIPE, true}, // the end of the connection arrived before the reset
		{"POST", length, syscall.ECONNRESET, true},
		{"POST", length, syscall.ETIMEDOUT, true},
		{"POST", chunked, syscall.ECONNRESET, true},
		{"POST", cut, syscall.ECONNRESET, false},
		{"POST", strings.Replace(unframed, "200 OK", "204 No Content", 1), syscall.ECONNRESET, true},
		{"HEAD", unframed, syscall.ECONNRESET, true},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprintf("%s, %.60q, %v", tc.method, tc.response, tc.write), func(t *testing.T) {
			p := transport.NewPool(func(context.Context, string) (net.Conn, error) {
				return failingWriter{readerConn{Reader: strings.NewReader(strings.ReplaceAll(tc.response, "\n", "\r\n"))}, tc.write}, nil
			}, transport.DefaultSettings())
			x, err := p.Open(t.Context(), "server", transport.DialNew)
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			req := request()
			req.Method = tc.method
			if err := x.Send(req); (err != nil) != (tc.write != nil) {
				t.Fatalf("Send returned %v", err)
			}
			resp, err := x.Receive(req, func(*http.Response) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(resp.Body); (err == nil) != tc.complete {
				t.Errorf("body %q, error %v; want complete %v", body, err, tc.complete)
			}
		})
	}
}
