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
	limitFor, limitPause = 9 * time.Second, time.Second
	// limitWindow is the time in which what reaches a target is added up. It bears limitOver times
	// its limit in that time, and limitSlack requests more.
	limitWindow           = 4 * time.Second
	limitOver, limitSlack = 1.5, 5
	// limitTold is how long after it passed on an answer that named the limit a box counts.
	limitTold = 500 * time.Millisecond
	// limitLeast is the part of what a target takes that it gets at least while nothing is wrong.
	limitLeast = 0.5
)

// limits are what targets take, in requests a second from all boxes.
var limits = []float64{0, 0.3, 1, 2.5, 8, 40}

// limited is a time for which a target named a limit.
type limited struct {
	target    string
	perSecond float64
	from, to  time.Time
	arrivals  []standin.Arrival
}

// limiting lets some targets, or all, name a limit for a while, over and over until ctx ends.
func (w *world) limiting(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(w.options.Seed, 5))
	for time.Now().Add(limitFor).Before(until) && ctx.Err() == nil {
		n := 1 + r.IntN(len(w.hosts))
		var spells []limited
		var targets []*standin.Target
		for _, in := range w.draw(r, n) {
			spell := limited{target: in.id, perSecond: limits[r.IntN(len(limits))], from: time.Now()}
			in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.Limit = strconv.FormatFloat(spell.perSecond, 'g', -1, 64) })
			spells, targets = append(spells, spell), append(targets, in.target)
		}
		time.Sleep(limitFor)
		for i, x := range targets {
			x.ChangeBehaviour(func(h *standin.Behaviour) { h.Limit = "" })
			spells[i].to, spells[i].arrivals = time.Now(), x.Arrivals()
			w.ledger.limit(spells[i])
		}
		time.Sleep(time.Duration(r.Int64N(int64(limitPause))))
	}
}

// draw draws the present incarnations of so many hosts.
func (w *world) draw(r *rand.Rand, n int) []incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []incarnation
	for _, i := range r.Perm(len(w.hosts))[:n] {
		list = append(list, w.hosts[i].now)
	}
	return list
}

func (l *ledger) limit(x limited) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = append(l.limits, x)
}

// borne is how many requests the target bears in a window.
func (x limited) borne() int {
	return int(x.perSecond*limitWindow.Seconds()*limitOver + limitSlack)
}

// arrival is a request that reached a target, with what came of it.
type arrival struct {
	at   time.Time
	from asked
}

// told are the arrivals of boxes that knew the limit by an answer that they had passed on, and with
// which nothing was wrong, from when all may know on.
func (l *ledger) told(x limited, all []arrival) []time.Time {
	first := map[start]time.Time{}
	for _, a := range all {
		who := start{a.from.box, a.from.life}
		if t, ok := first[who]; a.from.reply.Status != 0 && (!ok || a.from.to.Before(t)) {
			first[who] = a.from.to
		}
	}
	var list []time.Time
	for _, a := range all {
		t, told := first[start{a.from.box, a.from.life}]
		if told && a.from.life != unknownLife && a.at.Sub(t) >= limitTold && a.at.Sub(x.from) >= contact && l.calm(a.from.box, a.at, a.at, boxes) {
			list = append(list, a.at)
		}
	}
	return list
}

// during are the arrivals at the target in the time, in their order.
func (l *ledger) during(x limited) []arrival {
	byID := map[string]asked{}
	for _, a := range l.asked {
		byID[a.request.ID] = a
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
func (l *ledger) checkLimits(broken report) {
	for _, x := range l.limits {
		all := l.during(x)
		served := 0
		var late []time.Time // by all boxes, from when all may know
		for _, a := range all {
			if a.from.reply.Correct {
				served++
			}
			if a.at.Sub(x.from) >= contact {
				late = append(late, a.at)
			}
		}
		takes := x.perSecond * x.to.Sub(x.from).Seconds()
		worst := worstWindow(l.told(x, all))
		l.notes = append(l.notes, fmt.Sprintf("%s takes %v a second: allowed %.0f, sent %d, served %d; in %v at most %d, %d by boxes that knew and were well, bears %d",
			x.target, x.perSecond, takes, len(all), served, limitWindow, worstWindow(late), worst, x.borne()))
		if worst > x.borne() {
			broken("limit", "%s takes %v a second from all boxes, and boxes that knew sent it %d in %v; it bears %d", x.target, x.perSecond, worst, limitWindow, x.borne())
		}
		if l.undisturbed(x) && float64(len(all)) < limitLeast*takes-1 {
			broken("limit", "%s takes %v a second, and was sent %d in %v although nothing was wrong", x.target, x.perSecond, len(all), x.to.Sub(x.from))
		}
	}
}

// undisturbed reports that nothing was wrong with anything while the target named its limit.
func (l *ledger) undisturbed(x limited) bool {
	for _, s := range l.spans {
		if s.from.Before(x.to) && s.to.After(x.from.Add(-contact)) {
			return false
		}
	}
	for _, stops := range l.stops {
		for _, s := range stops {
			if s.from.Before(x.to) && s.to.After(x.from.Add(-contact)) {
				return false
			}
		}
	}
	_, left := l.left[x.target]
	return !left
}

// worstWindow is the most of the times within a window.
func worstWindow(times []time.Time) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
