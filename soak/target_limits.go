package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// limitFor is for how long targets name a limit, and limitPause the longest pause before the
	// next do.
	limitDuration, maxLimitPause = 9 * time.Second, time.Second
	// limitWindow is the time in which what reaches a target is added up. It bears limitOver times
	// its limit in that time, and limitSlack requests more.
	limitWindow                 = 4 * time.Second
	limitFactor, limitAllowance = 1.5, 5
	// limitTold is how long after it passed on an answer that named the limit a box counts.
	limitDelay = 500 * time.Millisecond
	// limitLeast is the part of what a target takes that it gets at least while nothing is wrong.
	minLimitShare = 0.5
)

// limits are what targets take, in requests a second from all boxes.
var limitValues = []float64{0, 0.3, 1, 2.5, 8, 40}

// limited is a time for which a target named a limit.
type limitPeriod struct {
	target    string
	perSecond float64
	from, to  time.Time
	arrivals  []standin.Arrival
}

// limiting lets some targets, or all, name a limit for a while, over and over until ctx ends.
func (e *environment) runTargetLimits(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 5))
	for time.Now().Add(limitDuration).Before(until) && ctx.Err() == nil {
		n := 1 + r.IntN(len(e.hosts))
		var periods []limitPeriod
		var targets []*standin.Target
		for _, in := range e.pickIncarnations(r, n) {
			period := limitPeriod{target: in.id, perSecond: limitValues[r.IntN(len(limitValues))], from: time.Now()}
			in.target.Behave(func(x *standin.Habits) { x.Limit = strconv.FormatFloat(period.perSecond, 'g', -1, 64) })
			periods, targets = append(periods, period), append(targets, in.target)
		}
		time.Sleep(limitDuration)
		for i, x := range targets {
			x.Behave(func(h *standin.Habits) { h.Limit = "" })
			periods[i].to, periods[i].arrivals = time.Now(), x.Arrivals()
			e.recorder.addLimitPeriod(periods[i])
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxLimitPause))))
	}
}

// draw draws the present incarnations of so many hosts.
func (e *environment) pickIncarnations(r *rand.Rand, n int) []incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []incarnation
	for _, i := range r.Perm(len(e.hosts))[:n] {
		list = append(list, e.hosts[i].current)
	}
	return list
}

func (rec *recorder) addLimitPeriod(x limitPeriod) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.limitPeriods = append(rec.limitPeriods, x)
}

// borne is how many requests the target bears in a window.
func (x limitPeriod) maxInWindow() int {
	return int(x.perSecond*limitWindow.Seconds()*limitFactor + limitAllowance)
}

// arrival is a request that reached a target, with what came of it.
type arrival struct {
	at       time.Time
	exchange exchange
}

// told are the arrivals of boxes that knew the limit by an answer that they had passed on, and with
// which nothing was wrong, from when all may know on.
func (rec *recorder) arrivalsAfterNotice(x limitPeriod, all []arrival) []time.Time {
	first := map[boxProcess]time.Time{}
	for _, a := range all {
		process := boxProcess{a.exchange.box, a.exchange.boxStart}
		if t, ok := first[process]; a.exchange.reply.Status != 0 && (!ok || a.exchange.endedAt.Before(t)) {
			first[process] = a.exchange.endedAt
		}
	}
	var list []time.Time
	for _, a := range all {
		t, told := first[boxProcess{a.exchange.box, a.exchange.boxStart}]
		if told && a.exchange.boxStart != unknownStart && a.at.Sub(t) >= limitDelay && a.at.Sub(x.from) >= contactBound && rec.faultFree(a.exchange.box, a.at, a.at, scopeBox) {
			list = append(list, a.at)
		}
	}
	return list
}

// during are the arrivals at the target in the time, in their order.
func (rec *recorder) arrivalsDuring(x limitPeriod) []arrival {
	byID := map[string]exchange{}
	for _, ex := range rec.exchanges {
		byID[ex.request.ID] = ex
	}
	var list []arrival
	for _, a := range x.arrivals {
		if !a.At.Before(x.from) && a.At.Before(x.to) {
			list = append(list, arrival{a.At, byID[a.ID]})
		}
	}
	return list
}

// checkLimits looks for targets that were sent more than they bear, or much less than they take
// although nothing was wrong. It notes what was sent beside what is allowed and what was served.
func (rec *recorder) checkLimits(violate violationFunc) {
	for _, x := range rec.limitPeriods {
		all := rec.arrivalsDuring(x)
		served := 0
		var late []time.Time // by all boxes, from when all may know
		for _, a := range all {
			if a.exchange.reply.Right {
				served++
			}
			if a.at.Sub(x.from) >= contactBound {
				late = append(late, a.at)
			}
		}
		takes := x.perSecond * x.to.Sub(x.from).Seconds()
		worst := busiestWindow(rec.arrivalsAfterNotice(x, all))
		rec.limitSummaries = append(rec.limitSummaries, fmt.Sprintf("%s takes %v a second: allowed %.0f, sent %d, served %d; in %v at most %d, %d by boxes that knew and were well, bears %d",
			x.target, x.perSecond, takes, len(all), served, limitWindow, busiestWindow(late), worst, x.maxInWindow()))
		if worst > x.maxInWindow() {
			violate("limit", "%s takes %v a second from all boxes, and boxes that knew sent it %d in %v; it bears %d", x.target, x.perSecond, worst, limitWindow, x.maxInWindow())
		}
		if rec.undisturbed(x) && float64(len(all)) < minLimitShare*takes-1 {
			violate("limit", "%s takes %v a second, and was sent %d in %v although nothing was wrong", x.target, x.perSecond, len(all), x.to.Sub(x.from))
		}
	}
}

// undisturbed reports that nothing was wrong with anything while the target named its limit.
func (rec *recorder) undisturbed(x limitPeriod) bool {
	for _, s := range rec.faults {
		if s.from.Before(x.to) && s.to.After(x.from.Add(-contactBound)) {
			return false
		}
	}
	for _, stops := range rec.stops {
		for _, s := range stops {
			if s.from.Before(x.to) && s.to.After(x.from.Add(-contactBound)) {
				return false
			}
		}
	}
	_, left := rec.drainingSince[x.target]
	return !left
}

// worstWindow is the most of the times within a window.
func busiestWindow(times []time.Time) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
