package transport_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"clovertrail.dev/transport"
)

// readerConn is a connection from which the bytes of a reader arrive.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c readerConn) Read(p []byte) (int, error)  { return c.Reader.Read(p) }
func (c readerConn) Write(p []byte) (int, error) { return len(p), nil }
func (c readerConn) Close() error                { return nil }

// FuzzReceive receives any bytes as responses, which must be the same wherever they are split, and bounded.
func FuzzReceive(f *testing.F) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	f.Add([]byte(ok))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 5\r\n\r\nwrong" + ok))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2;x=y\r\nok\r\n0\r\nT: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("T: 1\r\n", 1000)))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;" + strings.Repeat("x", 8<<10)))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 20<<10) + "\r\n"))
	f.Add([]byte("HTTP/1.1 000 OK\r\n\r\n" + ok))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		receive := func(split splitFunc) (string, error) {
			pool := transport.NewPool(func(context.Context, string) (net.Conn, error) {
				return readerConn{Reader: split(bytes.NewReader(raw))}, nil
			}, transport.DefaultSettings())
			return get(t, pool, "server", transport.DialNew)
		}
		body, err := receive(whole)
		split, splitErr := receive(iotest.OneByteReader)
		if body != split || (err == nil) != (splitErr == nil) {
			t.Errorf("%.200q: got %.100q, %v; in single bytes %.100q, %v", raw, body, err, split, splitErr)
		}
		if err == nil && !strings.Contains(string(raw), "1") {
			t.Errorf("%.200q: accepted as the own response", raw)
		}
	})
}
