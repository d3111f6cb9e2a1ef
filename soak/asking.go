package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// askRest is for how long a target asks to be sent nothing, and restSlack how long after its
	// answer a box may still send it something: what is under way, and a box that is busy.
	askRest   = 5 * time.Second
	restSlack = 500*time.Millisecond + slack
	// restMost is how many requests a box may send it in the rest of that time.
	restMost = 2
	// askFor is for how long a target turns requests away.
	askFor = 6 * time.Second
	// askPause is the longest pause between two targets that ask for something.
	askPause = 2 * time.Second
)

// asking lets one target after another ask something of the boxes with its answers, until ctx
// ends: to be sent nothing for a while, or nothing any more.
func (w *world) asking(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(w.options.Seed, 4))
	for time.Now().Add(askFor).Before(until) && ctx.Err() == nil {
		time.Sleep(time.Duration(r.Int64N(int64(askPause))))
		if r.IntN(2) == 0 {
			w.askForRest(r)
		} else {
			w.sayLeaving(r)
		}
	}
}

// askForRest lets a target turn all requests away for a while and ask for rest.
func (w *world) askForRest(r *rand.Rand) {
	_, in := w.host(r)
	w.ledger.fault(act{name: "target asks for rest", hits: target}, "", time.Now(), time.Now().Add(askFor+slack))
	in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.RejectAll, x.Rest = true, askRest })
	time.Sleep(askFor)
	in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.RejectAll, x.Rest = false, 0 })
	w.ledger.turnedAway(in.target.Rejections())
}

// sayLeaving lets a target report that it is leaving with its answers only, and puts another in its
// place later.
func (w *world) sayLeaving(r *rand.Rand) {
	h, in := w.alone(r)
	if h == nil {
		return
	}
	defer h.busy.Unlock()
	in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.Leaving = true })
	w.ledger.says(in.id)
	time.Sleep(servesOn)
	_ = w.replace(h, in) // without it there is one target fewer
}

func (l *ledger) turnedAway(list []standin.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turned = append(l.turned, list...)
}

func (l *ledger) says(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.said[target] = time.Now()
}

// start is one start of a box.
type start struct {
	box  string
	life int
}

// checkRests looks for boxes that went on sending to a target which had asked them for rest.
func (l *ledger) checkRests(broken report) {
	byID := map[string]start{}
	for _, a := range l.asked {
		byID[a.request.ID] = start{a.box, a.life}
	}
	for _, asked := range l.turned {
		who := byID[asked.ID]
		if asked.RestUntil.Equal(asked.At) || who.life == unknownLife || !l.calm(who.box, asked.At, asked.RestUntil, boxes) {
			continue
		}
		n := 0
		for _, x := range l.turned {
			if x.Target == asked.Target && byID[x.ID] == who && x.At.Sub(asked.At) > restSlack && x.At.Before(asked.RestUntil) {
				n++
			}
		}
		if n > restMost {
			broken("rest", "%s sent %s %d requests in the %v for which it was asked for rest", who.box, asked.Target, n, askRest)
		}
	}
}

// checkSaid looks for work that a box took for a target too late after it had passed on an answer
// in which that said it is leaving.
func (l *ledger) checkSaid(broken report) {
	type passing struct {
		start
		target string
	}
	passed := map[passing]time.Time{}
	each := func(do func(p passing, a asked)) {
		for _, a := range l.asked {
			for _, r := range l.runs[a.request.ID] {
				if at, ok := l.said[r.Target]; ok && r.At.After(at) && a.life != unknownLife {
					do(passing{start{a.box, a.life}, r.Target}, a)
				}
			}
		}
	}
	each(func(p passing, a asked) {
		if first, ok := passed[p]; a.reply.Correct && (!ok || a.to.Before(first)) {
			passed[p] = a.to
		}
	})
	each(func(p passing, a asked) {
		first, ok := passed[p]
		if late := a.from.Sub(first); ok && late > drainBound && l.calm(p.box, first, a.to, boxes) {
			broken("draining", "%s by %s reached %s, and came %v after the box had passed on that it is leaving", a.request.ID, p.box, p.target, late)
		}
	})
}
