package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/shutdown"
)

// Responses of targets.
const (
	ok           = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nContent-Length: 5\n\nhello"
	failed       = "HTTP/1.1 500 Oops\nSigned: 1\nId: 1\nContent-Length: 4\n\noops"
	busy         = "HTTP/1.1 503 Busy\nNot-Run: 1\nContent-Length: 0\n\n"
	misdirected  = "HTTP/1.1 421 Misdirected\nContent-Length: 0\n\n"
	unsigned     = "HTTP/1.1 200 OK\nId: 1\nContent-Length: 5\n\nwrong"
	truncated    = partialHead + hangUp
	partialHead  = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nContent-Length: 9\n\nhel"
	lateResponse = "HTTP/1.1 200 OK\nSigned: 1\nId: 0\nContent-Length: 5\n\nwrong"
	streamHead   = "HTTP/1.1 200 OK\nSigned: one\nId: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	lengthHead   = "HTTP/1.1 200 OK\nSigned: one\nId: 1\nContent-Type: text/event-stream\nContent-Length: %d\n\n"
	secondHead   = "HTTP/1.1 200 OK\nSigned: two\nId: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	lastChunk    = "0\n\n"

	// Heads of responses that end with their connection.
	unframed       = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\n\n"
	unframedStream = "HTTP/1.1 200 OK\nSigned: one\nId: 1\nContent-Type: text/event-stream\n\n"

	leavingUnframedStream = "HTTP/1.1 200 OK\nSigned: one\nId: 1\nLeaving: 1\nContent-Type: text/event-stream\n\n"
)

// longBody is longer than what the gateway buffers of a response, longFailure a failure response with it.
var (
	longBody    = strings.Repeat("oops", 32<<10)
	longFailure = fmt.Sprintf("HTTP/1.1 500 Oops\nSigned: 1\nId: 1\nContent-Length: %d\n\n%s", len(longBody), longBody)
)

// rawChunk formats bytes of events as one chunk. Their line feeds must be marked, because the
// fake target turns other line feeds into HTTP line ends.
func rawChunk(text string) string { return fmt.Sprintf("%x\n%s\n", len(text), text) }

// marked replaces the line feeds of events by lineFeed.
func marked(text string) string { return strings.ReplaceAll(text, "\n", lineFeed) }

// crlf and cr replace the line ends of events.
func crlf(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
func cr(text string) string   { return strings.ReplaceAll(text, "\n", "\r") }

func TestPlainRequests(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		first    []string // script of the first target
		second   []string
		status   int
		body     string // of a complete response from a target
		sent     int    // requests that reached targets
		verdicts []string
	}{
		{"served", "/once/", []string{ok}, nil, 200, "hello", 1, []string{"a good"}},
		{"late response to another request comes first", "/once/", []string{lateResponse + ok}, nil, 200, "hello", 1, []string{"a good"}},
		{"busy, then served", "/once/", []string{busy}, []string{ok}, 200, "hello", 2, []string{"a full", "b good"}},
		{"busy with a body that does not come, then served", "/once/", []string{"HTTP/1.1 503 Busy\nNot-Run: 1\nContent-Length: 9\n\nhel" + hang}, []string{ok}, 200, "hello", 2, []string{"a full", "b good"}},
		{"another instance, then served", "/once/", []string{misdirected}, []string{ok}, 200, "hello", 2, []string{"a replaced", "b good"}},
		{"all busy", "/once/", []string{busy}, []string{busy}, 503, "", 2, []string{"a full", "b full"}},
		{"lost, not repeatable", "/once/", []string{""}, []string{ok}, 502, "", 1, []string{"a bad"}},
		{"lost, repeated", "/repeat/", []string{""}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"truncated, not repeatable", "/once/", []string{truncated}, []string{ok}, 502, "", 1, []string{"a bad"}},
		{"truncated, repeated", "/repeat/", []string{truncated}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"unsigned response, repeated", "/repeat/", []string{unsigned}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"unsigned response, not repeatable", "/once/", []string{unsigned}, []string{ok}, 502, "", 1, []string{"a bad"}},
		{"failed, not repeatable", "/once/", []string{failed}, []string{ok}, 500, "oops", 1, []string{"a bad"}},
		{"failed, repeated", "/repeat/", []string{failed}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"failed twice", "/repeat/", []string{failed}, []string{failed}, 500, "oops", 2, []string{"a bad", "b bad"}},
		{"failed with a long body, not repeatable", "/once/", []string{longFailure}, []string{ok}, 500, longBody, 1, []string{"a bad"}},
		{"failed with a long body, repeated", "/repeat/", []string{longFailure}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"failed twice with a long body", "/repeat/", []string{longFailure}, []string{longFailure}, 500, longBody, 2, []string{"a bad", "b bad"}},
		{"silent, repeated", "/impatient/", []string{hang}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"ends with its connection", "/once/", []string{unframed + "hello"}, []string{ok}, 200, "hello", 1, []string{"a good"}},
		{"long and ends with its connection", "/once/", []string{unframed + longBody}, []string{ok}, 200, longBody, 1, []string{"a good"}},
		{"ends with a reset connection, repeated", "/repeat/", []string{unframed + "hel" + reset}, []string{ok}, 200, "hello", 2, []string{"a bad", "b good"}},
		{"ends with a reset connection, not repeatable", "/once/", []string{unframed + "hel" + reset}, []string{ok}, 502, "", 1, []string{"a bad"}},
		{"ends with its connection and the process, repeated", "/repeat/", []string{unframed + "hel" + crash}, []string{ok}, 200, "hello", 2, []string{"a gone", "b good"}},
		{"ends with its connection and the process, not repeatable", "/once/", []string{unframed + "hel" + crash}, []string{ok}, 502, "", 1, []string{"a gone"}},
		{"ends with its connection and slowly with the process, repeated", "/repeat/", []string{unframed + "hel" + slowCrash}, []string{ok}, 200, "hello", 2, []string{"a gone", "b good"}},
		{"ends with its connection and slowly with the process, not repeatable", "/once/", []string{unframed + "hel" + slowCrash}, []string{ok}, 502, "", 1, []string{"a gone"}},
		{"lost, then all busy", "/repeat/", []string{""}, []string{busy}, 502, "", 2, []string{"a bad", "b full"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.first...), newTarget(t, "b", tc.second...)
			r := newFixture(t, a, b)
			got := r.request("POST", tc.path, "body")
			r.server.Close() // waits for the handler, which may end after a long response is received
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
				t.Errorf("verdicts %v, want %v", r.fleet.verdicts, tc.verdicts)
			}
		})
	}
}

func TestRetryAfterOnlyIfRequestDidNotRun(t *testing.T) {
	tests := []struct {
		script     string
		retryAfter bool
	}{{busy, true}, {"", false}}
	for _, tc := range tests {
		r := newFixture(t, newTarget(t, "a", tc.script))
		got := r.request("POST", "/once/", "")
		if has := got.header.Get("Retry-After") != ""; has != tc.retryAfter {
			t.Errorf("status %d: Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
	}
}

func TestTargetReceivesForwardedRequest(t *testing.T) {
	a := newTarget(t, "a", ok)
	r := newFixture(t, a)
	r.request("POST", "/locked/x%2Fy/2f?q=1&r=%20", "body", "Key: k", "Connection: X-Hop", "X-Hop: 1", "X-End: 2")
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

func TestInvalidRequestsAreRefused(t *testing.T) {
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
		if got := newFixture(t, a).request("POST", tc.path, tc.body, tc.headers...); got.status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, got.status, tc.status)
		}
		if len(a.requests()) != 0 {
			t.Errorf("%s: the request reached the target", tc.name)
		}
	}
}

func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	r := newFixture(t, newTarget(t, "a", ok))
	r.g.Configure(nil)
	if got := r.request("GET", "/once/", ""); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
}

func TestTimeoutEndsRequest(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		script  string
		headers []string
	}{
		{"route timeout", "/short/", hang, nil},
		{"caller deadline", "/once/", hang, []string{"Left: 400ms"}},
		{"during a short response", "/short/", partialHead + hang, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", tc.script), newTarget(t, "b", tc.script))
			if got := r.request("GET", tc.path, "", tc.headers...); got.status != 504 || got.header.Get("Retry-After") != "" {
				t.Errorf("status %d", got.status)
			}
		})
	}
}

func TestStreams(t *testing.T) {
	one, two, three := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	raw := marked
	whole := streamHead + rawChunk(raw(one)) + rawChunk(raw(two)) + rawChunk(raw(three)) + lastChunk
	tests := []struct {
		name   string
		path   string
		first  string
		second string
		body   string
		sign   string
		broken bool
		after  string // last event ID sent to the second target
	}{
		{"complete", "/stream/", whole, "", one + two + three, "one", false, ""},
		{"truncated between events, resumed", "/stream/", streamHead + rawChunk(raw(one)), secondHead + rawChunk(raw(two+three)) + lastChunk, one + two + three, "one", false, "1"},
		{"truncated within an event, resumed", "/stream/", streamHead + rawChunk(raw(one+two)) + rawChunk(raw("id: 3\nda")), secondHead + rawChunk(raw(three)) + lastChunk, one + two + three, "one", false, "2"},
		{"truncated before any event", "/stream/", streamHead, secondHead + rawChunk(raw(one)) + lastChunk, one, "two", false, ""},
		{"truncated, not resumable", "/stream-once/", streamHead + rawChunk(raw(one)), secondHead + rawChunk(raw(two)) + lastChunk, one, "one", true, ""},
		{"truncated twice", "/stream/", streamHead + rawChunk(raw(one)), secondHead + rawChunk(raw(two)), one + two, "one", true, "1"},
		{"ends within an event", "/stream-once/", streamHead + rawChunk(raw(one+"id: 2")) + lastChunk, "", one, "one", true, ""},
		{"complete with a length", "/stream/", fmt.Sprintf(lengthHead, len(one+two)) + raw(one+two), "", one + two, "one", false, ""},
		{"cut off with a length, resumed by a longer run", "/stream/", fmt.Sprintf(lengthHead, len(one+two)) + raw(one) + hangUp, secondHead + rawChunk(raw(two+three)) + lastChunk, one + two + three, "one", false, "1"},
		{"cut off with a length, resumed by a shorter run", "/stream/", fmt.Sprintf(lengthHead, len(one+two+three)) + raw(one) + hangUp, secondHead + rawChunk(raw(two)) + lastChunk, one + two, "one", false, "1"},
		{"ends with its connection", "/stream/", unframedStream + raw(one+two+three), "", one + two + three, "one", false, ""},
		{"ends with its connection within an event, resumed", "/stream/", unframedStream + raw(one+two+"id: 3\nda"), secondHead + rawChunk(raw(three)) + lastChunk, one + two + three, "one", false, "2"},
		{"ends with its connection within an event", "/stream-once/", unframedStream + raw(one+"id: 2"), "", one, "one", true, ""},
		{"ends with its connection and the process, resumed", "/stream/", unframedStream + raw(one) + crash, secondHead + rawChunk(raw(two+three)) + lastChunk, one + two + three, "one", false, "1"},
		{"ends with its connection and the process", "/stream-once/", unframedStream + raw(one) + crash, "", one, "one", true, ""},
		{"ends with its connection and slowly with the process, resumed", "/stream/", unframedStream + raw(one) + slowCrash, secondHead + rawChunk(raw(two+three)) + lastChunk, one + two + three, "one", false, "1"},
		{"ends with its connection and slowly with the process", "/stream-once/", unframedStream + raw(one) + slowCrash, "", one, "one", true, ""},
		{"ends with its connection before any event", "/stream/", unframedStream, secondHead + rawChunk(raw(one)) + lastChunk, one, "two", false, ""},
		{"resumed at a target that begins again", "/stream/", streamHead + rawChunk(raw(one+two)), secondHead + rawChunk(raw(one+two+three)) + lastChunk, one + two, "one", true, "2"},
		{"resumed at a target that sends nothing", "/stream/", streamHead + rawChunk(raw(one)), secondHead + lastChunk, one, "one", true, "1"},
		{"event ids go back", "/stream-once/", streamHead + rawChunk(raw(one+two)) + rawChunk(raw(one)) + lastChunk, "", one + two, "one", true, ""},
		{"an event id comes twice", "/stream-once/", streamHead + rawChunk(raw(one)) + rawChunk(raw(one)) + lastChunk, "", one, "one", true, ""},
		{"event ids go back, resumed", "/stream/", streamHead + rawChunk(raw(one+two)) + rawChunk(raw(one)) + lastChunk, secondHead + rawChunk(raw(three)) + lastChunk, one + two + three, "one", false, "2"},
		{"events end with CRLF", "/stream/", streamHead + rawChunk(raw(crlf(one+two))) + rawChunk(raw(crlf(three))) + lastChunk, "", crlf(one + two + three), "one", false, ""},
		{"events end with CR, resumed", "/stream/", streamHead + rawChunk(cr(one+two)), secondHead + rawChunk(cr(three)) + lastChunk, cr(one + two + three), "one", false, "2"},
		{"ends with its connection and the process that is leaving", "/stream-once/", leavingUnframedStream + raw(one) + crash, "", one, "one", true, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.first), newTarget(t, "b", tc.second)
			r := newFixture(t, a, b)
			got := r.request("POST", tc.path, "p")
			if got.status != 200 || got.body != tc.body || got.broken != tc.broken || got.header.Get("Signed") != tc.sign {
				t.Errorf("status %d, signed %q, broken %v, body %q", got.status, got.header.Get("Signed"), got.broken, got.body)
			}
			if n := len(b.requests()); n > 0 && b.requests()[0].Header.Get("After") != tc.after {
				t.Errorf("resumed after %q", b.requests()[0].Header.Get("After"))
			}
		})
	}
}

// TestLengthOfFirstTargetDoesNotEndResumedStream guards against a stream that ends as complete at the length that its first target
// stated, although the target that resumed it sent more.
func TestLengthOfFirstTargetDoesNotEndResumedStream(t *testing.T) {
	one, two, three := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	a := newTarget(t, "a", fmt.Sprintf(lengthHead, len(one+two))+marked(one)+hangUp)
	b := newTarget(t, "b", secondHead+rawChunk(marked(two))+wait+rawChunk(marked(three))+lastChunk)
	r := newFixture(t, a, b)
	proceed := make(chan struct{})
	b.proceed = proceed
	go func() {
		<-r.fleet.began // an event of the first target
		<-r.fleet.began // an event of the second one
		close(proceed)
	}()
	got := r.request("POST", "/stream/", "p")
	if got.status != 200 || got.body != one+two+three || got.broken {
		t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
	}
}

// TestStreamIsMovedFromStraggler checks that a stream is resumed at another target with all events
// in order, and that a stream that is not resumable, or is a trial of its work, stays at its target.
func TestStreamIsMovedFromStraggler(t *testing.T) {
	one, two, three := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	first := streamHead + rawChunk(marked(one)) + wait + rawChunk(marked(two))
	tests := []struct {
		name      string
		path      string
		straggler bool
		trial     bool   // the work is in quarantine, and the request is its trial
		tail      string // rest of the response of the first target
		sent      int    // requests to the second target
	}{
		{"straggler", "/paced/", true, false, hang, 1},
		{"no straggler", "/paced/", false, false, rawChunk(marked(three)) + lastChunk, 0},
		{"straggler, not resumable", "/paced-once/", true, false, rawChunk(marked(three)) + lastChunk, 0},
		{"straggler, trial", "/paced/", true, true, rawChunk(marked(three)) + lastChunk, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTarget(t, "a", first+tc.tail), newTarget(t, "b", secondHead+rawChunk(marked(three))+lastChunk)
			r := newFixture(t, a, b)
			a.proceed, a.straggler = r.fleet.began, tc.straggler
			if tc.trial {
				r.quarantine.barAfter, r.quarantine.ended, r.quarantine.trials = 1, []string{"x"}, 1
			}
			got := r.request("POST", tc.path, "p")
			if got.status != 200 || got.body != one+two+three || got.broken || got.header.Get("Signed") != "one" {
				t.Errorf("status %d, signed %q, broken %v, body %q", got.status, got.header.Get("Signed"), got.broken, got.body)
			}
			if n := len(b.requests()); n != tc.sent {
				t.Errorf("%d requests reached the second target, want %d", n, tc.sent)
			} else if n > 0 && b.requests()[0].Header.Get("After") != "2" {
				t.Errorf("resumed after %q", b.requests()[0].Header.Get("After"))
			}
		})
	}
}

func TestCallerDisconnectReleasesTarget(t *testing.T) {
	a := newTarget(t, "a", hang)
	r := newFixture(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for len(a.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := r.send(ctx, "/once/"); err == nil {
		t.Fatal("the cancelled request got a response")
	}
	for r.g.InFlight() > 0 { // until the attempt has been cancelled
		time.Sleep(time.Millisecond)
	}
	if !slices.Equal(r.fleet.verdicts, []string{"a neutral"}) {
		t.Errorf("verdicts %v", r.fleet.verdicts)
	}
}

// stopWithin returns the plan of a stop that begins now.
func stopWithin(d time.Duration) shutdown.Plan {
	return shutdown.NewPlan(shutdown.SignalAt(clock.Now()), d)
}

func TestStoppingBoxClosesConnections(t *testing.T) {
	r := newFixture(t, newTarget(t, "a", ok, ok))
	r.g.BeginStop(stopWithin(time.Hour))
	got := r.request("GET", "/once/", "")
	if got.status != 200 || !got.closes {
		t.Errorf("status %d, closes %v", got.status, got.closes)
	}
}

// TestStoppingBoxAcceptsOnlyRequestsThatFit guards against requests that are accepted and then cut
// off by the planned stop. With an hour left the box serves requests; with less time left than
// its longest recent response took it refuses them at once, even if its last response was quick.
// Refused requests reach no target.
func TestStoppingBoxAcceptsOnlyRequestsThatFit(t *testing.T) {
	const responseTime = 400 * time.Millisecond
	a := newTarget(t, "a", wait+ok, ok, ok)
	proceed := make(chan struct{})
	a.proceed = proceed
	r := newFixture(t, a)
	time.AfterFunc(responseTime, func() { close(proceed) })
	if got := r.request("POST", "/once/", "body"); got.status != 200 {
		t.Fatalf("status %d before the stop", got.status)
	}
	r.g.BeginStop(stopWithin(time.Hour))
	if got := r.request("POST", "/once/", "body"); got.status != 200 {
		t.Errorf("status %d with an hour left", got.status)
	}
	r.g.BeginStop(stopWithin(responseTime / 2))
	got := r.request("POST", "/once/", "body")
	if got.status != 503 || got.header.Get("Retry-After") == "" || !got.closes {
		t.Errorf("status %d, header %v, with too little time left", got.status, got.header)
	}
	if n := len(a.requests()); n != 2 {
		t.Errorf("%d requests reached the target, want 2", n)
	}
}

// TestStoppingBoxPromisesOnlyByDeadline guards against streams that a stopping box accepts late on open connections, since those before
// them were short, and cuts off in the middle. They are refused as not run, with a quick retry at another box; requests
// that end before the stop in any case are served.
func TestStoppingBoxPromisesOnlyByDeadline(t *testing.T) {
	stream := streamHead + rawChunk(marked("id: 1\ndata: x\n\n")) + lastChunk
	a := newTarget(t, "a", stream, stream)
	r := newFixture(t, a)
	if got := r.request("POST", "/stream-once/", "body"); got.status != 200 {
		t.Fatalf("status %d before the stop", got.status)
	}
	begin := clock.Now().Add(-4500 * time.Millisecond)
	r.g.BeginStop(shutdown.NewPlan(shutdown.SignalAt(begin), 7500*time.Millisecond))
	got := r.request("POST", "/stream-once/", "body", "Left: 8s")
	if retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status != 503 || err != nil || retry > 0.1 || !got.closes {
		t.Errorf("status %d, header %v, of a request that may last longer than the stop", got.status, got.header)
	}
	if got := r.request("POST", "/stream-once/", "body", "Left: 2s"); got.status != 200 || got.broken {
		t.Errorf("status %d, broken %v, of a request that ends before the stop", got.status, got.broken)
	}
	if n := len(a.requests()); n != 2 {
		t.Errorf("%d requests reached the target, want 2", n)
	}
}

// TestStoppingBoxCountsRequestsInFlight guards against a stop that knows only responses that have ended, which were short before the targets
// turned slow.
func TestStoppingBoxCountsRequestsInFlight(t *testing.T) {
	a := newTarget(t, "a", ok, wait+ok, ok)
	proceed := make(chan struct{})
	a.proceed = proceed
	r := newFixture(t, a)
	if got := r.request("POST", "/repeat/", "body"); got.status != 200 {
		t.Fatalf("status %d before the stop", got.status)
	}
	slow := make(chan int)
	go func() { slow <- r.request("POST", "/repeat/", "body").status }()
	for len(a.requests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	r.g.BeginStop(stopWithin(250 * time.Millisecond))
	if got := r.request("POST", "/repeat/", "body"); got.status != 503 {
		t.Errorf("status %d while a request of the route has taken longer than the time left", got.status)
	}
	close(proceed)
	if status := <-slow; status != 200 {
		t.Errorf("status %d of the request in flight", status)
	}
}
