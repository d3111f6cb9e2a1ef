package local_test

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/telemetry"
)

const (
	// outageAt and outageLasts are when a rank is lost and for how long; the group forms after that. A caller
	// has 4 s. It returns after a third of them at most, and then waits for up to 2.67 s.
	outageAt, outageLasts = 2 * time.Second, 2500 * time.Millisecond
	formTime              = 500 * time.Millisecond
	callerTime            = 4 * time.Second
	// ampleRetrySlack allows each request a second attempt, so that no request is refused because the retry
	// budget of its box is exhausted.
	ampleRetrySlack = 10000
	// maxBroken is how many requests may break off: those that two ranks accepted before boxes noticed the outage.
	// Some 25 run or arrive in that time.
	maxBroken = 12
)

// returningCaller sends a request, and sends it once more through another box if it is refused as not run. It
// uses boxes that are ready.
func returningCaller(s *local.System, h *history, rnd *rand.Rand) {
	first := rnd.IntN(len(s.Entries()))
	deadline := time.Now().Add(callerTime)
	for try := range 2 {
		e := entry(s, first+try)
		if !e.Ready(context.Background()) {
			e = entry(s, first+try+1)
		}
		q := standin.Request{ID: h.nextID(), Path: standin.GroupPath + "x", Key: apiKey, Body: "text", Timeout: time.Until(deadline)}
		x := exchange{request: q, box: e.Name(), sentAt: time.Now(), reply: s.SendRequest(context.Background(), e, q)}
		h.add(x)
		switch {
		case x.reply.Correct:
			return
		case !x.reply.NotRun():
			return
		case try > 0:
			h.addViolation("%s through %s", q.ID, e.Name())
		}
		time.Sleep(x.reply.RetryAfter)
	}
}

// rankOutage is the loss of a rank of the group.
type rankOutage struct {
	cut    bool                // whether the rank runs on, cut off with its data hall
	during func(*local.System) // runs a fifth of a second before the rank returns; nil for nothing
	at     time.Time           // when the rank was lost
	pause  time.Duration       // between two callers; 0 for 25 ms
}

// run loses the rank for outageLasts, while callers arrive from one second before until one second
// after the outage.
func (o *rankOutage) run(s *local.System, h *history) {
	var callers sync.WaitGroup
	rnd := rand.New(rand.NewPCG(1, 2))
	time.Sleep(outageAt - time.Second)
	o.at = time.Now().Add(time.Second)
	callers.Go(func() { o.inject(s) })
	for time.Since(o.at) < outageLasts+formTime+time.Second {
		r := rand.New(rand.NewPCG(rnd.Uint64(), 1))
		callers.Go(func() { returningCaller(s, h, r) })
		time.Sleep(cmp.Or(o.pause, 25*time.Millisecond))
	}
	callers.Wait()
}

func (o *rankOutage) inject(s *local.System) {
	const rank = 2
	time.Sleep(time.Second)
	if o.cut {
		s.Group().CutOff(rank)
	} else {
		s.Group().Lose(rank)
	}
	const rest = 200 * time.Millisecond
	time.Sleep(outageLasts - rest)
	if o.during != nil {
		o.during(s)
	}
	time.Sleep(rest)
	s.Group().Return()
}

// checkUnserved returns the number of tries that were refused as not run, and of those that broke off. It checks
// that the former did not run, and that the latter had begun before the ranks declined requests.
func checkUnserved(t *testing.T, s *local.System, h *history, lostAt time.Time) (refused, broken int) {
	const declineAfter = 1500 * time.Millisecond
	ran := runCounts(s)
	for _, x := range h.exchanges {
		switch {
		case x.reply.NotRun():
			refused++
			if ran[x.request.ID] > 0 {
				t.Errorf("%s got status %d and ran", x.request.ID, x.reply.Status)
			}
		case !x.reply.Correct:
			broken++
			if x.sentAt.Sub(lostAt) > declineAfter {
				t.Errorf("%s through %s at %v: status %d, %v", x.request.ID, x.box, x.sentAt, x.reply.Status, x.reply.Err)
			}
		}
	}
	return refused, broken
}

// TestReturningCallersWaitForStoppedGroup guards against refusing callers for good that return while their group
// is still stopped: a rank is lost for 2.5 s and the group forms for 0.5 s after that.
func TestReturningCallersWaitForStoppedGroup(t *testing.T) {
	disabled := process.DefaultOverload()
	disabled.MaxQueued = 0
	for _, tc := range []struct {
		name     string
		overload *process.Overload // nil for the defaults
		outage   rankOutage
		stops    bool  // whether some requests wait at a box that stops
		empty    []int // indexes of the halls that are evacuated
	}{
		{name: "a rank ends"},
		{name: "a data hall is cut off", outage: rankOutage{cut: true}},
		{name: "a box stops", outage: rankOutage{during: func(s *local.System) { go s.Entries()[1].Stop() }}, stops: true},
		{name: "one rank is in use", outage: rankOutage{pause: 75 * time.Millisecond}, empty: []int{1, 2}},
		{name: "nobody may wait", overload: &disabled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seen := &logBuffer{}
			sc := busyScenario()
			sc.seed, sc.callers, sc.halls, sc.entries, sc.overload, sc.log, sc.retrySlack = 1, 0, 3, 6, tc.overload, seen, ampleRetrySlack
			for link := 1; tc.outage.cut && link <= 2; link++ {
				sc.faults = append(sc.faults, faultSpec{kind: "silence link", at: outageAt, lasts: outageLasts, index: link})
			}
			sc.evacuates = len(tc.empty) > 0
			sc.operator = func(s *local.System, h *history) {
				for _, hall := range tc.empty {
					evacuate(s, hall)
				}
				tc.outage.run(s, h)
			}
			sc.run(t, func(s *local.System, h *history) {
				refused, broken := checkUnserved(t, s, h, tc.outage.at)
				outcomes := s.Metrics().Totals(telemetry.QueueOutcomes)
				t.Logf("%d of %d tries served, %d refused, %d broken off; %d callers refused for good; queue %v",
					h.served(), len(h.exchanges), refused, broken, len(h.violations), outcomes)
				if tc.overload != nil {
					if len(h.violations) == 0 || seen.count("request queued") > 0 {
						t.Errorf("%d callers were refused for good and %d requests waited; want some and none", len(h.violations), seen.count("request queued"))
					}
					return
				}
				most := maxBroken
				if len(tc.empty) > 0 {
					most = 0 // no request is accepted by two ranks
				}
				if broken > most {
					t.Errorf("%d requests broke off, want at most %d: the others can wait for the group", broken, most)
				}
				if stopped := int(outcomes["stopped"]); len(h.violations) > stopped || (stopped > 0) != tc.stops {
					t.Errorf("%d callers were refused for good, %d waited at a box that stopped: %q", len(h.violations), stopped, h.violations)
				}
				if released := seen.count("queued request released"); released == 0 || float64(released) != outcomes["released"] || refused == 0 {
					t.Errorf("%d queued requests are logged as released and %v counted, %d tries were refused; want some and as many", released, outcomes["released"], refused)
				}
			})
		})
	}
}

// TestCallerThatLeavesFreesItsPlace guards against places in the queue that callers hold who have left, and against
// a queue above its bound.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	onePlace := process.DefaultOverload()
	onePlace.MaxQueued = 1
	sc := busyScenario()
	sc.callers, sc.halls, sc.entries, sc.overload, sc.log = 0, 3, 1, &onePlace, &logBuffer{}
	sc.operator = func(s *local.System, h *history) {
		send := func(ctx context.Context, timeout time.Duration) standin.Reply {
			q := standin.Request{ID: h.nextID(), Path: standin.GroupPath + "x", Key: apiKey, Timeout: timeout}
			return s.SendRequest(ctx, s.Entries()[0], q)
		}
		returning := callerTime * 5 / 8 // time that a caller has left when it returns
		if r := send(context.Background(), callerTime); !r.Correct {
			h.addViolation("status %d before the outage", r.Status)
		}
		s.Group().Lose(2)
		time.Sleep(2 * time.Second)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, leave)
		time.AfterFunc(time.Second, s.Group().Return)
		var callers sync.WaitGroup
		callers.Go(func() { send(ctx, returning) })
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		if r := send(context.Background(), returning); !r.NotRun() || time.Since(start) > 50*time.Millisecond {
			h.addViolation("a caller without a place got status %d after %v, want a refusal at once", r.Status, time.Since(start))
		}
		time.Sleep(150 * time.Millisecond)
		if r := send(context.Background(), returning); !r.Correct {
			h.addViolation("the caller that took the place got status %d", r.Status)
		}
		callers.Wait()
	}
	sc.run(t, func(s *local.System, h *history) {
		for _, v := range h.violations {
			t.Error(v)
		}
		if got := s.Metrics().Totals(telemetry.QueueOutcomes); got["left"] != 1 || got["released"] != 1 || len(got) != 2 {
			t.Errorf("outcomes %v, want one that left and one that was released", got)
		}
		var metrics bytes.Buffer
		s.Metrics().Write(&metrics)
		if want := `clovertrail_queued{reason="model"} 0`; !strings.Contains(metrics.String(), want) {
			t.Errorf("metrics lack %s after the outage", want)
		}
	})
}
