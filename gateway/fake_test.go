package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/gateway"
	"clovertrail.dev/retry"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// speech is a wire with plain names.
type speech struct{}

func (speech) Request(now time.Time, r *http.Request) (call.Request, error) {
	f := call.Fields{ID: call.ID(r.Header.Get("Id")), Host: r.Host, Path: r.URL.Path, Key: r.Header.Get("Key"), After: r.Header.Get("After")}
	if left, err := time.ParseDuration(r.Header.Get("Left")); err == nil {
		f.Deadline = now.Add(left)
	}
	return call.NewRequest(f)
}

func (speech) Attempt(_ time.Time, h http.Header, a call.Attempt) {
	h.Del("Key")
	h.Set("Instance", string(a.Instance))
	h.Set("Organisation", string(a.Organisation))
	if a.After != "" {
		h.Set("After", a.After)
	}
}

func (speech) Answer(now time.Time, r *http.Response) call.Answer {
	a := call.Answer{
		ID: call.ID(r.Header.Get("Id")), Status: r.StatusCode, Outcome: call.Served,
		Leaving: r.Header.Get("Leaving") != "",
	}
	if rest, err := time.ParseDuration(r.Header.Get("Retry-After") + "s"); err == nil {
		a.Again = now.Add(rest)
	}
	switch {
	case r.Header.Get("Not-Run") != "":
		a.Outcome = call.Declined
	case r.StatusCode == http.StatusMisdirectedRequest:
		a.Outcome = call.Elsewhere
	case r.Header.Get("Signed") == "":
		a.Outcome = call.Foreign
	case r.StatusCode >= 500:
		a.Outcome = call.Failed
	}
	return a
}

// target is a stand-in that answers each request with the next text of its script,
// and then closes the connection if the text does not end as a whole answer does.
type target struct {
	name string
	l    net.Listener

	mu     sync.Mutex
	script []string
	drags  bool            // it makes the steps of its group too long
	held   <-chan struct{} // what follows a wait in a text comes after a value of it
	got    []*http.Request
	bodies []string
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
			go x.serve(c)
		}
	}()
	return x
}

// lineFeed stands in a text for a line feed that is not the end of a line of HTTP.
const lineFeed = "\x00"

var wire = strings.NewReplacer("\n", "\r\n", lineFeed, "\n")

// How a text may end: without another word on an open connection, or by closing it.
const (
	hang   = "(hang)"
	hangUp = "(hang up)"
	// crash ends the target with the connection.
	crash = "(crash)"
	// wait stands before what comes late.
	wait = "(wait)"
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
		text := x.next(req, string(body))
		text, hangs := strings.CutSuffix(text, hang)
		text, ends := strings.CutSuffix(text, hangUp)
		text, crashes := strings.CutSuffix(text, crash)
		for i, part := range strings.Split(text, wait) {
			if i > 0 {
				<-x.held
			}
			_, _ = io.WriteString(c, wire.Replace(part))
		}
		if hangs {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		if crashes {
			_ = x.l.Close() // nobody listens there any more
			return
		}
		if ends || !strings.Contains(text, "Content-Length") && !strings.HasSuffix(text, "0\n\n") {
			return
		}
	}
}

func (x *target) next(r *http.Request, body string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.got = append(x.got, r)
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
	return x.got
}

// fleet hands out targets in order, and notes what is said of them.
type fleet struct {
	mu       sync.Mutex
	targets  []*target
	verdicts []string
	heard    []string      // what targets reported about themselves
	unwanted []string      // targets that want nothing more once they are chosen
	takesAt  time.Time     // when a target takes requests
	began    chan struct{} // gets a value when an answer has begun, while there is room
}

func (f *fleet) Acquire(_ context.Context, _ time.Time, q gateway.Query) (gateway.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.targets {
		if !slices.Contains(q.Tried, domain.InstanceID(x.name)) {
			return &lease{f: f, x: x}, nil
		}
	}
	return nil, fault.New(fault.NoTarget, "none is left").RetryAt(time.Now().Add(2 * time.Second))
}

func (*fleet) Blame(domain.ListedID) {}

func (f *fleet) TakesAt(time.Time, domain.ServiceName) time.Time { return f.takesAt }

type lease struct {
	f *fleet
	x *target
}

func (l *lease) Target() domain.Target {
	t, err := domain.NewTarget(domain.TargetFields{
		ID: domain.InstanceID(l.x.name), Service: "s", Address: l.x.l.Addr().String(), State: domain.TargetReady,
	})
	if err != nil {
		panic(err) // the fields are constant
	}
	return t
}

func (*lease) Witness() string { return "" }
func (*lease) Overdue()        {}

func (l *lease) Wanted(time.Time) bool {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	return !slices.Contains(l.f.unwanted, l.x.name)
}

func (l *lease) Heard(now time.Time, a call.Answer) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if a.Leaving {
		l.f.heard = append(l.f.heard, l.x.name+" leaving")
	}
	if until := a.RestUntil(); !until.IsZero() {
		l.f.heard = append(l.f.heard, l.x.name+" rests "+until.Sub(now).String())
	}
}

func (l *lease) Began() { signal(l.f.began) }

// signal puts a value into the channel if there is room: else nobody waits for it.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *lease) Drags(time.Time, []domain.InstanceID) bool { return l.x.drags }

func (*lease) Paused(time.Duration, time.Duration) {}

func (l *lease) End(v gateway.Verdict) {
	names := map[gateway.Verdict]string{
		gateway.Neutral: "neutral", gateway.Good: "good", gateway.Bad: "bad",
		gateway.Full:        "full",
		gateway.Unreachable: "unreachable", gateway.Replaced: "replaced", gateway.Gone: "gone",
	}
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.f.verdicts = append(l.f.verdicts, l.x.name+" "+names[v])
}

// purse pays for any number of retries.
type purse struct{}

func (purse) AddRequest(time.Time)      {}
func (purse) SpendRetry(time.Time) bool { return true }

// quarantine bars work under which so many targets ended, and notes what it is told.
type quarantine struct {
	mu     sync.Mutex
	enough int // 0 for never
	ended  []string
	served int
}

func (q *quarantine) Barred(now time.Time, _ call.Digest) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Add(2 * time.Minute), q.enough > 0 && len(q.ended) >= q.enough
}

func (q *quarantine) Ended(_ time.Time, _ call.Digest, id domain.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = append(q.ended, string(id))
}

func (q *quarantine) Served(time.Time, call.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served++
}

// rig is a gateway with routes of each kind before some targets.
type rig struct {
	t          *testing.T
	g          *gateway.Gateway
	fleet      *fleet
	quarantine *quarantine
	server     *httptest.Server
}

func newRig(t *testing.T, targets ...*target) *rig {
	t.Helper()
	f := &fleet{targets: targets, began: make(chan struct{}, 1)}
	q := &quarantine{}
	g := gateway.New(gateway.Parts{
		Common: telemetry.Quiet(), Speech: speech{}, Fleet: f, Quarantine: q,
		Pool:  transport.NewPool(transport.Dial(transport.Timing{Connect: time.Second, Unheard: time.Second}), transport.DefaultSettings()),
		Purse: func(domain.ServiceName) retry.Budget { return purse{} },
	})
	g.Configure(routes(t))
	s := httptest.NewServer(g)
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	return &rig{t: t, g: g, fleet: f, quarantine: q, server: s}
}

// routes has a route for each kind, and one with a short time-out.
func routes(t *testing.T) *catalog.Catalog {
	t.Helper()
	fields := []catalog.RouteFields{
		{Name: "once", Prefix: "/once/", Kind: catalog.Once, Timeout: 20 * time.Second},
		{Name: "repeat", Prefix: "/repeat/", Kind: catalog.Repeatable, Timeout: 20 * time.Second},
		{Name: "stream", Prefix: "/stream/", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second},
		{Name: "stream-once", Prefix: "/stream-once/", Kind: catalog.Stream, Timeout: 20 * time.Second},
		{Name: "short", Prefix: "/short/", Kind: catalog.Repeatable, Timeout: 50 * time.Millisecond},
		{Name: "paced", Prefix: "/paced/", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second, GapAim: time.Nanosecond},
		{Name: "paced-once", Prefix: "/paced-once/", Kind: catalog.Stream, Timeout: 20 * time.Second, GapAim: time.Nanosecond},
		{Name: "impatient", Prefix: "/impatient/", Kind: catalog.Repeatable, Timeout: 20 * time.Second, Aim: 10 * time.Millisecond},
		{Name: "locked", Prefix: "/locked/", Kind: catalog.Repeatable, Timeout: 20 * time.Second},
	}
	d := catalog.Document{Version: 3, Limits: catalog.DefaultLimits(), Organisations: []catalog.Organisation{{Name: "league", Keys: []string{"k"}}}}
	d.Limits.BodyBytes = 100
	for _, f := range fields {
		f.Host, f.Attempts, f.Open = "h", 2, f.Name != "locked"
		f.Backends = []catalog.Backend{{Service: "s", Weight: 1}}
		r, err := catalog.NewRoute(f)
		if err != nil {
			t.Fatal(err)
		}
		d.Routes = append(d.Routes, r)
	}
	c, err := catalog.New(d)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	broken bool // it did not end as a whole answer does
	closes bool // the connection ends with it
}

// send makes a request of a caller who waits until ctx ends.
func (r *rig) send(ctx context.Context, path string) (*http.Response, error) {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "1")
	return http.DefaultTransport.RoundTrip(req)
}

// ask makes a request with the header lines "Name: value".
func (r *rig) ask(method, path, body string, headers ...string) answer {
	r.t.Helper()
	req, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "1")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), broken: err != nil, closes: resp.Close}
}
