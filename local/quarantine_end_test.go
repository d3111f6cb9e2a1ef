package local_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/quarantine"
)

// stopCrashing makes the work that was fatal harmless, as a new version of the targets does.
func stopCrashing(s *local.System) {
	harmless := func(b *standin.Behaviour) { b.CrashBody = "" }
	for _, x := range s.Targets() {
		x.Target().ChangeBehaviour(harmless)
	}
	for r := range groupShape.Ranks {
		s.Group().Target(r).ChangeBehaviour(harmless)
	}
}

func sendFatal(s *local.System, h *history, box int) standin.Reply {
	q := standin.Request{ID: h.nextID(), Path: "/again/x", Key: apiKey, Body: fatalText, Timeout: 2 * time.Second}
	return s.SendRequest(context.Background(), entry(s, box), q)
}

// TestLiftReleasesWorkAtAllBoxes guards against a quarantine that lasts at some boxes, or comes back, after
// an operator lifted it: seconds after the lift each box must have released the work, and serve it.
func TestLiftReleasesWorkAtAllBoxes(t *testing.T) {
	const within = 4 * time.Second
	cut := func(s *local.System, link local.Link) {
		s.Network.SetLink(s.Halls()[1], local.StoreHall, link)
		s.Network.SetLink(s.Halls()[0], s.Halls()[1], link)
	}
	for _, tc := range []struct {
		name   string
		boxes  int                                   // 0 for four
		before func(*local.System)                   // before the lift
		after  func(*local.System, standin.Snapshot) // after it; the backup is older than it
	}{
		{name: "four boxes"},
		{name: "forty boxes, in halls with hubs", boxes: 40},
		{name: "half of the boxes cannot reach the store", before: func(s *local.System) {
			s.Network.SetLink(s.Halls()[1], local.StoreHall, local.Refused)
		}},
		{name: "a hall was cut off", before: func(s *local.System) { cut(s, local.Silent) }, after: func(s *local.System, _ standin.Snapshot) { cut(s, local.Open) }},
		{name: "the store is restored from before the lift, and all boxes start again", after: func(s *local.System, backup standin.Snapshot) {
			s.Store.Restore(backup)
			time.Sleep(6 * time.Second)
			killAll(s)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc, seen := busyScenario(), &logBuffer{}
			sc.seed, sc.length, sc.paths, sc.fatalBody, sc.entries, sc.log = 1, 20*time.Second, []string{"/again/y"}, fatalText, tc.boxes, seen
			sc.callers = 2
			sc.operator = func(s *local.System, h *history) {
				s.Store.SetFailureMode(standin.Healthy, storeDelay)
				time.Sleep(2 * time.Second) // each box has a retry to spend then
				sendFatal(s, h, 0)
				time.Sleep(4 * time.Second)
				stopCrashing(s)
				if len(s.Store.Names("quarantine")) == 0 || sendFatal(s, h, 1).Correct {
					h.addViolation("the work is not in quarantine, so the run tests nothing")
					return
				}
				backup := s.Store.Snapshot()
				if tc.before != nil {
					tc.before(s)
				}
				digest, _, _ := strings.Cut(s.Store.Names("quarantine")[0], "-")
				record := quarantine.NewLiftRecord(call.Digest(digest), time.Now(), nil)
				_, _ = s.Store.Put("quarantine", record.Name(), record) // the store accepts every object of the tests
				time.Sleep(within)
				if tc.after != nil {
					tc.after(s, backup)
					time.Sleep(within)
				}
				if n := seen.count("because an operator lifted it"); n < len(s.Entries()) {
					h.addViolation("%d of %d boxes released the work", n, len(s.Entries()))
				}
				for i := range s.Entries() {
					if r := sendFatal(s, h, i); !r.Correct {
						h.addViolation("box %d answered %d to the work that was lifted", i, r.Status)
					}
				}
			}
			sc.run(t, func(_ *local.System, h *history) {
				for _, v := range h.violations {
					t.Error(v)
				}
			})
		})
	}
}

// TestTrialReleasesWorkAtAllBoxes guards against harmless work that is refused for the whole of its
// quarantine, and against a release that boxes forget as all of them start again.
func TestTrialReleasesWorkAtAllBoxes(t *testing.T) {
	sc, seen := busyScenario(), &logBuffer{}
	sc.seed, sc.length, sc.callers, sc.fatalBody, sc.log = 1, time.Second, 1, fatalText, seen
	sc.operator = func(s *local.System, h *history) {
		sendFatal(s, h, 0)
		time.Sleep(4 * time.Second)
		stopCrashing(s)
		began, released := time.Now(), false
		for try := 0; !released && time.Since(began) < 100*time.Second; try++ {
			time.Sleep(500 * time.Millisecond)
			released = sendFatal(s, h, try).Correct
		}
		after := time.Since(began)
		if !released || after < 50*time.Second {
			h.addViolation("released = %v after %v, want one request to be served after a minute", released, after)
		}
		time.Sleep(2 * time.Second)
		if n := seen.count("work in quarantine is tried at one target"); n != 1 {
			h.addViolation("%d trials, want 1", n)
		}
		killAll(s)
		time.Sleep(4 * time.Second)
		for i := range s.Entries() {
			if r := sendFatal(s, h, i); !r.Correct {
				h.addViolation("box %d answered %d to the work that was released", i, r.Status)
			}
		}
	}
	sc.run(t, func(_ *local.System, h *history) {
		for _, v := range h.violations {
			t.Error(v)
		}
	})
}
