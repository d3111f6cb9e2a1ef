package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// fatalBody is the body of the requests that crash their targets.
	fatalBody = "fatal"
	// crashAfter is how long a target runs one before it crashes.
	crashAfter = 60 * time.Millisecond
	// backAfter is how long a target that crashed is away.
	backAfter = 3 * time.Second
	// fatalRest is the pause of the caller between two of them, spread by half either way.
	fatalRest = 300 * time.Millisecond
	// crashesKnown is how many targets must have ended under them for boxes to know, and
	// mostLate how many of them may be run after that.
	crashesKnown, mostLate = 3, 3
)

// crashes makes the target end under requests with fatalBody.
func (w *world) crashes(h *host, in incarnation) {
	in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.CrashBody, x.CrashDelay = fatalBody, crashAfter })
	in.target.OnCrash(func() {
		in.end()
		w.ledger.fault(act{name: "target crashed by a request", hits: target}, "", time.Now(), time.Now().Add(backAfter+slack))
		time.AfterFunc(backAfter, func() {
			h.busy.Lock()
			defer h.busy.Unlock()
			w.mu.Lock()
			still := h.now.id == in.id && !w.over
			w.mu.Unlock()
			if still {
				_ = w.replace(h, in) // without it there is one target fewer
			}
		})
	})
}

// callFatal makes the same fatal request over and over until ctx ends, at any box.
func (w *world) callFatal(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.options.Seed, 3))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	org := w.organisations[0]
	for i := 0; ctx.Err() == nil; i++ {
		b := w.boxes[r.IntN(len(w.boxes))]
		a := asked{box: b.name, life: unknownLife, owner: org.name, from: time.Now()}
		a.request = standin.Request{ID: fmt.Sprintf("fatal-%d", i), Key: org.key, Path: "/again/fatal", Body: fatalBody, Timeout: callerPatience}
		a.reply = standin.Send(context.Background(), c, "http://"+b.callers, a.request)
		a.to = time.Now()
		w.ledger.add(a)
		time.Sleep(fatalRest/2 + time.Duration(r.Int64N(int64(fatalRest))))
	}
}

// checkFatal looks for requests that went on crashing targets once boxes could know.
func (l *ledger) checkFatal(broken report) {
	type run struct {
		at  time.Time
		box string
	}
	var runs []run
	for _, a := range l.asked {
		for _, r := range l.runs[a.request.ID] {
			if r.Body == fatalBody {
				runs = append(runs, run{r.At, a.box})
			}
		}
	}
	if len(runs) < crashesKnown {
		return
	}
	slices.SortFunc(runs, func(x, y run) int { return x.at.Compare(y.at) })
	known, late := runs[crashesKnown-1].at.Add(contact+slack), 0
	for _, r := range runs {
		if r.at.After(known) && l.calm(r.box, r.at.Add(-slack), r.at, boxes, ownStore, store) {
			late++
		}
	}
	if late > mostLate {
		broken("crashing requests", "one was run %d times, %d of them too late", len(runs), late)
	}
}
