package admission_test

import (
	"testing"
	"time"

	"clovertrail.dev/admission"
)

const (
	fullTime  = 8 * time.Second // time to the deadline of a first try
	slo       = 400 * time.Millisecond
	firstByte = 200 * time.Millisecond // time until an answer begins, without a wait for a slot
)

var begin = time.Unix(1_800_000_000, 0)

func request(remaining, wait time.Duration) admission.Request {
	return admission.Request{Route: "r", Remaining: remaining, LatencyObjective: slo, FirstByte: firstByte + wait, Wait: wait}
}

func TestGateAdmitsRequestsThatMeetTheSLO(t *testing.T) {
	tests := []struct {
		name    string
		request admission.Request
		want    bool
	}{
		{"no wait", request(fullTime, 0), true},
		{"a short wait", request(fullTime, 100*time.Millisecond), true},
		{"a wait that leaves too little time for retries", request(fullTime, 150*time.Millisecond), false},
		{"the same wait for a retry", request(5*time.Second, 150*time.Millisecond), true},
		{"a wait too long for any request", request(5*time.Second, 250*time.Millisecond), false},
		{"no SLO", admission.Request{Route: "r", Remaining: fullTime, FirstByte: time.Hour, Wait: time.Hour}, true},
		{"too late without waiting", admission.Request{Route: "r", Remaining: fullTime, LatencyObjective: slo, FirstByte: time.Second}, true},
	}
	for _, tc := range tests {
		g := admission.NewGate()
		g.Admit(begin, request(fullTime, 0), 0) // records the longest time to the deadline on the route
		if got, _ := g.Admit(begin, tc.request, 0); got != tc.want {
			t.Errorf("%s: admitted %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestRetryAfterIsWithinWhatCallersHonour(t *testing.T) {
	g := admission.NewGate()
	for _, spread := range []float64{0, 0.5, 0.99} {
		ok, after := g.Admit(begin, request(fullTime, time.Second), spread)
		if ok || after < fullTime/6 || after > fullTime/3 {
			t.Errorf("spread %v: admitted %v, retry after %v", spread, ok, after)
		}
	}
	if after := admission.RetryAfterOverload(10*time.Millisecond, 0); after < 50*time.Millisecond {
		t.Errorf("retry after %v, want at least 50ms", after)
	}
}

// TestTimeoutsBoundWhoCountsAsReturning guards against a configuration with a shorter timeout after which all
// callers of a route count as returning, so that none of them is refused under overload any more.
func TestTimeoutsBoundWhoCountsAsReturning(t *testing.T) {
	const route, shorter = "r", 5 * time.Second
	for _, tc := range []struct {
		name     string
		timeouts map[string]time.Duration
		late     time.Duration // time to the deadline of a request that arrived before the change
		caller   time.Duration
		want     bool
	}{
		{"no change", nil, 0, shorter, true},
		{"first try after the change", map[string]time.Duration{route: shorter}, 0, shorter, false},
		{"retry after the change", map[string]time.Duration{route: shorter}, 0, shorter / 2, true},
		{"a request from before the change is decided after it", map[string]time.Duration{route: shorter}, fullTime, shorter, false},
		{"the route is gone and comes back", map[string]time.Duration{}, 0, shorter, false},
		{"unchanged timeout", map[string]time.Duration{route: fullTime}, 0, shorter, true},
	} {
		g := admission.NewGate()
		g.Returning(begin, route, fullTime)
		if tc.timeouts != nil {
			g.SetTimeouts(tc.timeouts)
		}
		g.Returning(begin, route, tc.late)
		if got := g.Returning(begin, route, tc.caller); got != tc.want {
			t.Errorf("%s: counts as returning: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestOneLongDeadlineDoesNotMakeLaterCallersReturning guards against one caller with a long deadline after which all
// callers of the route count as refused before: they would be held while their group is stopped, although they
// could return, and none of them would be refused early under overload.
func TestOneLongDeadlineDoesNotMakeLaterCallersReturning(t *testing.T) {
	const route, usual, every = "r", 5 * time.Second, 200 * time.Millisecond
	g := admission.NewGate()
	g.Returning(begin, route, fullTime)
	now := begin
	for ; now.Before(begin.Add(time.Minute)); now = now.Add(every) {
		g.Returning(now, route, usual)
		if !g.Returning(now, route, usual*2/3) {
			t.Fatalf("%v after the long deadline, a caller that returns counts as new", now.Sub(begin))
		}
	}
	if g.Returning(now, route, usual) {
		t.Errorf("%v after the only long deadline, a first try counts as returning", now.Sub(begin))
	}
	if now = now.Add(time.Hour); g.Returning(now, route, usual/2) {
		t.Error("the first caller after an hour counts as returning")
	}
}

// TestRetryAfterOutageServesMoreCallers simulates an outage: a group with ranks in several halls is
// down for 6.4 s while one of the halls is cut off: 5.8 s of the cut and the time to form the group again.
// Callers have 8 s to their deadline and retry once.
func TestRetryAfterOutageServesMoreCallers(t *testing.T) {
	const down, perSecond = 6400 * time.Millisecond, 220
	served := func(retryAfter func(time.Duration, float64) time.Duration) int {
		n := 0
		for i := range int(down.Seconds() * perSecond) {
			arrival := time.Duration(i) * time.Second / perSecond
			if retry := arrival + retryAfter(8*time.Second, float64(i%16)/16); retry >= down {
				n++
			}
		}
		return n
	}
	overload, outage := served(admission.RetryAfterOverload), served(admission.RetryAfterOutage)
	if gain := float64(outage-overload) / (down.Seconds() * perSecond); gain < 0.08 {
		t.Errorf("%d callers are served with RetryAfterOverload and %d with RetryAfterOutage: a gain of %.3f of all, want at least 0.08", overload, outage, gain)
	}
	for _, spread := range []float64{0, 0.99} {
		if after := admission.RetryAfterOutage(fullTime, spread); after > fullTime/3 || after < fullTime*31/100 {
			t.Errorf("spread %v: retry after %v of %v", spread, after, fullTime)
		}
	}
}

// TestRetryAfterReopening: callers retry as soon as a target takes requests again, if that time is
// known and they can wait that long.
func TestRetryAfterReopening(t *testing.T) {
	const remaining, most = 9 * time.Second, 3 * time.Second
	for _, tc := range []struct {
		name   string
		in     time.Duration
		lo, hi time.Duration
	}{
		{"soon", time.Second, time.Second, 1250 * time.Millisecond},
		{"unknown", 0, most * 9 / 10, most},
		{"later than callers honour", 4 * time.Second, most * 9 / 10, most},
	} {
		for _, spread := range []float64{0, 0.5, 0.99} {
			if after := admission.RetryAfterReopening(tc.in, remaining, spread); after < tc.lo || after > tc.hi {
				t.Errorf("%s, spread %v: retry after %v, want %v to %v", tc.name, spread, after, tc.lo, tc.hi)
			}
		}
	}
}

// TestRetryAfterPermitsIsEvenlySpread: retries are spread evenly between the time of the first permit and
// the longest time that callers honour, whenever the first permit becomes available.
func TestRetryAfterPermitsIsEvenlySpread(t *testing.T) {
	const remaining, most = 9 * time.Second, 3 * time.Second
	for _, tc := range []struct{ from, earliest time.Duration }{
		{-time.Second, 100 * time.Millisecond}, {time.Second, time.Second}, {5 * time.Second, most * 9 / 10},
	} {
		lo, mid, hi := admission.RetryAfterPermits(tc.from, remaining, 0), admission.RetryAfterPermits(tc.from, remaining, 0.5), admission.RetryAfterPermits(tc.from, remaining, 1)
		if lo < tc.earliest || hi > most || mid-lo != hi-mid {
			t.Errorf("from %v: retry after %v to %v, median %v", tc.from, lo, hi, mid)
		}
	}
}
