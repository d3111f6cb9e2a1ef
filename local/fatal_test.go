package local_test

import (
	"context"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// The tests of this file guard against a request that crashes one target after another. In a
// fleet, targets of different groups ended in pairs, a quarter of a second apart, repeatedly for 15 s
// and as soon as they had restarted. One request, which a caller repeated at other boxes, crashed
// each target that began to run it. A box sent it to a second target because it may be repeated, and
// no box had a record of the targets that it or others had lost to it before: the state of a request
// ended with each try. The tests reproduce the pairs of crashes, which stop once boxes keep such
// records.

// fatalText is the body of a request that crashes each target that runs it.
const fatalText = "fatal"

// quarantineGrace is how long boxes have to notify each other of a request after enough targets
// have ended while they ran it.
const quarantineGrace = 3 * time.Second

// maxRunsAfterGrace limits how many times targets may run such a request after quarantineGrace.
const maxRunsAfterGrace = 3

// fatalCaller is a caller that sends the same fatal request repeatedly, to one box after another.
type fatalCaller struct {
	path        string
	timeout     time.Duration                  // time after which the caller abandons a try
	chooseBox   func(try int) int              // index of the box for a try; nil for all boxes in turn
	beforeFirst func(s *local.System)          // runs before the first try; may be nil
	afterEach   func(s *local.System, try int) // runs after each try; may be nil
}

func (c fatalCaller) run(s *local.System, h *history) {
	const tries = 60
	time.Sleep(time.Second)
	if c.beforeFirst != nil {
		c.beforeFirst(s)
	}
	for try := range tries {
		e := entry(s, try)
		if c.chooseBox != nil {
			e = entry(s, c.chooseBox(try))
		}
		if e.Running() {
			q := standin.Request{ID: h.nextID(), Path: c.path, Key: apiKey, Body: fatalText, Timeout: c.timeout}
			h.add(exchange{request: q, box: e.Name(), sentAt: time.Now(), reply: s.SendRequest(context.Background(), e, q)})
		}
		time.Sleep(300 * time.Millisecond)
		if c.afterEach != nil {
			c.afterEach(s, try)
		}
	}
}

// crashAfter is how long a target runs a fatal request before it crashes.
const crashAfter = 60 * time.Millisecond

// killAll kills all entry boxes and starts them again half a second later.
func killAll(s *local.System) {
	for _, e := range s.Entries() {
		e.Kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range s.Entries() {
		_ = e.Start() // cannot fail on a network in memory
	}
}

// cutHalls silences the links between all halls.
func cutHalls(s *local.System) {
	halls := s.Halls()
	for i := range halls {
		for _, other := range halls[i+1:] {
			s.Network.SetLink(halls[i], other, local.Silent)
		}
	}
}

// TestQuarantineStopsCrashingRequests checks that a fatal request, once three targets have ended
// while they ran it and boxes have had time to notify each other, reaches targets at most three more
// times.
func TestQuarantineStopsCrashingRequests(t *testing.T) {
	const callerTimeout = 2 * time.Second
	for _, tc := range []struct {
		name   string
		halls  int // 0 for two
		caller fatalCaller
	}{
		{"repeatable", 0, fatalCaller{path: "/again/x", timeout: callerTimeout}},
		{"once only", 0, fatalCaller{path: "/once/x", timeout: callerTimeout}},
		{"stream", 0, fatalCaller{path: "/stream/x", timeout: callerTimeout}},
		{"all boxes die", 0, fatalCaller{path: "/again/x", timeout: callerTimeout, afterEach: func(s *local.System, try int) {
			if try%15 == 14 {
				killAll(s)
			}
		}}},
		{"boxes die in turn", 0, fatalCaller{path: "/again/x", timeout: callerTimeout, afterEach: func(s *local.System, try int) {
			if try%4 == 3 {
				entry(s, try/4).Kill()
				_ = entry(s, try/4).Start()
			}
		}}},
		{"the caller leaves before the target ends", 0, fatalCaller{path: "/again/x", timeout: crashAfter / 2}},
		// The caller goes from one hall to the next; each learns of the crashes from the store only.
		{"halls are cut from each other", 4, fatalCaller{path: "/again/x", timeout: callerTimeout, chooseBox: func(try int) int { return try / 15 }, beforeFirst: cutHalls}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.paths = 1, 24*time.Second, []string{"/again/y"}
			sc.operator = tc.caller.run
			sc.fatalBody, sc.halls = fatalText, tc.halls
			sc.run(t, func(s *local.System, h *history) {
				var runTimes []time.Time
				for _, r := range s.Runs() {
					if r.Body == fatalText {
						runTimes = append(runTimes, r.At)
					}
				}
				late := 0
				for i, x := range runTimes {
					if i >= 3 && x.Sub(runTimes[2]) > quarantineGrace {
						late++
					}
				}
				if late > maxRunsAfterGrace {
					t.Errorf("targets ran the fatal request %d times, %d of them more than %v after the third; at most %d are allowed", len(runTimes), late, quarantineGrace, maxRunsAfterGrace)
				}
				if len(runTimes) == 0 || h.served() == 0 {
					t.Errorf("the fatal request ran %d times, %d others were served: the run tests nothing", len(runTimes), h.served())
				}
			})
		})
	}
}

// TestQuarantineSparesConcurrentRequests checks that requests which run concurrently with a fatal
// one are not quarantined: their callers are served as soon as targets are available again.
func TestQuarantineSparesConcurrentRequests(t *testing.T) {
	sc := busyScenario()
	sc.seed, sc.length, sc.paths = 1, 24*time.Second, []string{"/again/y", "/stream/y"}
	sc.operator = fatalCaller{path: "/again/x", timeout: 2 * time.Second}.run
	sc.fatalBody = fatalText
	sc.run(t, func(_ *local.System, h *history) {
		served, failed := 0, 0
		for _, a := range h.exchanges {
			switch {
			case a.request.Body == fatalText:
			case a.reply.Correct:
				served++
			default:
				failed++
			}
		}
		if served < 100*failed {
			t.Errorf("%d requests that crash no target were served and %d were not; want at most 1 in 100", served, failed)
		}
	})
}

// TestRefusedLinksQuarantineNothing guards against taking a cut link for crashed targets: when the
// links between halls refuse connections, requests in flight over them break off and their targets
// refuse new connections, as if all these targets had ended.
func TestRefusedLinksQuarantineNothing(t *testing.T) {
	sc := busyScenario()
	sc.seed, sc.callers = 1, 40
	for n := range 4 {
		sc.faults = append(sc.faults, faultSpec{kind: "refuse link", at: time.Duration(2+2*n) * time.Second, lasts: time.Second})
	}
	seen := &logBuffer{}
	sc.log = seen
	sc.run(t, func(_ *local.System, h *history) {
		if seen.count("attempt failed") == 0 || h.served() == 0 {
			t.Error("no attempt failed, or no request was served: the run tests nothing")
		}
		for _, line := range []string{"target ended under work", "work in quarantine", "kind=quarantined"} {
			if n := seen.count(line); n > 0 {
				t.Errorf("%d log lines contain %q, want none", n, line)
			}
		}
	})
}
