package ratelimit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/ratelimit"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 100, 0) }

// report returns a report of a limit at the given time.
func report(perSecond float64, d time.Duration) ratelimit.Report {
	return ratelimit.Report{Target: limited, Limit: call.Limited{PerSecond: perSecond}, At: at(d)}
}

// ended returns a report of the end of a limit at the given time.
func ended(d time.Duration) ratelimit.Report {
	return ratelimit.Report{Target: limited, Limit: call.Unlimited{}, At: at(d)}
}

// TestLimitEndsWithAnswerToLaterRequest: answers can overtake each other.
func TestLimitEndsWithAnswerToLaterRequest(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name      string
		l         call.Limit
		sent      time.Duration // the limit is reported at 10 s
		unlimited bool
	}{
		{"no limit, sent before", call.Unlimited{}, 9 * second, false},
		{"no limit, sent after", call.Unlimited{}, 11 * second, true},
		{"unreadable limit, sent after", nil, 11 * second, false},
		{"another limit, sent before", call.Limited{PerSecond: 7}, 9 * second, false},
	} {
		r := ratelimit.NewRegister(source())
		if r.RecordAnswer(at(0), limited, call.Unlimited{}, at(0)) || !r.Unlimited(limited) {
			t.Errorf("%s: a target that never reported a limit is limited", tc.name)
		}
		if !r.RecordAnswer(at(10*second), limited, call.Limited{PerSecond: 2}, at(9*second)) || r.Unlimited(limited) {
			t.Errorf("%s: the limit is not recorded", tc.name)
		}
		r.RecordAnswer(at(12*second), limited, tc.l, at(tc.sent))
		if r.Unlimited(limited) != tc.unlimited {
			t.Errorf("%s: Unlimited() = %v, want %v", tc.name, r.Unlimited(limited), tc.unlimited)
		}
	}
}

// TestNewestReportWins: whatever the order of reports, also with duplicates, all boxes that received the
// newest report agree, and a limit that has ended is not restored.
func TestNewestReportWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var reports []ratelimit.Report
		for i := range rapid.IntRange(1, 8).Draw(rt, "reports") {
			w := report(float64(1+i*10), time.Duration(i+1)*time.Second)
			if rapid.Bool().Draw(rt, "ended") {
				w = ended(time.Duration(i+1) * time.Second)
			}
			reports = append(reports, w)
		}
		newest := reports[len(reports)-1]
		order := rapid.Permutation(append(reports, reports...)).Draw(rt, "order")
		r := ratelimit.NewRegister(source())
		for _, w := range order {
			r.Update(at(time.Minute), w)
		}
		limit, isLimited := r.Limit(limited)
		want, named := newest.Limit.(call.Limited)
		if isLimited != named || limit != want.PerSecond {
			rt.Errorf("limit %v, limited %v after %v, want %v, %v", limit, isLimited, order, want.PerSecond, named)
		}
	})
}

// TestPermitsAndTurnsEndWithTheLimit: permits and turns expire after some time, and when the limit changes
// by more than the tolerance.
func TestPermitsAndTurnsEndWithTheLimit(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name  string
		do    func(*ratelimit.Register)
		spent int // permits that can be used afterwards
		due   bool
	}{
		{"no change", func(*ratelimit.Register) {}, 3, false},
		{"the limit is reported again", func(r *ratelimit.Register) { r.Update(at(second), report(5.2, second)) }, 3, false},
		{"the limit falls", func(r *ratelimit.Register) { r.Update(at(second), report(1, second)) }, 0, true},
		{"the limit rises", func(r *ratelimit.Register) { r.Update(at(second), report(50, second)) }, 0, true},
		{"the limit ends and is reported again", func(r *ratelimit.Register) {
			r.Update(at(second), ended(second))
			r.Update(at(second), report(5, 2*second))
		}, 0, true},
	} {
		r := ratelimit.NewRegister(source())
		r.Update(at(0), report(5, 0))
		r.AddPermits(at(second), limited, 3)
		r.SetTurn(ratelimit.Assigner{}, ratelimit.Turn{Target: limited, At: at(9 * second)})
		tc.do(r)
		spent := 0
		for r.UsePermit(at(second+100*time.Millisecond), limited) {
			spent++
		}
		if due := r.TurnDue(at(second+100*time.Millisecond), limited); spent != tc.spent || due != tc.due {
			t.Errorf("%s: %d permits, due %v; want %d, %v", tc.name, spent, due, tc.spent, tc.due)
		}
	}
	r := ratelimit.NewRegister(source())
	r.Update(at(0), report(5, 0))
	r.AddPermits(at(second), limited, 3)
	if r.HasPermit(at(2*second), limited) {
		t.Error("a permit is still valid after a second")
	}
	r.AddPermits(at(2*second), limited, 1)
	if !r.UsePermit(at(2*second), limited) || r.UsePermit(at(2*second), limited) {
		t.Error("expired permits become valid again with a new one")
	}
}

// TestReportsForPeers: changed limits are reported for some seconds, together with a few others. A limit that
// varies a little with each answer does not count as changed.
func TestReportsForPeers(t *testing.T) {
	const others = 2
	r := ratelimit.NewRegister(source())
	for i := range 20 {
		r.Update(at(0), ratelimit.Report{Target: domain.InstanceID(fmt.Sprint("t-", i)), Limit: call.Limited{PerSecond: 5}, At: at(0)})
	}
	if n := len(r.ReportsForPeers(at(time.Second), others)); n != 20 {
		t.Errorf("%d of 20 changed limits are reported", n)
	}
	reported := map[domain.InstanceID]bool{}
	for i := range 100 {
		now := at(time.Minute + time.Duration(i)*time.Second)
		if r.Update(now, ratelimit.Report{Target: "t-3", Limit: call.Limited{PerSecond: 5 + 0.1*math.Sin(float64(i))}, At: now}) {
			t.Error("a limit within the tolerance counts as changed")
		}
		list := r.ReportsForPeers(now, others)
		if len(list) != others {
			t.Errorf("%d limits are reported, want %d", len(list), others)
		}
		for _, w := range list {
			reported[w.Target] = true
		}
	}
	if len(reported) != 20 {
		t.Errorf("only %d of 20 limits are ever reported", len(reported))
	}
}

// TestForgetDropsRemovedTargetsAndEndedLimits: limits of removed targets are dropped, and so are limits that
// ended long ago.
func TestForgetDropsRemovedTargetsAndEndedLimits(t *testing.T) {
	r := ratelimit.NewRegister(source())
	r.Update(at(0), report(5, 0))
	r.Update(at(0), ratelimit.Report{Target: "gone", Limit: call.Limited{PerSecond: 5}, At: at(0)})
	r.Forget(at(time.Second), func(id domain.InstanceID) bool { return id == limited })
	if !r.Unlimited("gone") || r.Unlimited(limited) {
		t.Error("the limit of a removed target is kept, or that of another target is dropped")
	}
	r.Update(at(2*time.Second), ended(2*time.Second))
	r.Forget(at(3*time.Second), func(domain.InstanceID) bool { return true })
	if r.Update(at(4*time.Second), report(5, time.Second)) {
		t.Error("an older report restores a limit that has ended")
	}
	r.Forget(at(2*time.Minute), func(domain.InstanceID) bool { return true })
	if _, known := r.Report(limited); known {
		t.Error("a limit that ended two minutes ago is kept")
	}
}

// TestMaySendChecksLimitsSetAfterChoice: establishing a connection may take a second, in which the target
// may report a limit.
func TestMaySendChecksLimitsSetAfterChoice(t *testing.T) {
	r := ratelimit.NewRegister(source())
	if !r.MaySend(at(0), limited, false, at(0)) {
		t.Error("a target without a limit needs a permit")
	}
	r.Update(at(0), report(5, 0))
	if r.MaySend(at(0), limited, false, at(0)) || !r.MaySend(at(0), limited, true, at(0)) {
		t.Error("a request is sent without a permit, or not sent with its permit")
	}
	if r.MaySend(at(3*time.Second), limited, true, at(0)) {
		t.Error("a permit is used three seconds after it was requested")
	}
	r.AddPermits(at(0), limited, 1)
	if !r.MaySend(at(0), limited, false, at(0)) || r.MaySend(at(0), limited, false, at(0)) {
		t.Error("MaySend does not use the available permit, or uses it twice")
	}
}
