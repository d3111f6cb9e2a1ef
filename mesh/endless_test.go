package mesh_test

import (
	"context"
	"io"
	"net"
	"testing"

	"clovertrail.dev/mesh"
)

// The largest message between processes is 4 MB, the limit of package drpcwire.
const (
	// maxSentBytes is how much is sent without end, maxReadBytes how much of it may be read, with the frames.
	maxSentBytes = 16 << 20
	maxReadBytes = 5 << 20
)

// Bytes without end. A frame is a control byte, the ids of a stream and a message, a length and as many bytes; the last frame of
// a message has the lowest bit of the control byte set.
var (
	longFrame      = []byte{0x04, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x7f}
	unendedFrames  = append([]byte{0x04, 1, 1, 64}, make([]byte, 64)...)
	noFrame        = []byte("data: x\n")
	endlessVarints = []byte{0xff}
)

// sendEndlessly returns how many bytes were written until the other side closed, maxSentBytes at most.
func sendEndlessly(c net.Conn, begin, repeated []byte) int {
	total, err := c.Write(begin)
	var piece []byte
	for len(piece) < 1024 {
		piece = append(piece, repeated...)
	}
	for err == nil && total < maxSentBytes {
		var n int
		n, err = c.Write(piece)
		total += n
	}
	return total
}

var endlessMessages = []struct {
	name            string
	begin, repeated []byte
}{
	{"frame without end", longFrame, []byte("x")},
	{"message without a last frame", nil, unendedFrames},
	{"no frames", nil, noFrame},
	{"number without end", []byte{0x04}, endlessVarints},
}

func TestRepliesWithoutEnd(t *testing.T) {
	for _, tc := range endlessMessages {
		t.Run(tc.name, func(t *testing.T) {
			sent := make(chan int, 1)
			c := mesh.NewClient(func(context.Context, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, server) }()
				go func() {
					sent <- sendEndlessly(server, tc.begin, tc.repeated)
					_ = server.Close()
				}()
				return client, nil
			}, func(mesh.Method, int, int) {})
			defer func() { _ = c.Close() }()
			if _, err := mesh.Call[mesh.Advert, mesh.Advert](callContext(t), c, "box", mesh.ExchangeAdverts, &mesh.Advert{}); err == nil {
				t.Error("bytes without end are accepted as a reply")
			}
			if n := <-sent; n > maxReadBytes {
				t.Errorf("%d bytes were read, want %d at most", n, maxReadBytes)
			}
		})
	}
}

// pipeListener accepts one connection without buffers.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestCallsWithoutEnd(t *testing.T) {
	for _, tc := range endlessMessages {
		t.Run(tc.name, func(t *testing.T) {
			l := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				_ = mesh.Serve(ctx, l, mesh.NewMux())
				close(done)
			}()
			client, server := net.Pipe()
			l.conns <- server
			if n := sendEndlessly(client, tc.begin, tc.repeated); n > maxReadBytes {
				t.Errorf("%d bytes were read, want %d at most", n, maxReadBytes)
			}
			_ = client.Close()
			cancel()
			<-done
		})
	}
}
