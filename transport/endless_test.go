package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"clovertrail.dev/core/limit"
	"clovertrail.dev/transport"
)

const (
	// maxSentBytes is how much a server of these tests sends at most.
	maxSentBytes = 16 << 20
	// maxReadHeadBytes is what may be read of a head without end: its limit, and what is buffered.
	maxReadHeadBytes = 64<<10 + 4<<10
)

// splitConn is a connection whose bytes arrive in pieces.
type splitConn struct {
	net.Conn
	pieces io.Reader
}

func (c splitConn) Read(p []byte) (int, error) { return c.pieces.Read(p) }

// splitFunc returns a reader that reads in pieces.
type splitFunc func(io.Reader) io.Reader

func whole(r io.Reader) io.Reader { return r }

// newPipePool returns a pool whose connections have no buffers, so that what is written is what was read, and a channel that
// receives how many bytes were read of the response: begin, and repeated until the client closes or maxSentBytes are sent.
func newPipePool(begin, repeated string, split splitFunc) (*transport.Pool, <-chan int) {
	sent := make(chan int, 1)
	dial := func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			sent <- writeRepeatedly(server, begin, repeated)
		}()
		return splitConn{client, split(client)}, nil
	}
	return transport.NewPool(dial, transport.DefaultSettings()), sent
}

func crlf(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }

// writeRepeatedly returns how many bytes were written.
func writeRepeatedly(w io.Writer, begin, repeated string) int {
	total, err := io.WriteString(w, begin)
	piece := strings.Repeat(repeated, max(1024/max(len(repeated), 1), 1))
	for err == nil && repeated != "" && total < maxSentBytes {
		var n int
		n, err = io.WriteString(w, piece)
		total += n
	}
	return total
}

func TestReceiveBoundsHeads(t *testing.T) {
	const own = "HTTP/1.1 200 OK\nId: 1\n"
	tests := []struct{ name, begin, repeated string }{
		{"lines without end", own, "Data: x\n"},
		{"short lines without end", own, "a:\n"},
		{"continued line without end", own + "Data: x\n", " x\n"},
		{"line without end", own + "Data: ", "x"},
		{"status line without end", "", "x"},
		{"line feeds without end", own + "Data: x", "\r"},
		{"interim responses without end", "", "HTTP/1.1 100 Continue\n\n"},
		{"interim responses with lines", "", "HTTP/1.1 103 Early Hints\nData: x\n\n"},
		{"head without end after an interim response", "HTTP/1.1 100 Continue\n\n" + own, "Data: x\n"},
		{"head without end after another response", "HTTP/1.1 200 OK\nId: late\nContent-Length: 2\n\nok" + own, "Data: x\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			pool, sent := newPipePool(crlf(tc.begin), crlf(tc.repeated), whole)
			body, err := get(t, pool, "server", transport.DialNew)
			if !limit.IsExceeded(err) {
				t.Errorf("got body %q, error %.100v; want the error of a limit", body, err)
			}
			if n := <-sent; n > maxReadHeadBytes {
				t.Errorf("%d bytes were read before the connection was closed, want %d at most", n, maxReadHeadBytes)
			}
		})
	}
}

// TestLongHeadsAndBodiesPass checks that the limit is that of a head alone, wherever the response is split.
func TestLongHeadsAndBodiesPass(t *testing.T) {
	const maxHead = 64 << 10
	head := func(bytes int) string {
		const begin, end = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 200000\r\nData: ", "\r\n\r\n"
		return begin + strings.Repeat("x", bytes-len(begin)-len(end)) + end
	}
	body := strings.Repeat("b", 200000)
	for name, split := range map[string]splitFunc{"whole": whole, "single bytes": iotest.OneByteReader, "halves": iotest.HalfReader} {
		for _, bytes := range []int{100, 2 << 10, 4 << 10, maxHead - 1, maxHead, maxHead + 1} {
			t.Run(fmt.Sprint(name, " ", bytes), func(t *testing.T) {
				pool, sent := newPipePool(head(bytes)+body, "", split)
				got, err := get(t, pool, "server", transport.DialNew)
				if exceeded := bytes > maxHead; limit.IsExceeded(err) != exceeded || !exceeded && (got != body || err != nil) {
					t.Errorf("got %d bytes, error %v", len(got), err)
				}
				<-sent
			})
		}
	}
}

func TestReceiveBoundsResponsesToOtherRequests(t *testing.T) {
	const maxSkipped = 4 << 20
	chunk := "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n"
	tests := []struct{ name, begin, repeated string }{
		{"long body", "HTTP/1.1 200 OK\nId: late\nContent-Length: 1099511627776\n\n", "x"},
		{"chunks without end", "HTTP/1.1 200 OK\nId: late\nTransfer-Encoding: chunked\n\n", chunk},
		{"body until the connection ends", "HTTP/1.1 200 OK\nId: late\n\n", "x"},
		{"responses without end", "", "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 4\r\n\r\nbody"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			pool, sent := newPipePool(crlf(tc.begin), tc.repeated, whole)
			if body, err := get(t, pool, "server", transport.DialNew); err == nil {
				t.Errorf("got body %q, want an error", body)
			}
			if n := <-sent; n > maxSkipped+8<<10 {
				t.Errorf("%d bytes were read before the connection was closed, want %d at most", n, maxSkipped)
			}
		})
	}
}

// TestReceiveSkipsLongResponses checks that a long late response does not cost the response behind it.
func TestReceiveSkipsLongResponses(t *testing.T) {
	const bytes = 4 << 20
	late := fmt.Sprintf("HTTP/1.1 200 OK\nId: late\nContent-Length: %d\n\n", bytes)
	pool, _ := newPipePool(crlf(late)+strings.Repeat("x", bytes)+crlf("HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok"), "", whole)
	if body, err := get(t, pool, "server", transport.DialNew); body != "ok" || err != nil {
		t.Errorf("got body %q, error %v", body, err)
	}
}

// TestErrorsOfHeadsAreShort guards against log lines with whole heads: the parser quotes a malformed line.
func TestErrorsOfHeadsAreShort(t *testing.T) {
	const maxErrorBytes = 250
	garbage := strings.Repeat("\x01", 60<<10)
	for _, head := range []string{garbage + "\n\n", "HTTP/1.1 200 OK\n" + garbage + "\n\n", "HTTP/1.1 " + garbage + "\n\n", "HTTP/1.1 200 OK\nContent-Length: " + garbage + "\n\n"} {
		pool, _ := newPipePool(crlf(head), "", whole)
		if body, err := get(t, pool, "server", transport.DialNew); err == nil || len(err.Error()) > maxErrorBytes {
			t.Errorf("%.40q: got body %q, error of %d bytes: %.60v", head, body, len(err.Error()), err)
		}
	}
}

// TestTrailersAndExtensionsAreBounded checks what net/http reads between and behind the chunks of a body.
func TestTrailersAndExtensionsAreBounded(t *testing.T) {
	const head, maxReadBytes = "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n", 64 << 10
	tests := []struct{ name, begin, repeated string }{
		{"trailer without end", head + "0\n", "T: 1\n"},
		{"trailer without a line break", head + "0\nT: ", "x"},
		{"extension without end", head + "2;", "x"},
		{"extensions of short chunks", head, "1;" + strings.Repeat("x", 200) + "\nx\n"},
		{"chunk length without end", head, "0"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			pool, sent := newPipePool(crlf(tc.begin), crlf(tc.repeated), whole)
			if body, err := get(t, pool, "server", transport.DialNew); err == nil {
				t.Errorf("got body %q as complete", body)
			}
			if n := <-sent; n > maxReadBytes {
				t.Errorf("%d bytes were read, want %d at most", n, maxReadBytes)
			}
		})
	}
}
