package local_test

import (
	"context"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// Targets of a fleet ended in pairs, a quarter of a second apart and in different groups, over
// and over for a quarter of a minute, as soon as they were back. One request, which a caller
// made again at other boxes, crashed each target that began to run it. A box sent it to a
// second target because it may be repeated, and no box knew what others, or itself a moment
// ago, had lost targets to: what is remembered of a request ended with each try of it. What
// proved it: this test brings the pairs about, and they end with the memory.

// fatalText is the body of a request that crashes whatever runs it.
const fatalText = "fatal"

// quarantineGrace is how long boxes have to notify each other of a request under which
// enough targets have ended.
const quarantineGrace = 3 * time.Second

// maxRunsAfterGrace is how many times such a request may reach targets after that.
const maxRunsAfterGrace = 3

// fatalCaller are those of a caller who asks for the same over and over, at one box after another.
type fatalCaller struct {
	path        string
	timeout     time.Duration                  // the caller leaves then
	chooseBox   func(try int) int              // nil for one after another
	beforeFirst func(s *local.System)          // happens before the first try; nil for nothing
	afterEach   func(s *local.System, try int) // happens after each try; nil for nothing
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
			q := standin.Request{ID: h.nextID(), Path: c.path, Key: apiKey, Body: fatalText, Within: c.timeout}
			h.add(exchange{request: q, box: e.Name(), sentAt: time.Now(), reply: s.SendRequest(context.Background(), e, q)})
		}
		time.Sleep(300 * time.Millisecond)
		if c.afterEach != nil {
			c.afterEach(s, try)
		}
	}
}

// crashAfter is how long a target runs such a request before it crashes.
const crashAfter = 60 * time.Millisecond

// killAll ends all entry boxes at once, and starts them again.
func killAll(s *local.System) {
	for _, e := range s.Entries() {
		e.Kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range s.Entries() {
		_ = e.Start() // in memory nothing can fail to
	}
}

// cutHalls cuts all halls from each other.
func cutHalls(s *local.System) {
	halls := s.Halls()
	for i := range halls {
		for _, other := range halls[i+1:] {
			s.Network.SetLink(halls[i], other, local.Silent)
		}
	}
}

// TestARequestThatCrashesTargetsIsNotSentOnForever: once three targets have ended under it
// and boxes have had time to notify each other, it reaches targets three more times at the most.
func TestARequestThatCrashesTargetsIsNotSentOnForever(t *testing.T) {
	const patient = 2 * time.Second
	for _, tc := range []struct {
		name  string
		halls int // 0 for two
		calls fatalCaller
	}{
		{"repeatable", 0, fatalCaller{path: "/again/x", timeout: patient}},
		{"once only", 0, fatalCaller{path: "/once/x", timeout: patient}},
		{"stream", 0, fatalCaller{path: "/stream/x", timeout: patient}},
		{"all boxes die", 0, fatalCaller{path: "/again/x", timeout: patient, afterEach: func(s *local.System, try int) {
			if try%15 == 14 {
				killAll(s)
			}
		}}},
		{"boxes die in turn", 0, fatalCaller{path: "/again/x", timeout: patient, afterEach: func(s *local.System, try int) {
			if try%4 == 3 {
				entry(s, try/4).Kill()
				_ = entry(s, try/4).Start()
			}
		}}},
		{"the caller leaves before the target ends", 0, fatalCaller{path: "/again/x", timeout: crashAfter / 2}},
		// The caller goes from one hall to the next, each of which only the store can tell.
		{"halls are cut from each other", 4, fatalCaller{path: "/again/x", timeout: patient, chooseBox: func(try int) int { return try / 15 }, beforeFirst: cutHalls}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.paths = 1, 24*time.Second, []string{"/again/y"}
			sc.operator = tc.calls.run
			sc.fatalBody, sc.halls = fatalText, tc.halls
			sc.run(t, func(s *local.System, h *history) {
				var at []time.Time
				for _, r := range s.Runs() {
					if r.Body == fatalText {
						at = append(at, r.At)
					}
				}
				late := 0
				for i, x := range at {
					if i >= 3 && x.Sub(at[2]) > quarantineGrace {
						late++
					}
				}
				if late > maxRunsAfterGrace {
					t.Errorf("targets ran it %d times, %d of them too late", len(at), late)
				}
				if len(at) == 0 || h.served() == 0 {
					t.Errorf("ran %d times, %d others were served: the run shows nothing", len(at), h.served())
				}
			})
		})
	}
}

// TestWhoCrashesNothingIsServed: requests that ran beside one that crashes targets are not
// taken for it: their callers are served as soon as there are targets again.
func TestWhoCrashesNothingIsServed(t *testing.T) {
	sc := busyScenario()
	sc.seed, sc.length, sc.paths = 1, 24*time.Second, []string{"/again/y", "/stream/y"}
	sc.operator = fatalCaller{path: "/again/x", timeout: 2 * time.Second}.run
	sc.fatalBody = fatalText
	sc.run(t, func(_ *local.System, h *history) {
		served, failed := 0, 0
		for _, a := range h.exchanges {
			switch {
			case a.request.Body == fatalText:
			case a.reply.Right:
				served++
			default:
				failed++
			}
		}
		if served < 100*failed {
			t.Errorf("%d were served, %d were not", served, failed)
		}
	})
}

// TestACutThatRefusesPutsNothingInQuarantine: as links between halls are cut with refusals,
// what was under way over them breaks off and its targets refuse connections, as if all had
// ended.
func TestACutThatRefusesPutsNothingInQuarantine(t *testing.T) {
	sc := busyScenario()
	sc.seed, sc.callers = 1, 40
	for n := range 4 {
		sc.faults = append(sc.faults, faultSpec{kind: "refuse link", at: time.Duration(2+2*n) * time.Second, lasts: time.Second})
	}
	seen := &logBuffer{}
	sc.log = seen
	sc.run(t, func(_ *local.System, h *history) {
		if seen.count("attempt failed") == 0 || h.served() == 0 {
			t.Error("nothing broke off, or nothing was served: the run shows nothing")
		}
		for _, line := range []string{"target ended under work", "work in quarantine", "kind=quarantined"} {
			if n := seen.count(line); n > 0 {
				t.Errorf("%d lines %q", n, line)
			}
		}
	})
}
