package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestAbortedResponsesDoNotLookComplete guards against responses whose end is only the end of the connection, to callers that
// speak HTTP/1.0: the box must not close these properly when it breaks them off.
func TestAbortedResponsesDoNotLookComplete(t *testing.T) {
	one := "id: 1\ndata: a\n\n"
	for _, tc := range []struct {
		name, proto, path, script string
	}{
		{"stream, HTTP/1.0", "HTTP/1.0", "/stream-once/", streamHead + rawChunk(marked(one))},
		{"stream, HTTP/1.1 and close", "HTTP/1.1", "/stream-once/", streamHead + rawChunk(marked(one))},
		{"stream with a length, HTTP/1.0", "HTTP/1.0", "/stream-once/", fmt.Sprintf(lengthHead, 2*len(one)) + marked(one) + hangUp},
		{"long, HTTP/1.0", "HTTP/1.0", "/once/", "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nTransfer-Encoding: chunked\n\n" + rawChunk(longBody)},
		{"long, HTTP/1.1 and close", "HTTP/1.1", "/once/", "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nTransfer-Encoding: chunked\n\n" + rawChunk(longBody)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", tc.script))
			c, err := net.Dial("tcp", r.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nId: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\np", tc.path, tc.proto)
			raw, err := io.ReadAll(c)
			head, body, _ := strings.Cut(string(raw), "\r\n\r\n")
			framed := strings.Contains(head, "Content-Length") || strings.Contains(head, "chunked")
			if err == nil && !framed {
				t.Errorf("%d bytes of a body without length or chunks, and a proper end of the connection; head %q", len(body), head)
			}
			if strings.HasSuffix(body, "0\r\n\r\n") {
				t.Errorf("a last chunk ends the body")
			}
		})
	}
}
