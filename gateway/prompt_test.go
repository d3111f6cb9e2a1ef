package gateway_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestPartsAreSuspectedByProgress guards against blaming the parts of a prompt for the end of a target that had gone on
// with its response, or unknown ones twice for one request, and against sending an unknown prompt to a second target
// after the first one ended as it began to respond.
func TestPartsAreSuspectedByProgress(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	whole := streamHead + rawChunk(marked(one)) + rawChunk(marked(two)) + lastChunk
	for _, tc := range []struct {
		name          string
		first, second string
		unknown       bool
		status        int
		ended         []string
		partsEnded    []string
	}{
		{"no response", crash, whole, true, 200, []string{"a"}, []string{"a"}},
		{"the head, the parts are known", streamHead + crash, whole, false, 200, []string{"a"}, []string{"a"}},
		{"the head, a part is unknown", streamHead + crash, whole, true, 502, []string{"a"}, []string{"a"}},
		{"a part of an event", streamHead + rawChunk(marked("id: 1\nda")) + crash, whole, true, 502, []string{"a"}, []string{"a"}},
		{"one event", streamHead + rawChunk(marked(one)) + crash, secondHead + rawChunk(marked(two)) + lastChunk, true, 200, []string{"a"}, nil},
		{"two targets end, the parts are known", crash, crash, false, 502, []string{"a", "b"}, []string{"a", "b"}},
		{"two targets end, a part is unknown", crash, crash, true, 502, []string{"a", "b"}, []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", tc.first), newTarget(t, "b", tc.second))
			r.quarantine.unknownParts = tc.unknown
			if got := r.request("POST", "/stream/", "body", "Prefix: p"); got.status != tc.status {
				t.Errorf("status %d, want %d", got.status, tc.status)
			}
			for r.g.InFlight() > 0 { // the caller may get its response before the attempt is recorded
				time.Sleep(time.Millisecond)
			}
			if q := r.quarantine; !slices.Equal(q.ended, tc.ended) || !slices.Equal(q.partsEnded, tc.partsEnded) {
				t.Errorf("reported ended targets %v, with parts %v, want %v and %v", q.ended, q.partsEnded, tc.ended, tc.partsEnded)
			}
		})
	}
}

// TestPartsAreServedOnceResponseGoesOn guards against parts that stay suspected although a target has written a
// response to them.
func TestPartsAreServedOnceResponseGoesOn(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	a, proceed := newTarget(t, "a", streamHead+rawChunk(marked(one))+wait+rawChunk(marked(two))+hang), make(chan struct{})
	a.proceed = proceed
	r := newFixture(t, a)
	req, err := http.NewRequest(http.MethodPost, r.server.URL+"/stream/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "h", http.Header{"Id": {"1"}, "Prefix": {"p"}}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for i, text := range []string{one, two} {
		if _, err := io.ReadFull(resp.Body, make([]byte, len(text))); err != nil {
			t.Fatal(err)
		}
		r.quarantine.mu.Lock()
		if n := r.quarantine.partsServed; n != i {
			t.Errorf("after event %d: parts reported as served %d times", i+1, n)
		}
		r.quarantine.mu.Unlock()
		if i == 0 {
			close(proceed)
		}
	}
}

// TestQuarantineWithdrawsRequests guards against requests that wait for a target, or have been sent to one that has not begun to
// respond, when their work is put in quarantine: nobody serves them, and they may end one more target.
func TestQuarantineWithdrawsRequests(t *testing.T) {
	one := "id: 1\ndata: a\n\n"
	for _, tc := range []struct {
		name   string
		holds  bool
		script string
		status int
	}{
		{"waits for a target", true, "", 503},
		{"no response", false, hang, 502},
		{"the response has begun", false, streamHead + rawChunk(marked(one)) + wait + lastChunk, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b, proceed := newTarget(t, "a", tc.script), newTarget(t, "b", ok), make(chan struct{})
			a.proceed = proceed
			r := newFixture(t, a, b)
			r.fleet.holds = tc.holds
			answered := make(chan callerResponse)
			go func() { answered <- r.request("POST", "/stream/", "body", "Prefix: p") }()
			switch {
			case tc.holds:
				<-r.fleet.asked
			case tc.status == 200:
				<-r.fleet.began
			default:
				for len(a.requests()) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			r.quarantine.bar()
			r.g.QuarantineChanged()
			close(proceed)
			if got := <-answered; got.status != tc.status || got.broken {
				t.Errorf("status %d, broken = %v, want status %d", got.status, got.broken, tc.status)
			}
			if n := len(b.requests()); n > 0 {
				t.Errorf("%d requests reached the other target", n)
			}
		})
	}
}
