package admission_test

import (
	"testing"
	"time"

	"clovertrail.dev/admission"
)

const (
	whole = 8 * time.Second
	aim   = 400 * time.Millisecond
	first = 200 * time.Millisecond // until an answer begins without waiting
)

func ask(left, wait time.Duration) admission.Request {
	return admission.Request{Route: "r", Remaining: left, FirstByteSLO: aim, FirstByte: first + wait, Wait: wait}
}

func TestGateAdmitsWhatCanBeInTime(t *testing.T) {
	tests := []struct {
		name string
		ask  admission.Request
		want bool
	}{
		{"no wait", ask(whole, 0), true},
		{"a short wait", ask(whole, 100*time.Millisecond), true},
		{"a wait that leaves nothing to others", ask(whole, 150*time.Millisecond), false},
		{"the same for one that came back", ask(5*time.Second, 150*time.Millisecond), true},
		{"too long for anyone", ask(5*time.Second, 250*time.Millisecond), false},
		{"no aim", admission.Request{Route: "r", Remaining: whole, FirstByte: time.Hour, Wait: time.Hour}, true},
		{"late without waiting", admission.Request{Route: "r", Remaining: whole, FirstByteSLO: aim, FirstByte: time.Second}, true},
	}
	for _, tc := range tests {
		g := admission.NewGate()
		g.Admit(ask(whole, 0), 0) // shows how long callers of the route usually have
		if got, _ := g.Admit(tc.ask, 0); got != tc.want {
			t.Errorf("%s: admitted %v", tc.name, got)
		}
	}
}

func TestRefusedCallersComeBackWithinWhatTheyHeed(t *testing.T) {
	g := admission.NewGate()
	for _, spread := range []float64{0, 0.5, 0.99} {
		ok, rest := g.Admit(ask(whole, time.Second), spread)
		if ok || rest < whole/6 || rest > whole/3 {
			t.Errorf("spread %v: admitted %v, back after %v", spread, ok, rest)
		}
	}
	if rest := admission.RetryAfterOverload(10*time.Millisecond, 0); rest < 50*time.Millisecond {
		t.Errorf("back after %v: that is at once", rest)
	}
}

func TestForgottenRoutesStartOver(t *testing.T) {
	g := admission.NewGate()
	g.Admit(ask(whole, 0), 0)
	g.Forget()
	if ok, _ := g.Admit(ask(5*time.Second, 150*time.Millisecond), 0); ok {
		t.Error("a first caller was taken for one that came back")
	}
}

// TestCallersOfAGroupThatIsDownComeBackWhenItMayBeBack: a group of ranks over several halls
// is down for 6.4 s while one of them is cut off, callers have 8 s and come back once. The
// figures are those of a cut of 5.8 s and of the time to form the group anew.
func TestCallersOfAGroupThatIsDownComeBackWhenItMayBeBack(t *testing.T) {
	const down, perSecond = 6400 * time.Millisecond, 220
	served := func(rest func(time.Duration, float64) time.Duration) int {
		n := 0
		for i := range int(down.Seconds() * perSecond) {
			came := time.Duration(i) * time.Second / perSecond
			if back := came + rest(8*time.Second, float64(i%16)/16); back >= down {
				n++
			}
		}
		return n
	}
	spread, late := served(admission.RetryAfterOverload), served(admission.RetryAfterOutage)
	if gain := float64(late-spread) / (down.Seconds() * perSecond); gain < 0.08 {
		t.Errorf("%d are served as they come back spread, %d as late as they heed: %.3f of all", spread, late, gain)
	}
	for _, chance := range []float64{0, 0.99} {
		if rest := admission.RetryAfterOutage(whole, chance); rest > whole/3 || rest < whole*31/100 {
			t.Errorf("back after %v of %v", rest, whole)
		}
	}
}

// TestCallersComeBackAsTargetsTakeWorkAgain: where it is known when, and they can wait for it.
func TestCallersComeBackAsTargetsTakeWorkAgain(t *testing.T) {
	const left, most = 9 * time.Second, 3 * time.Second
	for _, tc := range []struct {
		name   string
		in     time.Duration
		lo, hi time.Duration
	}{
		{"soon", time.Second, time.Second, 1250 * time.Millisecond},
		{"nobody knows", 0, most * 9 / 10, most},
		{"later than they heed", 4 * time.Second, most * 9 / 10, most},
	} {
		for _, spread := range []float64{0, 0.5, 0.99} {
			if rest := admission.RetryAfterReopening(tc.in, left, spread); rest < tc.lo || rest > tc.hi {
				t.Errorf("%s, spread %v: back after %v", tc.name, spread, rest)
			}
		}
	}
}

// TestCallersComeBackBetweenTheFirstTurnAndWhatTheyHeed: evenly, whatever the turn.
func TestCallersComeBackBetweenTheFirstTurnAndWhatTheyHeed(t *testing.T) {
	const left, most = 9 * time.Second, 3 * time.Second
	for _, tc := range []struct{ from, first time.Duration }{
		{-time.Second, 100 * time.Millisecond}, {time.Second, time.Second}, {5 * time.Second, most * 9 / 10},
	} {
		lo, mid, hi := admission.RetryAfterPermits(tc.from, left, 0), admission.RetryAfterPermits(tc.from, left, 0.5), admission.RetryAfterPermits(tc.from, left, 1)
		if lo < tc.first || hi > most || mid-lo != hi-mid {
			t.Errorf("from %v: between %v and %v, with %v in the middle", tc.from, lo, hi, mid)
		}
	}
}
