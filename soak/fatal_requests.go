package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// fatalBody is the body of the requests that crash their targets.
	fatalBody = "fatal"
	// crashAfter is the time from the start of such a request to the crash of its target.
	crashAfter = 60 * time.Millisecond
	// replaceAfter is the time from a crash to the start of the next incarnation.
	replaceAfter = 3 * time.Second
	// fatalPause is the mean pause of the caller between two such requests; it varies by half in either
	// direction.
	fatalPause = 300 * time.Millisecond
	// Boxes must put the request in quarantine once it has crashed crashesToQuarantine targets. At most
	// maxLateRuns later runs are tolerated.
	crashesToQuarantine, maxLateRuns = 3, 3
)

// crashOnFatal makes the target crash when it runs requests with fatalBody, or begins to respond to prompts with
// fatalPrefix, and be replaced after replaceAfter.
func (e *environment) crashOnFatal(h *host, in incarnation) {
	in.target.ChangeBehaviour(func(x *standin.Behaviour) {
		x.CrashBody, x.CrashDelay, x.CrashPrefix = fatalBody, crashAfter, fatalPrefix
	})
	in.target.OnCrash(sync.OnceFunc(func() {
		in.close()
		if e.options.FatalPrompts {
			e.recorder.addPromptCrash(time.Now())
		}
		e.recorder.addFault(action{name: "target crashed by a request", affects: scopeTarget}, "", time.Now(), time.Now().Add(replaceAfter+timingSlack))
		time.AfterFunc(replaceAfter, func() {
			h.lifecycle.Lock()
			defer h.lifecycle.Unlock()
			e.mu.Lock()
			running := h.current.id == in.id && !e.stopped
			e.mu.Unlock()
			if running {
				_ = e.replaceTarget(h, in) // if this fails, the run goes on with one target fewer
			}
		})
	}))
}

// sendFatalRequests sends the same fatal request to boxes drawn at random, repeatedly until ctx
// ends.
func (e *environment) sendFatalRequests(ctx context.Context) {
	r := rand.New(rand.NewPCG(e.options.Seed, 3))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	org := e.organisations[0]
	for i := 0; ctx.Err() == nil; i++ {
		b := e.boxes[r.IntN(len(e.boxes))]
		ex := exchange{box: b.name, boxStart: unknownStart, organisation: org.name, sentAt: time.Now()}
		ex.request = standin.Request{ID: fmt.Sprintf("fatal-%d", i), Key: org.key, Path: "/again/fatal", Body: fatalBody, Timeout: callerTimeout}
		ex.reply = standin.Send(context.Background(), c, "http://"+b.callerAddress, ex.request)
		ex.endedAt = time.Now()
		e.recorder.addExchange(ex)
		time.Sleep(fatalPause/2 + time.Duration(r.Int64N(int64(fatalPause))))
	}
}

// checkFatalRequests reports requests that went on crashing targets after boxes had the time to put
// them in quarantine.
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
		violate("crashing requests", "the fatal request ran %d times, %d of them after the time limit for its quarantine", len(runs), late)
	}
}
