package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/admission"
)

// inTime is the number of streams a second that can run in time: 533 at once, each for 1.7 s. With more at once,
// steps are too long while demand has shifted.
const inTime = 313

func during(t, from, to time.Duration, factor float64) float64 {
	if t > from && t < to {
		return factor
	}
	return 1
}

func burst(t time.Duration) [3]float64 {
	return [3]float64{220 * 0.36, 220 * 0.16, 220 * 0.48 * during(t, 6*time.Second, 11700*time.Millisecond, 2.3)}
}

func crest(t time.Duration) [3]float64 {
	return [3]float64{0.7 * inTime * during(t, 6*time.Second, 12*time.Second, 1.3/0.7)}
}

func half(time.Duration) [3]float64 { return [3]float64{72, 32, 96} }

// compare plays the load without a limit, with the limiter and with AIMD, and logs the outcomes.
func compare(t *testing.T, l load) (without, with *outcome) {
	list := []*outcome{play(l, newUnlimited), play(l, newLimited), play(l, newAIMD)}
	for i, name := range []string{"without a limit", "Limiter", "AIMD"} {
		o := list[i]
		for class := range l.classes {
			t.Logf("%-15s class %d: %.3f of %d in time", name, class, o.share(class), o.requested[class])
		}
		t.Logf("%-15s %d in time, %d new callers refused", name, o.total(), len(o.shed))
	}
	if n := list[1].shedReturning; n > 0 {
		t.Errorf("%d returning callers were refused", n)
	}
	return list[0], list[1]
}

// TestBurstOfLeastUrgent guards against a burst of the least urgent class that makes the most urgent late.
func TestBurstOfLeastUrgent(t *testing.T) {
	without, with := compare(t, load{classes: 3, perSecond: burst})
	if got := with.share(0); got < 0.93 || got < without.share(0)+0.04 {
		t.Errorf("%.3f of the most urgent are in time", got)
	}
	if with.total() < without.total() || with.share(2) < without.share(2) {
		t.Errorf("%d in time, %.3f of the least urgent, without a limit %d and %.3f", with.total(), with.share(2), without.total(), without.share(2))
	}
}

// TestBoxesWithoutReports guards against boxes that refuse callers although they do not know the load, and
// against a limit that fails if some boxes do not apply it.
func TestBoxesWithoutReports(t *testing.T) {
	_, with := compare(t, load{classes: 3, perSecond: burst, deaf: 3})
	if got := with.share(0); got < 0.9 {
		t.Errorf("%.3f of the most urgent are in time", got)
	}
	if deaf := play(load{classes: 3, perSecond: burst, deaf: 1}, newLimited); len(deaf.shed) > 0 {
		t.Errorf("boxes without reports refused %d callers", len(deaf.shed))
	}
}

// TestCrestOfEqualUrgency guards against refusals that cost more streams than they keep in time, whether or
// not demand shifts regularly. If shifts come at random times, the next one cannot be expected and refusals may cost
// some streams, but at most a tenth.
func TestCrestOfEqualUrgency(t *testing.T) {
	for _, tc := range []struct {
		name     string
		interval func(*rand.Rand) float64
		least    float64 // share of the streams in time without a limit
	}{
		{"regular shifts", nil, 1.08},
		{"irregular shifts", func(rnd *rand.Rand) float64 { return 2.5 + 1.5*rnd.Float64() }, 1.08},
		{"shifts at random times", func(rnd *rand.Rand) float64 { return 0.4 + 3.8*rnd.ExpFloat64() }, 0.9},
	} {
		t.Log(tc.name)
		without, with := compare(t, load{classes: 1, perSecond: crest, interval: tc.interval})
		if float64(with.total()) < tc.least*float64(without.total()) {
			t.Errorf("%s: %d in time, without a limit %d", tc.name, with.total(), without.total())
		}
	}
}

// TestHalfLoad guards against refusals while there is capacity.
func TestHalfLoad(t *testing.T) {
	if _, with := compare(t, load{classes: 3, perSecond: half}); len(with.shed) > 0 {
		t.Errorf("%d callers were refused", len(with.shed))
	}
}

// TestNoLimitHelps guards against a limiter that refuses callers because of steps that are too long at any
// load, and goes on after they have become shorter.
func TestNoLimitHelps(t *testing.T) {
	without, with := compare(t, load{classes: 3, perSecond: half, hopeless: true})
	after := 0
	for _, at := range with.shed {
		if at > 11*time.Second {
			after++
		}
	}
	if after > with.requested[2]/1000 || with.total() < without.total()*97/100 {
		t.Errorf("%d refused more than two seconds later; %d in time, without a limit %d", after, with.total(), without.total())
	}
}

// observe feeds a limiter with the gap of each step for some time, with a gap that a shift of demand
// lengthens every 4 s.
func observe(l *admission.Limiter, from time.Time, d time.Duration, requests int, gap, shifted time.Duration) time.Time {
	for at := from; ; {
		length := gap
		if at.Sub(start)%(4*time.Second) < 400*time.Millisecond {
			length = shifted
		}
		if at = at.Add(length); at.Sub(from) > d {
			return at
		}
		l.ObserveLoad(at, admission.Load{Requests: requests, Slots: 100})
		l.ObserveGap(at, length, gapObjective)
	}
}

// TestConstantGapsKeepLimit guards against a limit that drifts while nothing changes, or that follows a load which
// long steps have caused.
func TestConstantGapsKeepLimit(t *testing.T) {
	for _, shifted := range []time.Duration{70 * time.Millisecond, 115 * time.Millisecond} {
		l := admission.NewLimiter()
		now := observe(l, start, 12*time.Second, 75, 70*time.Millisecond, shifted)
		first, _ := l.State(now)
		now = observe(l, now, time.Minute, 75, 70*time.Millisecond, shifted)
		if last, ok := l.State(now); !ok || math.Abs(last.Thresholds.Limit()-first.Thresholds.Limit()) > 0.005 {
			t.Errorf("peaks of %v: limit %.3f, a minute before %.3f", shifted, last.Thresholds.Limit(), first.Thresholds.Limit())
		}
		now = observe(l, now, 3*time.Second, 95, 200*time.Millisecond, 200*time.Millisecond)
		now = observe(l, now, 12*time.Second, 75, 70*time.Millisecond, shifted)
		if last, ok := l.State(now); !ok || math.Abs(last.Thresholds.Limit()-first.Thresholds.Limit()) > 0.02 {
			t.Errorf("peaks of %v: limit %.3f, before steps that were long for another reason %.3f", shifted, last.Thresholds.Limit(), first.Thresholds.Limit())
		}
	}
}

// TestUnknownGroupIsNotLimited guards against refusals by what no longer holds or was never seen.
func TestUnknownGroupIsNotLimited(t *testing.T) {
	const late = 125 * time.Millisecond
	for name, tc := range map[string]struct {
		change  func(l *admission.Limiter, now time.Time) time.Time
		limited bool
	}{
		"nothing":                 {func(_ *admission.Limiter, now time.Time) time.Time { return now }, true},
		"an earlier epoch":        {func(l *admission.Limiter, now time.Time) time.Time { l.Formed(1); return now }, true},
		"a new epoch":             {func(l *admission.Limiter, now time.Time) time.Time { l.Formed(3); return now }, false},
		"no gaps for a second":    {func(l *admission.Limiter, now time.Time) time.Time { return now.Add(1100 * time.Millisecond) }, false},
		"old reports":             {reports(admission.Load{Requests: 90, Slots: 100, Age: 1600 * time.Millisecond}), false},
		"reports from the future": {reports(admission.Load{Requests: 90, Slots: 100, Age: -1600 * time.Millisecond}), false},
		"no slots":                {reports(admission.Load{Requests: 90}), false},
		"a negative load":         {reports(admission.Load{Requests: -1, Slots: 100}), false},
		"gaps of no length only":  {gaps(0), false},
		"gaps of less than that":  {gaps(-time.Hour), false},
		"a gap without objective": {func(l *admission.Limiter, now time.Time) time.Time { l.ObserveGap(now, late, 0); return now }, true},
		"a stream that is delayed": {func(l *admission.Limiter, now time.Time) time.Time {
			for _, gap := range []time.Duration{80, 140} {
				l.ObserveGap(now, gap*time.Millisecond, gapObjective)
			}
			return observe(l, now, 300*time.Millisecond, 90, 80*time.Millisecond, late)
		}, true},
		"gaps again after a break": {func(l *admission.Limiter, now time.Time) time.Time {
			return observe(l, now.Add(2*time.Second), 300*time.Millisecond, 90, 80*time.Millisecond, late)
		}, false},
		"a clock that is set back": {func(l *admission.Limiter, now time.Time) time.Time {
			l.ObserveGap(now.Add(-time.Hour), late, gapObjective)
			return now
		}, false},
	} {
		l := admission.NewLimiter()
		l.Formed(2)
		now := tc.change(l, observe(l, start, 5*time.Second, 90, 80*time.Millisecond, late))
		s, ok := l.State(now)
		if ok != tc.limited || ok && !(s.Thresholds.Limit() > 0.6 && s.Thresholds.Limit() < 1) {
			t.Errorf("%s: limited %v by %+v", name, ok, s)
		}
	}
}

func reports(r admission.Load) func(*admission.Limiter, time.Time) time.Time {
	return func(l *admission.Limiter, now time.Time) time.Time { l.ObserveLoad(now, r); return now }
}

func gaps(gap time.Duration) func(*admission.Limiter, time.Time) time.Time {
	return func(l *admission.Limiter, now time.Time) time.Time {
		for range 150 {
			now = now.Add(10 * time.Millisecond)
			l.ObserveLoad(now, admission.Load{Requests: 90, Slots: 100})
			l.ObserveGap(now, gap, gapObjective)
		}
		return now
	}
}
