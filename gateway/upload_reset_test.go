package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"clovertrail.dev/catalog"
)

const (
	// maxUploadBytes is the limit of bodies in tests of uploads, and uploadBytes more than the buffers of a connection to an
	// uploadTarget hold, so that the upload is still under way as the target responds.
	maxUploadBytes = 16 << 20
	uploadBytes    = 12 << 20
	// uploadBufferBytes is the receive buffer of an uploadTarget.
	uploadBufferBytes = 64 << 10
	// uploadReadBytes is how much of an upload an uploadTarget reads before it responds.
	uploadReadBytes = 1000
)

// closing is how an uploadTarget ends a connection.
type closing int

const (
	byReset  closing = iota // at once, by a reset
	unread                  // with bytes that were not read, on which the kernel sends a reset
	inOrder                 // with the end of the response, and a reset only on what arrives after that
	notAtAll                // the connection stays open, and nothing is read any more
)

// uploadResponse is a response that an uploadTarget sends while the upload is under way.
type uploadResponse struct {
	text  string // as the scripts of targets
	delay time.Duration
	close closing
}

// uploadTarget is a target that reads the beginning of a request, sends its response, and ends the connection. Its process lives on.
type uploadTarget struct {
	*target
	response uploadResponse
	ended    chan struct{} // closed at the end of the test
}

func newUploadTarget(t *testing.T, name string, response uploadResponse) *uploadTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x := &uploadTarget{target: &target{name: name, l: l}, response: response, ended: make(chan struct{})}
	t.Cleanup(func() { close(x.ended) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c.(*net.TCPConn))
		}
	}()
	return x
}

func (x *uploadTarget) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadBuffer(uploadBufferBytes) // fails only on a closed connection
	r := bufio.NewReaderSize(c, 16)        // reads little of the body with the head
	head := textproto.NewReader(r)
	line, err := head.ReadLine()
	if err != nil {
		return
	}
	if _, err := head.ReadMIMEHeader(); err != nil {
		return
	}
	if strings.Fields(line)[1] == checkPath {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") // fails only if the box has closed the connection
		return
	}
	_, _ = io.CopyN(io.Discard, r, uploadReadBytes)
	_, _ = io.WriteString(c, wireFormat.Replace(x.response.text))
	time.Sleep(x.response.delay)
	switch x.response.close {
	case byReset:
		_ = c.SetLinger(0)
	case inOrder:
		_ = c.CloseWrite()
		awaitReceived(c)
	case notAtAll:
		<-x.ended
	}
}

// awaitReceived waits until the other side's kernel has received all that was sent, which a reset would discard otherwise.
func awaitReceived(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	for queued := 1; err == nil && queued > 0; time.Sleep(time.Millisecond) {
		err = raw.Control(func(fd uintptr) {
			if queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
				queued = 0
			}
		})
	}
}

// newUploadFixture returns a fixture whose configuration allows uploads.
func newUploadFixture(t *testing.T, targets ...*uploadTarget) *fixture {
	t.Helper()
	list := make([]*target, len(targets))
	for i, x := range targets {
		list[i] = x.target
	}
	r := newFixture(t, list...)
	limits := catalog.DefaultLimits()
	limits.BodyBytes = maxUploadBytes
	r.g.Configure(routesWithLimits(t, limits))
	return r
}

func upload() string { return strings.Repeat("x", uploadBytes) }

var closeNames = map[closing]string{byReset: "reset", unread: "close with unread bytes", inOrder: "end in order"}

// TestResetDuringUploadIsNoEnd guards against a part of a response that passes as the whole: the target responds before it has read
// the request, and its connection is reset while the rest of the request is being sent.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	one, two := marked("id: 1\ndata: a\n\n"), marked("id: 2\ndata: b\n\n")
	failure := strings.Replace(unframed, "200 OK", "500 Oops", 1)
	tests := []struct {
		name, path    string
		first, second string
		status        int
		body          string // of a complete response of a target
		broken        bool
		verdicts      []string
	}{
		{"not repeatable", "/once/", unframed + "hel", ok, 502, "", false, []string{"a bad"}},
		{"repeated", "/repeat/", unframed + "hel", ok, 200, "hello", false, []string{"a bad", "b good"}},
		{"no body", "/once/", unframed, ok, 502, "", false, []string{"a bad"}},
		{"failure", "/once/", failure + "oo", ok, 502, "", false, []string{"a bad"}},
		{"stream", "/stream-once/", unframedStream + one, ok, 200, "id: 1\ndata: a\n\n", true, []string{"a bad"}},
		{"stream without an event", "/stream-once/", unframedStream, ok, 502, "", false, []string{"a bad"}},
		{"stream, resumed", "/stream/", unframedStream + one, secondHead + rawChunk(two) + lastChunk, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, []string{"a bad", "b good"}},
		{"stream, resumed and reset again", "/stream/", unframedStream + one, unframedStream + two, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, []string{"a bad", "b bad"}},
		{"stream, resumed without an event and reset again", "/stream/", unframedStream + one, unframedStream, 200, "id: 1\ndata: a\n\n", true, []string{"a bad", "b bad"}},
	}
	for _, tc := range tests {
		for _, how := range []closing{byReset, unread} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s after %v", tc.name, closeNames[how], delay), func(t *testing.T) {
					a := newUploadTarget(t, "a", uploadResponse{tc.first, delay, how})
					b := newUploadTarget(t, "b", uploadResponse{tc.second, delay, how})
					r := newUploadFixture(t, a, b)
					got := r.request(http.MethodPost, tc.path, upload())
					r.server.Close()
					signed := got.header.Get("Signed") != ""
					if got.status != tc.status || got.broken != tc.broken || signed != (tc.body != "") {
						t.Errorf("status %d, broken %v, signed %v", got.status, got.broken, signed)
					}
					if signed && got.body != tc.body {
						t.Errorf("body %q", got.body)
					}
					if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
						t.Errorf("verdicts %v, want %v", r.fleet.verdicts, tc.verdicts)
					}
				})
			}
		}
	}
}

// TestTimeoutDuringUploadIsNoEnd guards against a part of a response that passes as the whole: the target reads no more of the request,
// and sending it times out.
func TestTimeoutDuringUploadIsNoEnd(t *testing.T) {
	tests := []struct {
		name, path, first string
		status            int
		broken            bool
	}{
		{"plain", "/once/", unframed + "hel", 502, false},
		{"stream", "/stream-once/", unframedStream + marked("id: 1\ndata: a\n\n"), 200, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newUploadFixture(t, newUploadTarget(t, "a", uploadResponse{tc.first, 0, notAtAll}))
			if got := r.request(http.MethodPost, tc.path, upload()); got.status != tc.status || got.broken != tc.broken {
				t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
			}
		})
	}
}

// TestWholeResponsesBeforeEndOfUpload guards against responses that are lost although they are whole: early refusals, and others that
// the target sends before it has read the request.
func TestWholeResponsesBeforeEndOfUpload(t *testing.T) {
	event := marked("id: 1\ndata: a\n\n")
	refused := strings.Replace(ok, "200 OK", "413 Too Long", 1)
	either := []closing{byReset, unread, inOrder}
	tests := []struct {
		name, path string
		first      string
		closes     []closing
		status     int
		body       string
		verdicts   []string
	}{
		{"length", "/once/", ok, either, 200, "hello", []string{"a good"}},
		{"chunks", "/once/", "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n", either, 200, "hello", []string{"a good"}},
		{"no content", "/once/", "HTTP/1.1 204 No Content\nSigned: 1\nId: 1\n\n", either, 204, "", []string{"a good"}},
		{"refusal", "/once/", refused, either, 413, "hello", []string{"a good"}},
		{"failure", "/once/", failed, either, 500, "oops", []string{"a bad"}},
		{"declined", "/once/", busy, either, 200, "other", []string{"a full", "b good"}},
		{"declined without a length", "/once/", "HTTP/1.1 503 Busy\nNot-Run: 1\n\nbus", either, 200, "other", []string{"a full", "b good"}},
		{"another instance", "/once/", misdirected, either, 200, "other", []string{"a replaced", "b good"}},
		{"stream", "/stream-once/", streamHead + rawChunk(event) + lastChunk, either, 200, "id: 1\ndata: a\n\n", []string{"a good"}},
		{"ends with its connection", "/once/", unframed + "hello", []closing{inOrder}, 200, "hello", []string{"a good"}},
		{"stream that ends with its connection", "/stream-once/", unframedStream + event, []closing{inOrder}, 200, "id: 1\ndata: a\n\n", []string{"a good"}},
	}
	for _, tc := range tests {
		for _, how := range tc.closes {
			for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s after %v", tc.name, closeNames[how], delay), func(t *testing.T) {
					a := newUploadTarget(t, "a", uploadResponse{tc.first, delay, how})
					b := newUploadTarget(t, "b", uploadResponse{strings.Replace(ok, "hello", "other", 1), 0, inOrder})
					r := newUploadFixture(t, a, b)
					got := r.request(http.MethodPost, tc.path, upload())
					r.server.Close()
					if got.status != tc.status || got.broken || got.body != tc.body {
						t.Errorf("status %d, broken %v, body %.60q", got.status, got.broken, got.body)
					}
					if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
						t.Errorf("verdicts %v, want %v", r.fleet.verdicts, tc.verdicts)
					}
				})
			}
		}
	}
}
