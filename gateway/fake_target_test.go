package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// target is a fake target that answers each request with the next response of its script, and then
// closes the connection if that response has neither a Content-Length header nor a final chunk.
type target struct {
	name string
	l    net.Listener

	mu        sync.Mutex
	script    []string
	straggler bool            // reported by IsStraggler
	ending    bool            // the process ends: its listener is open, but nothing is served any more
	unserved  []net.Conn      // connections that arrived while the process was ending
	proceed   <-chan struct{} // releases the part of a response after wait
	received  []*http.Request
	bodies    []string
	checks    int   // health checks
	endless   []int // bytes of each response without end that were accepted until its connection was closed
}

func newTarget(t *testing.T, name string, script ...string) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &target{name: name, l: l, script: script}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if x.addUnserved(c) {
				continue
			}
			go x.serve(c)
		}
	}()
	return x
}

// lineFeed stands in a scripted response for a line feed that is not the end of an HTTP line.
const lineFeed = "\x00"

var wireFormat = strings.NewReplacer("\n", "\r\n", lineFeed, "\n")

// checkPath is the path of the health check, which targets respond to besides their scripts.
const checkPath = "/health"

// Markers in a scripted response.
const (
	// hang stops sending and keeps the connection open.
	hang = "(hang)"
	// hangUp closes the connection.
	hangUp = "(hang up)"
	// crash closes the connection and the listener of the target.
	crash = "(crash)"
	// slowCrash closes the connection, and the listener of the target some time after it.
	slowCrash = "(slow crash)"
	// reset closes the connection with a reset.
	reset = "(reset)"
	// bulk sends bulkBytes after the rest, in pieces.
	bulk = "(bulk)"
	// wait delays the part after it.
	wait = "(wait)"
	// endless repeats the part after it until the box closes the connection, and sends no more after maxEndlessBytes.
	endless = "(endless)"
)

func (x *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		if req.URL.Path == checkPath {
			x.countCheck()
			_, _ = io.WriteString(c, wireFormat.Replace("HTTP/1.1 200 OK\nContent-Length: 0\n\n")) // fails only if the box has closed the connection
			continue
		}
		text := x.next(req, string(body))
		if begin, repeated, ok := strings.Cut(text, endless); ok {
			x.sendEndlessly(c, wireFormat.Replace(begin), wireFormat.Replace(repeated))
			return
		}
		text, bulky := strings.CutSuffix(text, bulk)
		text, hangs := strings.CutSuffix(text, hang)
		text, ends := strings.CutSuffix(text, hangUp)
		text, resets := strings.CutSuffix(text, reset)
		text, crashes := strings.CutSuffix(text, crash)
		text, crashesSlowly := strings.CutSuffix(text, slowCrash)
		for i, part := range strings.Split(text, wait) {
			if i > 0 {
				<-x.proceed
			}
			_, _ = io.WriteString(c, wireFormat.Replace(part))
		}
		if bulky {
			writeBulk(c)
		}
		if hangs {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		if resets {
			_ = c.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed already
			return
		}
		if crashes {
			_ = x.l.Close() // further connections are refused
			return
		}
		if crashesSlowly {
			x.endSlowly()
			return
		}
		if ends || !strings.Contains(text, "Content-Length") && !strings.HasSuffix(text, "0\n\n") {
			return
		}
	}
}

// endSlowly ends the process as the kernel does if it has many sockets: its listener is open until a connection has arrived and
// for some time after that, and the connections that arrive are reset at the end.
func (x *target) endSlowly() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ending = true
}

// addUnserved reports whether the process is ending, and keeps the connection in that case.
func (x *target) addUnserved(c net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.ending {
		return false
	}
	if x.unserved = append(x.unserved, c); len(x.unserved) == 1 {
		time.AfterFunc(20*time.Millisecond, x.resetUnserved)
	}
	return true
}

// resetUnserved ends the process.
func (x *target) resetUnserved() {
	_ = x.l.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.unserved {
		_ = c.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed already
		_ = c.Close()
	}
}

// bulkBytes is more than the buffers of two connections hold.
const bulkBytes = 16 << 20

// writeBulk writes bulkBytes, unless the box closes the connection.
func writeBulk(c net.Conn) {
	piece := make([]byte, 64<<10)
	for range bulkBytes / len(piece) {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}

// maxEndlessBytes is more than the buffers of two connections hold, and than the box may read.
const maxEndlessBytes = 64 << 20

// sendEndlessly returns once the box has closed the connection.
func (x *target) sendEndlessly(c net.Conn, begin, repeated string) {
	piece := strings.Repeat(repeated, max((32<<10)/len(repeated), 1))
	sent, err := io.WriteString(c, begin)
	for err == nil && sent < maxEndlessBytes {
		var n int
		n, err = io.WriteString(c, piece)
		sent += n
	}
	_, _ = io.Copy(io.Discard, c) // an error shows that it is closed, too
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endless = append(x.endless, sent)
}

// endlessBytes waits until n connections with responses without end have been closed, and returns the bytes accepted on each.
func (x *target) endlessBytes(t *testing.T, n int) []int {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		x.mu.Lock()
		list := slices.Clone(x.endless)
		x.mu.Unlock()
		switch {
		case len(list) >= n:
			return list
		case time.Now().After(end):
			t.Fatalf("%d connections of %s were closed within 20 s, want %d", len(list), x.name, n)
		}
	}
}

func (x *target) healthChecks() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.checks
}

func (x *target) countCheck() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.checks++
}

func (x *target) next(r *http.Request, body string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.received = append(x.received, r)
	x.bodies = append(x.bodies, body)
	if len(x.script) == 0 {
		return ""
	}
	text := x.script[0]
	x.script = x.script[1:]
	return text
}

func (x *target) requests() []*http.Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.received
}
