package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/gateway"
	"clovertrail.dev/retry"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// testCodec is a HeaderCodec with short header names.
type testCodec struct{}

func (testCodec) ParseRequest(now time.Time, r *http.Request) (call.Request, error) {
	f := call.Fields{ID: call.ID(r.Header.Get("Id")), Host: r.Host, Path: r.URL.Path, Key: r.Header.Get("Key"), LastEventID: r.Header.Get("After")}
	if left, err := time.ParseDuration(r.Header.Get("Left")); err == nil {
		f.Deadline = now.Add(left)
	}
	if prefix := r.Header.Get("Prefix"); prefix != "" {
		f.Prompt = &call.Prompt{Prefixes: []call.PromptPrefix{{ID: prefix}, {ID: "own"}}}
	}
	return call.NewRequest(f)
}

func (testCodec) WriteAttempt(_ time.Time, h http.Header, a call.Attempt) {
	h.Del("Key")
	h.Set("Instance", string(a.Instance))
	h.Set("Organisation", string(a.Organisation))
	if a.LastEventID != "" {
		h.Set("After", a.LastEventID)
	}
}

func (testCodec) ParseResponse(now time.Time, r *http.Response) call.Response {
	a := call.Response{
		ID: call.ID(r.Header.Get("Id")), Status: r.StatusCode, Outcome: call.Served,
		Leaving: r.Header.Get("Leaving") != "", AtFault: domain.ListedID(r.Header.Get("At-Fault")),
	}
	if rest, err := time.ParseDuration(r.Header.Get("Retry-After") + "s"); err == nil {
		a.RetryAt = now.Add(rest)
	}
	switch {
	case r.Header.Get("Not-Run") != "":
		a.Outcome = call.Declined
	case r.StatusCode == http.StatusMisdirectedRequest:
		a.Outcome = call.WrongInstance
	case r.Header.Get("Signed") == "":
		a.Outcome = call.Unrecognised
	case r.StatusCode >= 500:
		a.Outcome = call.Failed
	}
	return a
}

// fleet leases targets in their order and records what the gateway reports about them.
type fleet struct {
	mu            sync.Mutex
	targets       []*target
	verdicts      []string
	statusReports []string      // statuses that targets reported about themselves
	unavailable   []string      // targets that must not be sent a request after they were chosen
	availableAt   time.Time     // returned by AvailableAt
	interrupted   bool          // whether the group of the targets stops during attempts
	holds         bool          // whether Acquire waits until its context ends
	began         chan struct{} // receives a value when a response has begun, if its buffer has room
	asked         chan struct{} // receives a value when HasTarget is called, if its buffer has room
}

func (f *fleet) Acquire(ctx context.Context, _ time.Time, q gateway.Query) (gateway.Lease, error) {
	if f.holds {
		signal(f.asked)
		<-ctx.Done()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.targets {
		if !slices.Contains(q.Tried, domain.InstanceID(x.name)) {
			return &lease{f: f, x: x}, nil
		}
	}
	return nil, fault.New(fault.NoTarget, "no target is left").RetryAt(clock.Now().Add(2 * time.Second))
}

func (*fleet) ReportFault(domain.ListedID) {}

func (f *fleet) HasTarget(_ time.Time, _ domain.ServiceName, tried []domain.InstanceID) bool {
	signal(f.asked)
	return len(tried) < len(f.targets)
}

func (f *fleet) AvailableAt(time.Time, domain.ServiceName) time.Time { return f.availableAt }

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

func (*lease) Witnesses() []string { return nil }
func (*lease) ResponseOverdue()    {}

func (l *lease) MaySend(time.Time) bool {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	return !slices.Contains(l.f.unavailable, l.x.name)
}

func (l *lease) UpdateStatus(now time.Time, a call.Response) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if a.Leaving {
		l.f.statusReports = append(l.f.statusReports, l.x.name+" leaving")
	}
	if until := a.RestUntil(); !until.IsZero() {
		l.f.statusReports = append(l.f.statusReports, l.x.name+" rests "+until.Sub(now).String())
	}
}

func (l *lease) ResponseStarted() { signal(l.f.began) }

// signal sends a value if the channel has room. Otherwise it does nothing, as no test is waiting.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *lease) IsStraggler(time.Time, []domain.InstanceID) bool { return l.x.straggler }

func (l *lease) GroupInterrupted(time.Time) bool {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	return l.f.interrupted
}

func (*lease) ReportEventGap(time.Duration, time.Duration) {}

func (l *lease) Release(v gateway.Verdict) {
	names := map[gateway.Verdict]string{
		gateway.Neutral: "neutral", gateway.Good: "good", gateway.Bad: "bad",
		gateway.Full:        "full",
		gateway.Unreachable: "unreachable", gateway.Replaced: "replaced", gateway.ProcessEnded: "gone",
	}
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.f.verdicts = append(l.f.verdicts, l.x.name+" "+names[v])
}

// unlimitedBudget allows any number of retries.
type unlimitedBudget struct{}

func (unlimitedBudget) AddRequest(time.Time)      {}
func (unlimitedBudget) SpendRetry(time.Time) bool { return true }

// exhaustedBudget allows no retries.
type exhaustedBudget struct{}

func (exhaustedBudget) AddRequest(time.Time)      {}
func (exhaustedBudget) SpendRetry(time.Time) bool { return false }

// quarantine bars work after a given number of targets ended, and records what the gateway reports.
type quarantine struct {
	mu       sync.Mutex
	barAfter int // number of ended targets after which work is barred; 0 for never
	ended    []string
	served   int
	trials   int // number of trials that may still begin
	trying   int // number of trials that have not ended
	// partsEnded are the targets that were reported with the parts of prompts, partsServed counts calls, and
	// unknownParts is the result of KnowsParts, negated.
	partsEnded   []string
	partsServed  int
	unknownParts bool
}

func (q *quarantine) QuarantinedUntil(now time.Time, _ call.Work) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Add(2 * time.Minute), q.barAfter > 0 && len(q.ended) >= q.barAfter
}

func (q *quarantine) TargetEnded(_ time.Time, w call.Work, id domain.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = append(q.ended, string(id))
	if len(w.Parts()) > 0 {
		q.partsEnded = append(q.partsEnded, string(id))
	}
}

// bar bars all work from now on.
func (q *quarantine) bar() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.barAfter, q.ended = 1, []string{"x"}
}

func (q *quarantine) WorkServed(time.Time, call.Work) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served++
}

func (q *quarantine) PartsServed(time.Time, call.Work) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.partsServed++
}

func (q *quarantine) KnowsParts(call.Work) bool { return !q.unknownParts }

func (q *quarantine) BeginTrial(time.Time, call.Work) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.trials == 0 {
		return false
	}
	q.trials--
	q.trying++
	return true
}

func (q *quarantine) EndTrial(time.Time, call.Work, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trying--
}

// fixture is a gateway with routes of each kind and some fake targets.
type fixture struct {
	t          *testing.T
	g          *gateway.Gateway
	fleet      *fleet
	quarantine *quarantine
	server     *httptest.Server

	// pausedAt is the end of the last pause of the gateway's process; nil if there was none.
	pausedAt atomic.Pointer[time.Time]
}

func newFixture(t *testing.T, targets ...*target) *fixture {
	t.Helper()
	return newLimitedFixture(t, 0, targets...)
}

// newLimitedFixture returns a fixture whose gateway may hold maxHeldBytes; 0 for the default.
func newLimitedFixture(t *testing.T, maxHeldBytes int64, targets ...*target) *fixture {
	t.Helper()
	return newBudgetedFixture(t, unlimitedBudget{}, maxHeldBytes, targets...)
}

// newBudgetedFixture returns a fixture whose gateway has the retry budget and may hold maxHeldBytes.
func newBudgetedFixture(t *testing.T, budget retry.Budget, maxHeldBytes int64, targets ...*target) *fixture {
	t.Helper()
	f := &fleet{targets: targets, began: make(chan struct{}, 1), asked: make(chan struct{}, 1)}
	q := &quarantine{}
	r := &fixture{t: t, fleet: f, quarantine: q}
	g := gateway.New(gateway.Dependencies{
		Common: telemetry.Quiet(), Headers: testCodec{}, Fleet: f, Quarantine: q, MaxHeldBytes: maxHeldBytes,
		LastPause: func(time.Time) time.Time {
			if at := r.pausedAt.Load(); at != nil {
				return *at
			}
			return time.Time{}
		},
		Pool:   transport.NewPool(transport.Dial(transport.Timeouts{Connect: time.Second, DeadPeer: time.Second}), transport.DefaultSettings()),
		Budget: func(domain.ServiceName) retry.Budget { return budget },
	})
	g.Configure(routes(t))
	s := httptest.NewServer(g)
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	r.g, r.server = g, s
	return r
}

// routes returns a catalog with a route of each kind, one of them with a short timeout.
func routes(t *testing.T) *catalog.Catalog {
	t.Helper()
	limits := catalog.DefaultLimits()
	limits.BodyBytes = 100
	return routesWithLimits(t, limits)
}

// routesWithLimits returns the same with other limits of what callers send.
func routesWithLimits(t *testing.T, limits catalog.Limits) *catalog.Catalog {
	t.Helper()
	fields := []catalog.RouteFields{
		{Name: "once", Prefix: "/once/", Kind: catalog.Once, Timeout: 20 * time.Second},
		{Name: "repeat", Prefix: "/repeat/", Kind: catalog.Repeatable, Timeout: 20 * time.Second},
		{Name: "stream", Prefix: "/stream/", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second},
		{Name: "stream-once", Prefix: "/stream-once/", Kind: catalog.Stream, Timeout: 20 * time.Second},
		{Name: "short", Prefix: "/short/", Kind: catalog.Repeatable, Timeout: 400 * time.Millisecond},
		{Name: "brief", Prefix: "/brief/", Kind: catalog.Repeatable, Timeout: 4 * time.Second},
		{Name: "paced", Prefix: "/paced/", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second, EventGapObjective: time.Nanosecond},
		{Name: "paced-once", Prefix: "/paced-once/", Kind: catalog.Stream, Timeout: 20 * time.Second, EventGapObjective: time.Nanosecond},
		{Name: "impatient", Prefix: "/impatient/", Kind: catalog.Repeatable, Timeout: 20 * time.Second, LatencyObjective: 10 * time.Millisecond},
		{Name: "impatient-stream", Prefix: "/impatient-stream/", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second, LatencyObjective: 10 * time.Millisecond},
		{Name: "locked", Prefix: "/locked/", Kind: catalog.Repeatable, Timeout: 20 * time.Second},
	}
	d := catalog.Document{Version: 3, Services: []catalog.Service{{Name: "s", HealthPath: checkPath}}, Limits: limits, Organisations: []catalog.Organisation{{Name: "league", Keys: []string{"k"}}}}
	for _, f := range fields {
		f.Host, f.MaxAttempts, f.Public = "h", 2, f.Name != "locked"
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

// callerResponse is the response as the caller received it.
type callerResponse struct {
	status int
	header http.Header
	body   string
	broken bool // the response was not complete
	closes bool // the connection is closed after the response
}

// send makes a request whose caller waits until ctx ends.
func (r *fixture) send(ctx context.Context, path string) (*http.Response, error) {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "1")
	return http.DefaultTransport.RoundTrip(req)
}

// request makes a request; each header is a line "Name: value".
func (r *fixture) request(method, path, body string, headers ...string) callerResponse {
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
		return callerResponse{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(raw), broken: err != nil, closes: resp.Close}
}
