package mesh_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"clovertrail.dev/mesh"
)

// replayConn is a connection on which a reply arrives once a request is written, and then the end of the connection, unless it stays
// open.
type replayConn struct {
	net.Conn
	reply     io.Reader
	staysOpen bool

	requested, closed chan struct{}
	request, end      sync.Once
}

func newReplayConn(reply []byte, staysOpen bool) *replayConn {
	return &replayConn{reply: bytes.NewReader(reply), staysOpen: staysOpen, requested: make(chan struct{}), closed: make(chan struct{})}
}

func (c *replayConn) Write(p []byte) (int, error) {
	c.request.Do(func() { close(c.requested) })
	return len(p), nil
}

func (c *replayConn) Read(p []byte) (int, error) {
	select {
	case <-c.requested:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	n, err := c.reply.Read(p)
	if errors.Is(err, io.EOF) && c.staysOpen {
		<-c.closed
	}
	return n, err
}

func (c *replayConn) Close() error {
	c.end.Do(func() { close(c.closed) })
	return nil
}

// writeRecorder keeps what is written to a connection.
type writeRecorder struct {
	net.Conn
	written []byte
}

func (r *writeRecorder) Write(p []byte) (int, error) {
	r.written = append(r.written, p...)
	return r.Conn.Write(p)
}

// recordReply returns the bytes of a reply.
func recordReply(t *testing.T, reply *mesh.HallReport) []byte {
	t.Helper()
	m := mesh.NewMux()
	mesh.Handle(m, mesh.QueryHall, func(context.Context, *mesh.HallQuery) (*mesh.HallReport, error) { return reply, nil })
	l := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = mesh.Serve(ctx, l, m)
		close(done)
	}()
	client, server := net.Pipe()
	r := &writeRecorder{Conn: server}
	l.conns <- r
	if _, err := callOver(t, client); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-done
	return r.written
}

// callOver makes a call over the connection, and closes it.
func callOver(t *testing.T, n net.Conn) (*mesh.HallReport, error) {
	t.Helper()
	c := mesh.NewClient(func(context.Context, string) (net.Conn, error) { return n, nil }, func(mesh.Method, int, int) {})
	defer func() { _ = c.Close() }()
	return mesh.Call[mesh.HallQuery, mesh.HallReport](callContext(t), c, "box", mesh.QueryHall, &mesh.HallQuery{})
}

// TestCutRepliesAreErrors guards against a part of a reply, or an empty one, that counts as the reply of another box, which stopped after
// any byte and closed.
func TestCutRepliesAreErrors(t *testing.T) {
	reply := &mesh.HallReport{Targets: make([]mesh.TargetStatus, 3)}
	raw := recordReply(t, reply)
	for n := range raw {
		got, err := callOver(t, newReplayConn(raw[:n], false))
		if err == nil && len(got.Targets) != len(reply.Targets) {
			t.Errorf("after %d of %d bytes: %+v counts", n, len(raw), got)
		}
		if errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("after %d of %d bytes: the end of the connection is not noticed", n, len(raw))
		}
	}
	if got, err := callOver(t, newReplayConn(raw, true)); err != nil || len(got.Targets) != len(reply.Targets) {
		t.Errorf("the whole reply: %+v, %v", got, err)
	}
}
