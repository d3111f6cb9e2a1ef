package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// settle is how long the world has before the first act.
	warmUp = 2 * time.Second
	// calmEnd is how long the world is left alone at the end: a process that was killed
	// last is back, and the last bounds have passed.
	coolDown = 6 * time.Second
	// judged is the part of the calm end in which all must be served.
	recoveryWindow = 2 * time.Second
	// callerPatience is the time that callers have.
	callerTimeout = 3 * time.Second
	// callerRest is the pause of a caller between two requests.
	callerPause = 25 * time.Millisecond
	// together bounds how many acts are under way at once, most often; some runs are
	// quieter, so that promises with a bound in time are put to the test as well.
	maxConcurrentActions = 4
)

// Report is what a run came to.
type Report struct {
	Seed           uint64
	Requests       int // requests
	Served         int
	Actions        []string // what happened, with the second at which it began
	LimitSummaries []string // what targets that named limits were sent
	Violations     []Violation
}

// MinDuration is the shortest run in which something happens.
const MinDuration = warmUp + coolDown + 2*time.Second

// Run makes one run.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	e, err := newEnvironment(o)
	if e != nil {
		defer e.close()
	}
	if err != nil {
		return Report{}, err
	}
	began := time.Now()
	end := began.Add(o.Duration)
	calling, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var callers, acting sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { e.runCaller(calling, n) })
	}
	if o.FatalRequests {
		callers.Go(func() { e.sendFatalRequests(calling) })
	}
	if o.TargetLimits {
		acting.Go(func() { e.runTargetLimits(calling, end.Add(-coolDown)) })
	}
	if o.Restores {
		acting.Go(func() { e.runRestores(calling, end.Add(-coolDown)) })
	}
	if o.TargetRequests {
		acting.Go(func() { e.runTargetRequests(calling, end.Add(-coolDown)) })
	}
	rep := Report{Seed: o.Seed}
	e.runActions(&rep, began, end.Add(-coolDown), &acting)
	acting.Wait()
	mended := time.Now()
	callers.Wait()
	rep.Violations, rep.LimitSummaries = e.recorder.violations(), e.recorder.limitSummaries
	rep.addTotals(e, mended, end)
	return rep, ctx.Err()
}

// act makes acts until the calm end, several at a time and in series.
func (e *environment) runActions(rep *Report, began, until time.Time, acting *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(e.options.Seed, 1))
	busy := 1 + r.IntN(maxConcurrentActions)
	time.Sleep(warmUp)
	for time.Now().Before(until) {
		a := actions[r.IntN(len(actions))]
		length := time.Duration(200+r.IntN(2300)) * time.Millisecond
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		rep.Actions = append(rep.Actions, fmt.Sprintf("%.1f %s for %v", time.Since(began).Seconds(), a.name, length))
		acting.Go(func() { e.runAction(a, own, length) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * length / time.Duration(busy)))))
	}
}

func (e *environment) runAction(a action, r *rand.Rand, length time.Duration) {
	from := time.Now()
	b := e.boxes[r.IntN(len(e.boxes))]
	if a.affects != scopeNone {
		// It excuses from its beginning, also while its end is not known yet.
		e.recorder.addFault(a, b.name, from, from.Add(length+restartDelay+timingSlack))
	}
	a.run(e, r, b, func() { time.Sleep(length) })
}

// call makes requests until ctx ends, on connections that are kept.
func (e *environment) runCaller(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(e.options.Seed, uint64(100+n)))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for i := 0; ctx.Err() == nil; i++ {
		e.sendRequest(c, r, fmt.Sprintf("q-%d-%d", n, i))
		time.Sleep(callerPause)
	}
}

func (e *environment) sendRequest(c *http.Client, r *rand.Rand, id string) {
	b, org := e.boxes[r.IntN(len(e.boxes))], e.organisations[r.IntN(len(e.organisations))]
	ex := exchange{box: b.name, boxStart: b.startCount(), organisation: org.name}
	ex.request = standin.Request{ID: id, Key: org.key, Within: callerTimeout}
	switch r.IntN(4) {
	case 0:
		ex.request.Path, ex.request.Body, ex.atMostOnce = "/once/x", "body of "+id, true
	case 1:
		ex.request.Path = "/again/x"
	case 2:
		ex.request.Path, ex.request.Body = "/stream/x", "body of "+id
	case 3:
		ex.routeVersion = 1 + r.IntN(e.newestVersion())
		ex.request.Path = standin.VersionPath(ex.routeVersion) + "x"
	}
	ex.sentAt = time.Now()
	ex.reply = standin.Ask(context.Background(), c, "http://"+b.callerAddress, ex.request)
	ex.endedAt = time.Now()
	if b.startCount() != ex.boxStart {
		ex.boxStart = unknownStart
	}
	e.recorder.addExchange(ex)
}

// unknownLife marks a request during which its box started anew.
const unknownStart = -1

// count adds what was served, and whether all was at the end.
func (rep *Report) addTotals(e *environment, mended, end time.Time) {
	var last, lastServed int
	from := end.Add(-recoveryWindow)
	for _, ex := range e.recorder.exchanges {
		rep.Requests++
		if ex.reply.Right {
			rep.Served++
		}
		if ex.sentAt.After(from) {
			last++
			if ex.reply.Right {
				lastServed++
			}
		}
	}
	if last == 0 || lastServed*10 < last*9 {
		rep.Violations = append(rep.Violations, Violation{"recovery", fmt.Sprintf("%d of %d requests were served %v after all was mended", lastServed, last, from.Sub(mended))})
	}
}
