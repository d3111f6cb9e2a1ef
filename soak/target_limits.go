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
	// limitDuration is the time for which targets state a limit, and maxLimitPause the longest pause
	// before the next limit period.
	limitDuration, maxLimitPause = 9 * time.Second, time.Second
	// limitWindow is the length of the windows in which the requests that reach a target are counted.
	// A target may receive limitFactor times its limit in a window, plus limitAllowance requests.
	limitWindow                 = 4 * time.Second
	limitFactor, limitAllowance = 1.5, 5
	// limitDelay is the time from a box's first forwarded response with the limit to the first of its
	// requests that count.
	limitDelay = 500 * time.Millisecond
	// minLimitShare is the minimum share of its limit that a target receives while there are no
	// faults.
	minLimitShare = 0.5
)

// limitValues are the limits of targets, in requests a second from all boxes together.
var limitValues = []float64{0, 0.3, 1, 2.5, 8, 40}

// limitPeriod is a period during which a target stated a limit.
type limitPeriod struct {
	target    string
	perSecond float64
	from, to  time.Time
	arrivals  []standin.Arrival
}

// runTargetLimits makes some or all targets state a limit for limitDuration, repeatedly. It ends with
// ctx, or when too little time is left before until.
func (e *environment) runTargetLimits(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 5))
	for time.Now().Add(limitDuration).Before(until) && ctx.Err() == nil {
		n := 1 + r.IntN(len(e.hosts))
		var periods []limitPeriod
		var targets []*standin.Target
		for _, in := range e.pickIncarnations(r, n) {
			period := limitPeriod{target: in.id, perSecond: limitValues[r.IntN(len(limitValues))], from: time.Now()}
			in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.Limit = strconv.FormatFloat(period.perSecond, 'g', -1, 64) })
			periods, targets = append(periods, period), append(targets, in.target)
		}
		time.Sleep(limitDuration)
		for i, x := range targets {
			x.ChangeBehaviour(func(h *standin.Behaviour) { h.Limit = "" })
			periods[i].to, periods[i].arrivals = time.Now(), x.Arrivals()
			e.recorder.addLimitPeriod(periods[i])
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxLimitPause))))
	}
}

// pickIncarnations draws n hosts, and returns their current incarnations.
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

// maxInWindow returns the number of requests that the target may receive in a window.
func (x limitPeriod) maxInWindow() int {
	return int(x.perSecond*limitWindow.Seconds()*limitFactor + limitAllowance)
}

// arrival is a request that reached a target, with the caller's side of the exchange.
type arrival struct {
	at       time.Time
	exchange exchange
}

// arrivalsAfterNotice returns the times of requests from boxes that had the limit, because they had
// forwarded a response that stated it at least limitDelay earlier, and that no fault affected. Requests
// count from contactBound after the start of the period, when all boxes can have the limit.
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
		t, notified := first[boxProcess{a.exchange.box, a.exchange.boxStart}]
		if notified && a.exchange.boxStart != unknownStart && a.at.Sub(t) >= limitDelay && a.at.Sub(x.from) >= contactBound && rec.faultFree(a.exchange.box, a.at, a.at, scopeBox) {
			list = append(list, a.at)
		}
	}
	return list
}

// arrivalsDuring returns the arrivals at the target in the period, in order.
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

// checkLimits reports targets that received more than maxInWindow in a window, or less than
// minLimitShare of their limit although there were no faults. It also records how many requests were
// allowed, sent and served in each period.
func (rec *recorder) checkLimits(violate violationFunc) {
	for _, x := range rec.limitPeriods {
		all := rec.arrivalsDuring(x)
		served := 0
		var counted []time.Time // from any box, once all boxes can have the limit
		for _, a := range all {
			if a.exchange.reply.Correct {
				served++
			}
			if a.at.Sub(x.from) >= contactBound {
				counted = append(counted, a.at)
			}
		}
		allowed := x.perSecond * x.to.Sub(x.from).Seconds()
		busiest := busiestWindow(rec.arrivalsAfterNotice(x, all))
		rec.limitSummaries = append(rec.limitSummaries, fmt.Sprintf("%s with a limit of %v a second: allowed %.0f, sent %d, served %d; busiest %v: %d from all boxes, %d from fault-free boxes that had the limit, maximum %d",
			x.target, x.perSecond, allowed, len(all), served, limitWindow, busiestWindow(counted), busiest, x.maxInWindow()))
		if busiest > x.maxInWindow() {
			violate("limit", "%s with a limit of %v a second received %d requests in %v from fault-free boxes that had the limit, maximum %d", x.target, x.perSecond, busiest, limitWindow, x.maxInWindow())
		}
		if rec.undisturbed(x) && float64(len(all)) < minLimitShare*allowed-1 {
			violate("limit", "%s with a limit of %v a second received only %d requests in %v without faults", x.target, x.perSecond, len(all), x.to.Sub(x.from))
		}
	}
}

// undisturbed returns true if there was no fault or planned stop anywhere during the period, and the
// target was not leaving.
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
	_, draining := rec.drainingSince[x.target]
	return !draining
}

// busiestWindow returns the largest number of the times that are within one window.
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
