package process_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"clovertrail.dev/node/process"
)

// pipeNetwork opens connections without buffers to a server that sends a head without end, up to maxSentBytes.
type pipeNetwork struct {
	process.Network
	begin, repeated string
	sent            chan int
}

const maxSentBytes = 16 << 20

func (n pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		total, err := io.WriteString(server, n.begin)
		for piece := strings.Repeat(n.repeated, 100); err == nil && total < maxSentBytes; {
			var sent int
			sent, err = io.WriteString(server, piece)
			total += sent
		}
		n.sent <- total
	}()
	return client, nil
}

func TestHTTPClientBoundsHeads(t *testing.T) {
	const maxReadBytes = 64<<10 + 8<<10 // the limit, and what is buffered
	tests := []struct{ name, begin, repeated string }{
		{"lines", "HTTP/1.1 200 OK\r\n", "Data: x\r\n"},
		{"no line break", "HTTP/1.1 200 OK\r\nData: ", "x"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nData: x\r\n\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			n := pipeNetwork{begin: tc.begin, repeated: tc.repeated, sent: make(chan int, 1)}
			resp, err := process.HTTPClient(n).Get("http://server/")
			if err == nil {
				_ = resp.Body.Close()
				t.Error("a response without end was accepted")
			}
			if sent := <-n.sent; sent > maxReadBytes {
				t.Errorf("%d bytes were read, want %d at most", sent, maxReadBytes)
			}
		})
	}
}
