package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Answers of targets.
const (
	ok       = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nContent-Length: 5\n\nhello"
	failed   = "HTTP/1.1 500 Oops\nSigned: 1\nId: 1\nContent-Length: 4\n\noops"
	busy     = "HTTP/1.1 503 Busy\nNot-Run: 1\nContent-Length: 0\n\n"
	moved    = "HTTP/1.1 421 Misdirected\nContent-Length: 0\n\n"
	unsigned = "HTTP/1.1 200 OK\nId: 1\nContent-Length: 5\n\nwrong"
	cut      = head9 + hangUp
	head9    = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nContent-Length: 9\n\nhel"
	late     = "HTTP/1.1 200 OK\nSigned: 1\nId: 0\nContent-Length: 5\n\nwrong"
	head     = "HTTP/1.1 200 OK\nSigned: one\nId: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	again    = "HTTP/1.1 200 OK\nSigned: two\nId: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	end      = "0\n\n"
)

// rawChunk writes bytes of events as one chunk. Their line feeds are marked, since
// the stand-in turns line feeds into the line ends of HTTP.
func rawChunk(text string) string { return fmt.Sprintf("%x\n%s\n", len(text), text) }

// marked marks the line feeds of events.
func marked(text string) string { return strings.ReplaceAll(text, "\n", lineFeed) }

func TestPlainRequests(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		first    []string // script of the first target
		second   []string
		status   int
		body     string // of a whole answer from a target
		sent     int    // requests that reached targets
		verdicts []string
	}{
		{"served", "/once/", []string{ok}, nil, 200, "hello", 1, []string{"a good"}},
		{"a late answer to another comes first", "/once/", []string{late + ok}, nil, 200, "hello", 1, []string{"a good"}},
		{"busy, then served", "/once/", []string{busy}, []string{ok}, 200, "hello", 2, []string{"a full", "b good"}},
		{"another instance, then served", "/once/", []string{moved}, []string{ok}, 200, "hello", 2, []string{"a replaced", "b good"}},
		{"all busy", "/once/", []string{busy}, []string{busy}, 503, "", 2, []string{"a full", "b full"}},
		{"lost and not to be repeated", "/once/", []string{""}, []string{ok}, 502, "", 1, []string{"a bad"}},
		{"lost and repeated", "/repeat/", []string{""}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"cut and not to be repeated", "/once/", []string{cut}, []string{ok}, 502, "", 1, []string{"a bad"}},
		{"cut and repeated", "/repeat/", []string{cut}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"not the target's answer", "/repeat/", []string{unsigned}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"not the target's answer, once", "/once/", []string{unsigned}, []string{ok}, 502, "", 1, []string{"a bad"}},
		{"failed and not to be repeated", "/once/", []string{failed}, []string{ok}, 500, "oops", 1, []string{"a bad"}},
		{"failed and repeated", "/repeat/", []string{failed}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"failed twice", "/repeat/", []string{failed}, []string{failed}, 500, "oops", 2, []string{"a bad", "b bad"}},
		{"silent and repeated", "/impatient/", []string{hang}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"lost, then all busy", "/repeat/", []string{""}, []string{busy}, 502, "", 2, []string{"a bad", "b full"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.first...), newTarget(t, "b", tc.second...)
			r := newRig(t, a, b)
			got := r.ask("POST", tc.path, "body")
			if got.broken || got.status != tc.status {
				t.Errorf("status %d, broken %v", got.status, got.broken)
			}
			signed := got.header.Get("Signed") != ""
			if signed != (tc.body != "") || signed && got.body != tc.body {
				t.Errorf("signed %v, body %q", signed, got.body)
			}
			if n := len(a.requests()) + len(b.requests()); n != tc.sent {
				t.Errorf("%d requests reached targets, want %d", n, tc.sent)
			}
			if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
				t.Errorf("verdicts %v", r.fleet.verdicts)
			}
		})
	}
}

func TestRefusalsSayWhenToComeBackOnlyIfTheRequestDidNotRun(t *testing.T) {
	tests := []struct {
		script string
		comes  bool
	}{{busy, true}, {"", false}}
	for _, tc := range tests {
		r := newRig(t, newTarget(t, "a", tc.script))
		got := r.ask("POST", "/once/", "")
		if has := got.header.Get("Retry-After") != ""; has != tc.comes {
			t.Errorf("status %d: Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
	}
}

func TestWhatTargetsGet(t *testing.T) {
	a := newTarget(t, "a", ok)
	r := newRig(t, a)
	r.ask("POST", "/locked/x%2Fy/2f?q=1&r=%20", "body", "Key: k", "Connection: X-Hop", "X-Hop: 1", "X-End: 2")
	got := a.requests()[0]
	if got.Method != "POST" || got.RequestURI != "/locked/x%2Fy/2f?q=1&r=%20" || got.Host != "h" || a.bodies[0] != "body" {
		t.Errorf("got %s %s at %s with %q", got.Method, got.RequestURI, got.Host, a.bodies[0])
	}
	for name, want := range map[string]string{"Id": "1", "Key": "", "Organisation": "league", "Instance": "a", "X-Hop": "", "X-End": "2", "User-Agent": "Go-http-client/1.1"} {
		if got.Header.Get(name) != want {
			t.Errorf("%s: %q, want %q", name, got.Header.Get(name), want)
		}
	}
}

func TestRequestsThatAreNotTakenIn(t *testing.T) {
	tests := []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"no id", "/once/", "", []string{"Id: "}, 400},
		{"no route", "/elsewhere/", "", nil, 404},
		{"no key", "/locked/", "", nil, 401},
		{"unknown key", "/locked/", "", []string{"Key: q"}, 401},
		{"too large", "/once/", strings.Repeat("x", 101), nil, 413},
	}
	for _, tc := range tests {
		a := newTarget(t, "a", ok)
		if got := newRig(t, a).ask("POST", tc.path, tc.body, tc.headers...); got.status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, got.status, tc.status)
		}
		if len(a.requests()) != 0 {
			t.Errorf("%s: reached the target", tc.name)
		}
	}
}

func TestWithoutAConfigurationNothingIsTakenIn(t *testing.T) {
	r := newRig(t, newTarget(t, "a", ok))
	r.g.Configure(nil)
	if got := r.ask("GET", "/once/", ""); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
}

func TestATimeoutEndsTheRequest(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		script  string
		headers []string
	}{
		{"of the route", "/short/", hang, nil},
		{"of the caller", "/once/", hang, []string{"Left: 50ms"}},
		{"in the midst of a short answer", "/short/", head9 + hang, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, newTarget(t, "a", tc.script), newTarget(t, "b", tc.script))
			if got := r.ask("GET", tc.path, "", tc.headers...); got.status != 504 || got.header.Get("Retry-After") != "" {
				t.Errorf("status %d", got.status)
			}
		})
	}
}

func TestStreams(t *testing.T) {
	one, two, three := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	raw := marked
	whole := head + rawChunk(raw(one)) + rawChunk(raw(two)) + rawChunk(raw(three)) + end
	tests := []struct {
		name   string
		path   string
		first  string
		second string
		body   string
		sign   string
		broken bool
		after  string // that the second target is asked to go on from
	}{
		{"whole", "/stream/", whole, "", one + two + three, "one", false, ""},
		{"cut between events and resumed", "/stream/", head + rawChunk(raw(one)), again + rawChunk(raw(two+three)) + end, one + two + three, "one", false, "1"},
		{"cut in an event and resumed", "/stream/", head + rawChunk(raw(one+two)) + rawChunk(raw("id: 3\nda")), again + rawChunk(raw(three)) + end, one + two + three, "one", false, "2"},
		{"cut before any event", "/stream/", head, again + rawChunk(raw(one)) + end, one, "two", false, ""},
		{"cut and not to be resumed", "/stream-once/", head + rawChunk(raw(one)), again + rawChunk(raw(two)) + end, one, "one", true, ""},
		{"cut twice", "/stream/", head + rawChunk(raw(one)), again + rawChunk(raw(two)), one + two, "one", true, "1"},
		{"ends within an event", "/stream-once/", head + rawChunk(raw(one+"id: 2")) + end, "", one, "one", true, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.first), newTarget(t, "b", tc.second)
			r := newRig(t, a, b)
			got := r.ask("POST", tc.path, "p")
			if got.status != 200 || got.body != tc.body || got.broken != tc.broken || got.header.Get("Signed") != tc.sign {
				t.Errorf("status %d, signed %q, broken %v, body %q", got.status, got.header.Get("Signed"), got.broken, got.body)
			}
			if n := len(b.requests()); n > 0 && b.requests()[0].Header.Get("After") != tc.after {
				t.Errorf("resumed after %q", b.requests()[0].Header.Get("After"))
			}
		})
	}
}

// TestAStreamIsMovedFromATargetThatDrags: the events come whole and in order, and a
// stream that cannot be taken up elsewhere stays.
func TestAStreamIsMovedFromATargetThatDrags(t *testing.T) {
	one, two, three := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	first := head + rawChunk(marked(one)) + wait + rawChunk(marked(two))
	tests := []struct {
		name  string
		path  string
		drags bool
		rest  string // of the first target
		sent  int    // to the second target
	}{
		{"drags", "/paced/", true, hang, 1},
		{"does not", "/paced/", false, rawChunk(marked(three)) + end, 0},
		{"not to be resumed", "/paced-once/", true, rawChunk(marked(three)) + end, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", first+tc.rest), newTarget(t, "b", again+rawChunk(marked(three))+end)
			r := newRig(t, a, b)
			a.held, a.drags = r.fleet.began, tc.drags
			got := r.ask("POST", tc.path, "p")
			if got.status != 200 || got.body != one+two+three || got.broken || got.header.Get("Signed") != "one" {
				t.Errorf("status %d, signed %q, broken %v, body %q", got.status, got.header.Get("Signed"), got.broken, got.body)
			}
			if n := len(b.requests()); n != tc.sent {
				t.Errorf("sent to the second target %d times", n)
			} else if n > 0 && b.requests()[0].Header.Get("After") != "2" {
				t.Errorf("resumed after %q", b.requests()[0].Header.Get("After"))
			}
		})
	}
}

func TestCallersThatLeaveFreeTheTarget(t *testing.T) {
	a := newTarget(t, "a", hang)
	r := newRig(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for len(a.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := r.send(ctx, "/once/"); err == nil {
		t.Fatal("answered")
	}
	for r.g.InFlight() > 0 { // ends when the attempt was cut off
		time.Sleep(time.Millisecond)
	}
	if !slices.Equal(r.fleet.verdicts, []string{"a neutral"}) {
		t.Errorf("verdicts %v", r.fleet.verdicts)
	}
}

func TestABoxThatLeavesSaysThatConnectionsEnd(t *testing.T) {
	r := newRig(t, newTarget(t, "a", ok, ok))
	r.g.BeginStop(time.Now().Add(time.Hour))
	got := r.ask("GET", "/once/", "")
	if got.status != 200 || !got.closes {
		t.Errorf("status %d, closes %v", got.status, got.closes)
	}
}

// TestALeavingBoxLetsInWhatFits: a box that has an hour left for its stop serves on, and one
// that has less than its longest answer lately took sends callers elsewhere at once, though
// its last one was quick. Nothing of what it refuses has run.
func TestALeavingBoxLetsInWhatFits(t *testing.T) {
	const lasts = 400 * time.Millisecond
	a := newTarget(t, "a", wait+ok, ok, ok)
	held := make(chan struct{})
	a.held = held
	r := newRig(t, a)
	time.AfterFunc(lasts, func() { close(held) })
	if got := r.ask("POST", "/once/", "body"); got.status != 200 {
		t.Fatalf("answered %d", got.status)
	}
	r.g.BeginStop(time.Now().Add(time.Hour))
	if got := r.ask("POST", "/once/", "body"); got.status != 200 {
		t.Errorf("answered %d with an hour left", got.status)
	}
	r.g.BeginStop(time.Now().Add(lasts / 2))
	got := r.ask("POST", "/once/", "body")
	if got.status != 503 || got.header.Get("Retry-After") == "" || !got.closes {
		t.Errorf("answered %d, %v, with no time left", got.status, got.header)
	}
	if n := len(a.requests()); n != 2 {
		t.Errorf("%d requests reached the target", n)
	}
}
