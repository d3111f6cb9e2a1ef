package local_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// A third of the targets of a fleet turned away all that reached them for some nine seconds, and
// said with each answer for how long they wanted nothing from the box that asked. They went on
// getting seven in ten of all attempts, and half of the callers were refused. What a target
// asked for was told to the caller and forgotten: nothing that chooses targets knew of it, and
// one that answers at once and has nothing open looks like the one with the most room. What
// proved it: this test, in which a box sends such a target up to 113 requests in the time for
// which it was asked for rest, and none once the roster keeps what they asked for.

const (
	// restGracePeriod is how long after its answer a target bears what was under way to it.
	restGracePeriod = 500 * time.Millisecond
	// maxDuringRest is how many requests of a box a target bears in the rest of the time.
	maxDuringRest = 2
)

// rejectBetween makes the targets turn all away and ask for rest between the times.
func rejectBetween(targets func(*local.System) []*standin.Target, rest, from, to time.Duration) func(*local.System, *history) {
	return func(s *local.System, _ *history) {
		set := func(on bool) {
			for _, x := range targets(s) {
				x.Behave(func(h *standin.Habits) { h.Full, h.Rest = on, map[bool]time.Duration{true: rest}[on] })
			}
		}
		time.Sleep(from)
		set(true)
		time.Sleep(to - from)
		set(false)
	}
}

// plainTargets are the first targets that stand plainTargets; ranks are the first of the group.
func plainTargets(n int) func(*local.System) []*standin.Target {
	return func(s *local.System) (list []*standin.Target) {
		for _, x := range s.Targets()[:n] {
			list = append(list, x.Target())
		}
		return list
	}
}

func rankTargets(n int) func(*local.System) []*standin.Target {
	return func(s *local.System) (list []*standin.Target) {
		for r := range n {
			list = append(list, s.Group().Target(r))
		}
		return list
	}
}

// boxByRequest is which box had each request.
func boxByRequest(h *history) map[string]string {
	boxes := map[string]string{}
	for _, a := range h.exchanges {
		boxes[a.request.ID] = a.box
	}
	return boxes
}

// maxRequestsDuringRest is the most requests that one box sent a target in a time for which that had asked
// it for rest, but for its beginning.
func maxRequestsDuringRest(turned []standin.Turned, boxes map[string]string) int {
	most := 0
	for _, asked := range turned {
		n := 0
		for _, x := range turned {
			if boxes[x.ID] == boxes[asked.ID] && x.At.Sub(asked.At) > restGracePeriod && x.At.Before(asked.RestUntil) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestATargetThatAskedForRestGetsIt: no box sends a target more than a few requests between
// half a second after it asked that box for rest and the end of that.
func TestATargetThatAskedForRestGetsIt(t *testing.T) {
	const rest = 3 * time.Second
	for _, tc := range []struct {
		name    string
		targets func(*local.System) []*standin.Target
		paths   []string
		also    []faultSpec
	}{
		{"one of four", plainTargets(1), allPaths, nil},
		{"half of them", plainTargets(2), allPaths, nil},
		{"all of a service", plainTargets(4), allPaths, nil},
		{"a rank of a group", rankTargets(1), []string{standin.GroupPath + "x", "/again/x"}, nil},
		{"streams that may be taken up elsewhere", plainTargets(2), []string{"/stream/x"}, []faultSpec{{kind: "break off streams", at: time.Second, lasts: 9 * time.Second, index: 3}}},
		{"the store is away", plainTargets(2), allPaths, []faultSpec{{kind: "store silent", at: time.Second, lasts: 10 * time.Second}}},
		{"links are slow", plainTargets(2), allPaths, []faultSpec{{kind: "slow link", at: time.Second, lasts: 10 * time.Second}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.callers, sc.paths, sc.faults = 1, 14*time.Second, 16, tc.paths, tc.also
			sc.operator = rejectBetween(tc.targets, rest, 2*time.Second, 9*time.Second)
			sc.run(t, func(s *local.System, h *history) {
				boxes, asks := boxByRequest(h), 0
				for _, x := range tc.targets(s) {
					turned := x.Turned()
					asks += len(turned)
					if n := maxRequestsDuringRest(turned, boxes); n > maxDuringRest {
						t.Errorf("a target had asked a box for %v of rest, and got %d requests from it in that time", rest, n)
					}
				}
				if asks == 0 || h.served() == 0 {
					t.Errorf("%d requests were turned away, %d served: the run shows nothing", asks, h.served())
				}
			})
		})
	}
}

// TestCallersAreToldWhenRestingTargetsTakeWork: where all targets rest, callers who would wait
// much longer are refused at once, and come back as the first of them takes work again.
func TestCallersAreToldWhenRestingTargetsTakeWork(t *testing.T) {
	const rest, spread = time.Second, 250 * time.Millisecond
	sc := busyScenario()
	sc.seed, sc.length, sc.callers, sc.timeout = 1, 10*time.Second, 16, 30*time.Second
	sc.paths = []string{"/again/x", "/once/x", "/stream/x"}
	sc.operator = rejectBetween(plainTargets(4), rest, 2*time.Second, 6*time.Second)
	sc.run(t, func(_ *local.System, h *history) {
		refused := 0
		for _, a := range h.exchanges {
			if !a.reply.NotRun() {
				continue
			}
			refused++
			if a.reply.Again <= 0 || a.reply.Again > rest+spread {
				t.Errorf("%s is told to come back in %v", a.request.ID, a.reply.Again)
			}
			if took := a.repliedAt.Sub(a.sentAt); took > spread {
				t.Errorf("%s is refused after %v", a.request.ID, took)
			}
		}
		if refused == 0 || h.served() == 0 {
			t.Errorf("%d were refused, %d served: the run shows nothing", refused, h.served())
		}
	})
}

// TestWhoTurnsAllAwayDoesNotDrawTheLoad: targets turn all away for seven seconds and do not say
// for how long, as where they are full. They answer at once and have nothing open, and get no more
// of the attempts than their part of the targets; the others, which have room, serve the callers.
func TestWhoTurnsAllAwayDoesNotDrawTheLoad(t *testing.T) {
	const from, to, away = 2 * time.Second, 9 * time.Second, 2
	sc := busyScenario()
	sc.seed, sc.length, sc.callers, sc.paths = 1, 12*time.Second, 24, []string{"/again/x", "/once/x", "/stream/x"}
	sc.operator = rejectBetween(plainTargets(away), 0, from, to)
	sc.run(t, func(s *local.System, h *history) {
		turned, start := 0, h.exchanges[0].sentAt
		for _, x := range plainTargets(away)(s) {
			turned += len(x.Turned())
		}
		asked, refused := 0, 0
		for _, a := range h.exchanges {
			if at := a.sentAt.Sub(start); at < from || at > to {
				continue
			}
			asked++
			if !a.reply.Right {
				refused++
			}
		}
		if part := float64(turned) / float64(asked+turned); part > float64(away)/float64(len(s.Targets())) {
			t.Errorf("%d of %d attempts were at targets that turn all away", turned, asked+turned)
		}
		if refused > asked/100 {
			t.Errorf("%d of %d callers were not served, though half of the targets have room", refused, asked)
		}
		if turned == 0 {
			t.Error("none was turned away: the run shows nothing")
		}
	})
}

// TestATargetThatSaysItIsLeavingGetsNoNewWork: a target reports it with each answer, and nothing
// else tells. What callers ask of a box later than the time to drain after it passed such an
// answer on does not reach that target from it.
func TestATargetThatSaysItIsLeavingGetsNoNewWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		also []faultSpec
	}{
		{"the list says that it is ready", nil},
		{"and says so again", []faultSpec{{kind: "relist target", at: 5 * time.Second, lasts: 2 * time.Second}}},
		{"it turns requests away", []faultSpec{{kind: "target full", at: 4 * time.Second, lasts: 2 * time.Second}}},
		{"it fails", []faultSpec{{kind: "target fails", at: 3 * time.Second, lasts: 4 * time.Second}}},
		{"the store is away", []faultSpec{{kind: "store silent", at: time.Second, lasts: 10 * time.Second}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.faults, sc.paths, sc.length = 1, tc.also, []string{"/again/x", "/once/x", "/stream/x"}, 14*time.Second
			sc.operator = func(s *local.System, _ *history) {
				time.Sleep(3 * time.Second)
				s.Targets()[0].Target().Behave(func(h *standin.Habits) { h.Leaving = true })
			}
			sc.run(t, func(s *local.System, h *history) { checkLeaver(t, s, h, domain.InstanceID(s.Targets()[0].ID())) })
		})
	}
}

// TestAllBoxesHearThatATargetIsLeaving: what one box learns by an answer, or the agent beside a
// rank by its own questions, holds at all boxes by the end of the time to drain, also while the
// store is away.
func TestAllBoxesHearThatATargetIsLeaving(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(*local.System) *standin.Target
		path  string
		first int // requests at one box before the others have any
	}{
		{"a target that stands alone", func(s *local.System) *standin.Target { return s.Targets()[0].Target() }, "/again/x", 60},
		{"a rank of a group, which nobody asks for anything", func(s *local.System) *standin.Target { return s.Group().Target(1) }, standin.GroupPath + "x", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var from time.Time
			var leaver string
			sc := busyScenario()
			sc.seed, sc.callers = 1, 0
			sc.operator = func(s *local.System, h *history) {
				s.Store.SetTrouble(standin.Silent, 0)
				x := tc.leave(s)
				x.Behave(func(h *standin.Habits) { h.Leaving = true })
				leaver = x.ID()
				for range tc.first {
					sc.send(s, h, entry(s, 0), tc.path)
				}
				time.Sleep(bounds().Drain.Std())
				from = time.Now()
				for i := range 200 {
					sc.send(s, h, entry(s, i), tc.path)
				}
			}
			sc.run(t, func(s *local.System, h *history) {
				before, late := 0, 0
				for _, r := range s.Runs() {
					switch {
					case r.Target != leaver:
					case r.At.Before(from):
						before++
					default:
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d requests reached a target that had been leaving for %v", late, bounds().Drain.Std())
				}
				if tc.first > 0 && before == 0 || h.served() < 200 {
					t.Errorf("it had %d requests before, %d were served: the run shows nothing", before, h.served())
				}
			})
		})
	}
}

// checkLeaver looks for requests that a box took too late after it had passed on an answer of
// the target, which has been leaving since three seconds after the start.
func checkLeaver(t *testing.T, s *local.System, h *history, leaver domain.InstanceID) {
	t.Helper()
	byID := map[string]exchange{}
	start := h.exchanges[0].sentAt
	for _, a := range h.exchanges {
		byID[a.request.ID] = a
		if a.sentAt.Before(start) {
			start = a.sentAt
		}
	}
	passed := map[string]time.Time{} // by box: when it first passed on an answer that reported it
	var at []exchange
	for _, r := range s.Runs() {
		a, known := byID[r.ID]
		if !known || domain.InstanceID(r.Target) != leaver || r.At.Sub(start) < 3100*time.Millisecond {
			continue
		}
		at = append(at, a)
		if first, ok := passed[a.box]; a.reply.Status != 0 && (!ok || a.repliedAt.Before(first)) {
			passed[a.box] = a.repliedAt
		}
	}
	late := 0
	for _, a := range at {
		if first, ok := passed[a.box]; ok && a.sentAt.Sub(first) > bounds().Drain.Std() {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests that came too late after their box had passed on that the target is leaving reached it", late)
	}
	if len(passed) == 0 {
		t.Error("the target had no work while it was leaving: the run shows nothing")
	}
}
