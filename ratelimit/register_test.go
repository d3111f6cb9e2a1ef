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

func word(perSecond float64, d time.Duration) ratelimit.Report {
	return ratelimit.Report{Target: limited, Limit: call.Limited{PerSecond: perSecond}, At: at(d)}
}

func ended(d time.Duration) ratelimit.Report {
	return ratelimit.Report{Target: limited, Limit: call.Unlimited{}, At: at(d)}
}

// TestALimitEndsWithAnAnswerToALaterRequest: answers overtake each other.
func TestALimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name string
		l    call.Limit
		sent time.Duration // the limit was named at 10 s
		free bool
	}{
		{"without a limit, sent before", call.Unlimited{}, 9 * second, false},
		{"without a limit, sent after", call.Unlimited{}, 11 * second, true},
		{"that cannot be read, sent after", nil, 11 * second, false},
		{"with another limit, sent before", call.Limited{PerSecond: 7}, 9 * second, false},
	} {
		r := ratelimit.NewRegister(source())
		if r.RecordAnswer(at(0), limited, call.Unlimited{}, at(0)) || !r.Unlimited(limited) {
			t.Errorf("%s: a target that never named a limit is not free", tc.name)
		}
		if !r.RecordAnswer(at(10*second), limited, call.Limited{PerSecond: 2}, at(9*second)) || r.Unlimited(limited) {
			t.Errorf("%s: the limit is not taken", tc.name)
		}
		r.RecordAnswer(at(12*second), limited, tc.l, at(tc.sent))
		if r.Unlimited(limited) != tc.free {
			t.Errorf("%s: free is %v", tc.name, r.Unlimited(limited))
		}
	}
}

// TestTheNewestReportCounts: in whatever order reports come, also doubled, all boxes that had the
// newest think the same, and what has ended does not come back.
func TestTheNewestReportCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var reports []ratelimit.Report
		for i := range rapid.IntRange(1, 8).Draw(rt, "reports") {
			w := word(float64(1+i*10), time.Duration(i+1)*time.Second)
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
		limit, is := r.Limit(limited)
		want, named := newest.Limit.(call.Limited)
		if is != named || limit != want.PerSecond {
			rt.Errorf("%v, %v after %v", limit, is, order)
		}
	})
}

// TestPermitsAndTurnsGoByTheLimit: they lapse with the time, and as the limit changes by more than
// a little.
func TestPermitsAndTurnsGoByTheLimit(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name  string
		do    func(*ratelimit.Register)
		spent int // permits that can be used then
		due   bool
	}{
		{"nothing happens", func(*ratelimit.Register) {}, 3, false},
		{"the limit is named again", func(r *ratelimit.Register) { r.Update(at(second), word(5.2, second)) }, 3, false},
		{"the limit falls", func(r *ratelimit.Register) { r.Update(at(second), word(1, second)) }, 0, true},
		{"the limit rises", func(r *ratelimit.Register) { r.Update(at(second), word(50, second)) }, 0, true},
		{"the limit ends and is named again", func(r *ratelimit.Register) {
			r.Update(at(second), ended(second))
			r.Update(at(second), word(5, 2*second))
		}, 0, true},
	} {
		r := ratelimit.NewRegister(source())
		r.Update(at(0), word(5, 0))
		r.AddPermits(at(second), limited, 3)
		r.SetTurn(limited, at(9*second))
		tc.do(r)
		spent := 0
		for r.UsePermit(at(second+100*time.Millisecond), limited) {
			spent++
		}
		if due := r.TurnDue(at(second+100*time.Millisecond), limited); spent != tc.spent || due != tc.due {
			t.Errorf("%s: %d permits, due %v", tc.name, spent, due)
		}
	}
	r := ratelimit.NewRegister(source())
	r.Update(at(0), word(5, 0))
	r.AddPermits(at(second), limited, 3)
	if r.HasPermit(at(2*second), limited) {
		t.Error("a permit is kept for a second")
	}
	r.AddPermits(at(2*second), limited, 1)
	if !r.UsePermit(at(2*second), limited) || r.UsePermit(at(2*second), limited) {
		t.Error("permits that lapsed come back with the next")
	}
}

// TestWhatBoxesAreTold: news for some seconds, and a few of the rest; a limit that differs a
// little with each answer is no news.
func TestWhatBoxesAreTold(t *testing.T) {
	const others = 2
	r := ratelimit.NewRegister(source())
	for i := range 20 {
		r.Update(at(0), ratelimit.Report{Target: domain.InstanceID(fmt.Sprint("t-", i)), Limit: call.Limited{PerSecond: 5}, At: at(0)})
	}
	if n := len(r.ReportsForPeers(at(time.Second), others)); n != 20 {
		t.Errorf("%d of 20 are told while they are news", n)
	}
	told := map[domain.InstanceID]bool{}
	for i := range 100 {
		now := at(time.Minute + time.Duration(i)*time.Second)
		if r.Update(now, ratelimit.Report{Target: "t-3", Limit: call.Limited{PerSecond: 5 + 0.1*math.Sin(float64(i))}, At: now}) {
			t.Error("a limit that is nearly the same is news")
		}
		list := r.ReportsForPeers(now, others)
		if len(list) != others {
			t.Errorf("%d are told", len(list))
		}
		for _, w := range list {
			told[w.Target] = true
		}
	}
	if len(told) != 20 {
		t.Errorf("only %d of 20 are ever told", len(told))
	}
}

// TestWhatIsOverIsForgotten: limits of targets that are gone, and those that ended long ago.
func TestWhatIsOverIsForgotten(t *testing.T) {
	r := ratelimit.NewRegister(source())
	r.Update(at(0), word(5, 0))
	r.Update(at(0), ratelimit.Report{Target: "gone", Limit: call.Limited{PerSecond: 5}, At: at(0)})
	r.Forget(at(time.Second), func(id domain.InstanceID) bool { return id == limited })
	if !r.Unlimited("gone") || r.Unlimited(limited) {
		t.Error("what is gone is kept, or what is not is forgotten")
	}
	r.Update(at(2*time.Second), ended(2*time.Second))
	r.Forget(at(3*time.Second), func(domain.InstanceID) bool { return true })
	if r.Update(at(4*time.Second), word(5, time.Second)) {
		t.Error("older word brings back what has ended")
	}
	r.Forget(at(2*time.Minute), func(domain.InstanceID) bool { return true })
	if _, known := r.Report(limited); known {
		t.Error("what ended long ago is kept")
	}
}

// TestWhatWasChosenBeforeTheLimitNeedsAPermit: a connection may take a second to come up.
func TestWhatWasChosenBeforeTheLimitNeedsAPermit(t *testing.T) {
	r := ratelimit.NewRegister(source())
	if !r.MaySend(at(0), limited, false, at(0)) {
		t.Error("a target without a limit needs a permit")
	}
	r.Update(at(0), word(5, 0))
	if r.MaySend(at(0), limited, false, at(0)) || !r.MaySend(at(0), limited, true, at(0)) {
		t.Error("a request goes without a permit, or not with the one that it has")
	}
	if r.MaySend(at(3*time.Second), limited, true, at(0)) {
		t.Error("a box that stood still uses a permit of three seconds ago")
	}
	r.AddPermits(at(0), limited, 1)
	if !r.MaySend(at(0), limited, false, at(0)) || r.MaySend(at(0), limited, false, at(0)) {
		t.Error("it does not use the permit that there is, or uses it twice")
	}
}
