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
	replaceAfter = 3 * time.Second
	// fatalRest is the pause of the caller between two of them, spread by half either way.
	fatalPause = 300 * time.Millisecond
	// crashesKnown is how many targets must have ended under them for boxes to know, and
	// mostLate how many of them may be run after that.
	crashesToQuarantine, maxLateRuns = 3, 3
)

// crashes makes the target end under requests with fatalBody.
func (e *environment) crashOnFatal(h *host, in incarnation) {
	in.target.Behave(func(x *standin.Habits) { x.Fatal, x.Crash = fatalBody, crashAfter })
	in.target.OnCrash(func() {
		in.close()
		e.recorder.addFault(action{name: "target crashed by a request", affects: scopeTarget}, "", time.Now(), time.Now().Add(replaceAfter+timingSlack))
		time.AfterFunc(replaceAfter, func() {
			h.lifecycle.Lock()
			defer h.lifecycle.Unlock()
			e.mu.Lock()
			still := h.current.id == in.id && !e.stopped
			e.mu.Unlock()
			if still {
				_ = e.replaceTarget(h, in) // without it there is one target fewer
			}
		})
	})
}

// callFatal makes the same fatal request over and over until ctx ends, at any box.
func (e *environment) sendFatalRequests(ctx context.Context) {
	r := rand.New(rand.NewPCG(e.options.Seed, 3))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	org := e.organisations[0]
	for i := 0; ctx.Err() == nil; i++ {
		b := e.boxes[r.IntN(len(e.boxes))]
		ex := exchange{box: b.name, boxStart: unknownStart, organisation: org.name, sentAt: time.Now()}
		ex.request = standin.Request{ID: fmt.Sprintf("fatal-%d", i), Key: org.key, Path: "/again/fatal", Body: fatalBody, Within: callerTimeout}
		ex.reply = standin.Ask(context.Background(), c, "http://"+b.callerAddress, ex.request)
		ex.endedAt = time.Now()
		e.recorder.addExchange(ex)
		time.Sleep(fatalPause/2 + time.Duration(r.Int64N(int64(fatalPause))))
	}
}

// checkFatal looks for requests that went on crashing targets once boxes could know.
func (rec *recorder) checkFatalRequests(violate violationFunc) {
	type run struct {
		at  time.Time
		box string
	}
	var runs []run
	for _, ex := range rec.exchanges {
		for _, r := range rec.runs[ex.request.ID] {
			if r.Body == fatalBody {
				runs = append(runs, run{r.At, ex.box})
			}
		}
	}
	if len(runs) < crashesToQuarantine {
		return
	}
	slices.SortFunc(runs, func(x, y run) int { return x.at.Compare(y.at) })
	deadline, late := runs[crashesToQuarantine-1].at.Add(contactBound+timingSlack), 0
	for _, r := range runs {
		if r.at.After(deadline) && rec.faultFree(r.box, r.at.Add(-timingSlack), r.at, scopeBox, scopeBoxStore, scopeStore) {
			late++
		}
	}
	if late > maxLateRuns {
		violate("crashing requests", "one was run %d times, %d of them too late", len(runs), late)
	}
}
