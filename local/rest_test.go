package local_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// The tests of this file guard against requests to targets that asked for rest. In a fleet, a third
// of the targets rejected all requests for about nine seconds and stated with each answer for how
// long they wanted no requests from the box that had sent one. They continued to receive seven in ten
// of all attempts, and half of the callers were refused. The boxes forwarded the answer to the caller
// but did not use it to choose targets, and a target that answers immediately and has no requests in
// flight looks like the least loaded one. Without a record of these answers a box sends such a target
// up to 113 requests in the time for which it asked for rest; with the record in the roster it sends
// none.

const (
	// restGracePeriod is the time after an answer that asks for rest in which requests in flight
	// may still arrive.
	restGracePeriod = 500 * time.Millisecond
	// maxDuringRest is how many requests of a box may reach a target after restGracePeriod, until
	// the end of its rest.
	maxDuringRest = 2
)

// rejectBetween makes the targets reject all requests and ask for rest between the two times.
func rejectBetween(targets func(*local.System) []*standin.Target, rest, from, to time.Duration) func(*local.System, *history) {
	return func(s *local.System, _ *history) {
		set := func(on bool) {
			for _, x := range targets(s) {
				x.ChangeBehaviour(func(h *standin.Behaviour) { h.RejectAll, h.Rest = on, map[bool]time.Duration{true: rest}[on] })
			}
		}
		time.Sleep(from)
		set(true)
		time.Sleep(to - from)
		set(false)
	}
}

// plainTargets selects the first n targets outside the group.
func plainTargets(n int) func(*local.System) []*standin.Target {
	return func(s *local.System) (list []*standin.Target) {
		for _, x := range s.Targets()[:n] {
			list = append(list, x.Target())
		}
		return list
	}
}

// rankTargets selects the first n ranks of the group.
func rankTargets(n int) func(*local.System) []*standin.Target {
	return func(s *local.System) (list []*standin.Target) {
		for r := range n {
			list = append(list, s.Group().Target(r))
		}
		return list
	}
}

// boxByRequest returns the box that each request was sent to, by the request's ID.
func boxByRequest(h *history) map[string]string {
	boxes := map[string]string{}
	for _, a := range h.exchanges {
		boxes[a.request.ID] = a.box
	}
	return boxes
}

// maxRequestsDuringRest returns the largest number of requests that one box sent a target during a
// rest that the target had asked it for, not counting restGracePeriod.
func maxRequestsDuringRest(rejected []standin.Rejection, boxes map[string]string) int {
	highest := 0
	for _, first := range rejected {
		n := 0
		for _, x := range rejected {
			if boxes[x.ID] == boxes[first.ID] && x.At.Sub(first.At) > restGracePeriod && x.At.Before(first.RestUntil) {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// TestRestingTargetsGetFewRequests checks that no box sends a target more than maxDuringRest requests
// between half a second after the target asked that box for rest and the end of the rest.
func TestRestingTargetsGetFewRequests(t *testing.T) {
	const rest = 3 * time.Second
	for _, tc := range []struct {
		name    string
		targets func(*local.System) []*standin.Target
		paths   []string
		faults  []faultSpec
	}{
		{"one of four", plainTargets(1), allPaths, nil},
		{"half of them", plainTargets(2), allPaths, nil},
		{"all of a service", plainTargets(4), allPaths, nil},
		{"a rank of a group", rankTargets(1), []string{standin.GroupPath + "x", "/again/x"}, nil},
		{"streams that can resume at another target", plainTargets(2), []string{"/stream/x"}, []faultSpec{{kind: "break off streams", at: time.Second, lasts: 9 * time.Second, index: 3}}},
		{"the store is unavailable", plainTargets(2), allPaths, []faultSpec{{kind: "store silent", at: time.Second, lasts: 10 * time.Second}}},
		{"links are slow", plainTargets(2), allPaths, []faultSpec{{kind: "slow link", at: time.Second, lasts: 10 * time.Second}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.callers, sc.paths, sc.faults = 1, 14*time.Second, 16, tc.paths, tc.faults
			sc.operator = rejectBetween(tc.targets, rest, 2*time.Second, 9*time.Second)
			sc.run(t, func(s *local.System, h *history) {
				boxes, total := boxByRequest(h), 0
				for _, x := range tc.targets(s) {
					rejected := x.Rejections()
					total += len(rejected)
					if n := maxRequestsDuringRest(rejected, boxes); n > maxDuringRest {
						t.Errorf("a target asked a box for %v of rest and received %d requests from it in that time, want at most %d", rest, n, maxDuringRest)
					}
				}
				if total == 0 || h.served() == 0 {
					t.Errorf("%d requests were rejected, %d served: the run tests nothing", total, h.served())
				}
			})
		})
	}
}

// TestRetryAfterMatchesEndOfRest checks that callers are refused immediately while all targets rest,
// also if they would wait much longer, and that they are asked to retry when the first target
// accepts requests again.
func TestRetryAfterMatchesEndOfRest(t *testing.T) {
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
			if a.reply.RetryAfter <= 0 || a.reply.RetryAfter > rest+spread {
				t.Errorf("%s: refusal asks to retry after %v, want at most %v", a.request.ID, a.reply.RetryAfter, rest+spread)
			}
			if took := a.repliedAt.Sub(a.sentAt); took > spread {
				t.Errorf("%s was refused after %v, want at most %v", a.request.ID, took, spread)
			}
		}
		if refused == 0 || h.served() == 0 {
			t.Errorf("%d requests were refused, %d served: the run tests nothing", refused, h.served())
		}
	})
}

// TestRejectingTargetsGetNoExtraAttempts guards against balancing towards targets that reject all
// requests. Two targets do so for seven seconds without stating for how long, as full targets do, so
// they answer immediately and have no requests in flight. Their share of the attempts must not exceed
// their share of the targets, and the other targets, which have capacity, serve the callers.
func TestRejectingTargetsGetNoExtraAttempts(t *testing.T) {
	const from, to, rejecting = 2 * time.Second, 9 * time.Second, 2
	sc := busyScenario()
	sc.seed, sc.length, sc.callers, sc.paths = 1, 12*time.Second, 24, []string{"/again/x", "/once/x", "/stream/x"}
	sc.operator = rejectBetween(plainTargets(rejecting), 0, from, to)
	sc.run(t, func(s *local.System, h *history) {
		rejected, start := 0, h.exchanges[0].sentAt
		for _, x := range plainTargets(rejecting)(s) {
			rejected += len(x.Rejections())
		}
		asked, refused := 0, 0
		for _, a := range h.exchanges {
			if at := a.sentAt.Sub(start); at < from || at > to {
				continue
			}
			asked++
			if !a.reply.Correct {
				refused++
			}
		}
		if share := float64(rejected) / float64(asked+rejected); share > float64(rejecting)/float64(len(s.Targets())) {
			t.Errorf("%d of %d attempts were at the %d targets that reject all requests", rejected, asked+rejected, rejecting)
		}
		if refused > asked/100 {
			t.Errorf("%d of %d requests were not served, though half of the targets have capacity", refused, asked)
		}
		if rejected == 0 {
			t.Error("no request was rejected: the run tests nothing")
		}
	})
}

// TestLeavingTargetsGetNoNewRequests covers a target that reports with each of its answers, and in no
// other way, that it is leaving. A request that a box receives later than bounds().Drain after it
// forwarded such an answer must not reach that target.
func TestLeavingTargetsGetNoNewRequests(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []faultSpec
	}{
		{"the list says that it is ready", nil},
		{"the list says so again", []faultSpec{{kind: "relist target", at: 5 * time.Second, lasts: 2 * time.Second}}},
		{"it rejects requests", []faultSpec{{kind: "target full", at: 4 * time.Second, lasts: 2 * time.Second}}},
		{"it fails", []faultSpec{{kind: "target fails", at: 3 * time.Second, lasts: 4 * time.Second}}},
		{"the store is unavailable", []faultSpec{{kind: "store silent", at: time.Second, lasts: 10 * time.Second}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.faults, sc.paths, sc.length = 1, tc.faults, []string{"/again/x", "/once/x", "/stream/x"}, 14*time.Second
			sc.operator = func(s *local.System, _ *history) {
				time.Sleep(3 * time.Second)
				s.Targets()[0].Target().ChangeBehaviour(func(h *standin.Behaviour) { h.Leaving = true })
			}
			sc.run(t, func(s *local.System, h *history) { checkLeaver(t, s, h, domain.InstanceID(s.Targets()[0].ID())) })
		})
	}
}

// TestLeavingReachesAllBoxes checks that a target's leaving, which one box receives with an answer or
// the agent of a rank by polling its engine, is observed by all boxes within bounds().Drain, also
// while the store is unavailable.
func TestLeavingReachesAllBoxes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(*local.System) *standin.Target
		path  string
		first int // number of requests at one box before the others receive any
	}{
		{"a target outside the group", func(s *local.System) *standin.Target { return s.Targets()[0].Target() }, "/again/x", 60},
		{"a rank of a group, without requests", func(s *local.System) *standin.Target { return s.Group().Target(1) }, standin.GroupPath + "x", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var from time.Time
			var leaver string
			sc := busyScenario()
			sc.seed, sc.callers = 1, 0
			sc.operator = func(s *local.System, h *history) {
				s.Store.SetFailureMode(standin.Unresponsive, 0)
				x := tc.leave(s)
				x.ChangeBehaviour(func(h *standin.Behaviour) { h.Leaving = true })
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
					t.Errorf("%d requests reached a target that had been leaving for more than %v", late, bounds().Drain.Std())
				}
				if tc.first > 0 && before == 0 || h.served() < 200 {
					t.Errorf("the target ran %d requests within the time to drain, and %d requests were served: the run tests nothing", before, h.served())
				}
			})
		})
	}
}

// checkLeaver checks that no box sent the leaving target a request that it received later than
// bounds().Drain after it had forwarded an answer of that target. The target has been leaving since
// three seconds after the start.
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
	forwarded := map[string]time.Time{} // when each box first forwarded an answer that reports the leaving
	var ran []exchange
	for _, r := range s.Runs() {
		a, known := byID[r.ID]
		if !known || domain.InstanceID(r.Target) != leaver || r.At.Sub(start) < 3100*time.Millisecond {
			continue
		}
		ran = append(ran, a)
		if first, ok := forwarded[a.box]; a.reply.Status != 0 && (!ok || a.repliedAt.Before(first)) {
			forwarded[a.box] = a.repliedAt
		}
	}
	late := 0
	for _, a := range ran {
		if first, ok := forwarded[a.box]; ok && a.sentAt.Sub(first) > bounds().Drain.Std() {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the leaving target that their box received more than %v after it had forwarded an answer with the leaving", late, bounds().Drain.Std())
	}
	if len(forwarded) == 0 {
		t.Error("the target ran no request while it was leaving: the run tests nothing")
	}
}
