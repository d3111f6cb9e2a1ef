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
	settle = 2 * time.Second
	// calmEnd is how long the world is left alone at the end: a process that was killed
	// last is back, and the last bounds have passed.
	calmEnd = 6 * time.Second
	// judged is the part of the calm end in which all must be served.
	judged = 2 * time.Second
	// callerPatience is the time that callers have.
	callerPatience = 3 * time.Second
	// callerRest is the pause of a caller between two requests.
	callerRest = 25 * time.Millisecond
	// together bounds how many acts are under way at once, most often; some runs are
	// quieter, so that promises with a bound in time are put to the test as well.
	together = 4
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
const MinDuration = settle + calmEnd + 2*time.Second

// Run makes one run.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	w, err := newWorld(o)
	if w != nil {
		defer w.end()
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
		callers.Go(func() { w.call(calling, n) })
	}
	if o.FatalRequests {
		callers.Go(func() { w.callFatal(calling) })
	}
	if o.TargetLimits {
		acting.Go(func() { w.limiting(calling, end.Add(-calmEnd)) })
	}
	if o.Restores {
		acting.Go(func() { w.restoring(calling, end.Add(-calmEnd)) })
	}
	if o.TargetRequests {
		acting.Go(func() { w.asking(calling, end.Add(-calmEnd)) })
	}
	rep := Report{Seed: o.Seed}
	w.act(&rep, began, end.Add(-calmEnd), &acting)
	acting.Wait()
	mended := time.Now()
	callers.Wait()
	rep.Violations, rep.LimitSummaries = w.ledger.violations(), w.ledger.notes
	rep.count(w, mended, end)
	return rep, ctx.Err()
}

// act makes acts until the calm end, several at a time and in series.
func (w *world) act(rep *Report, began, until time.Time, acting *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(w.options.Seed, 1))
	busy := 1 + r.IntN(together)
	time.Sleep(settle)
	for time.Now().Before(until) {
		a := acts[r.IntN(len(acts))]
		length := time.Duration(200+r.IntN(2300)) * time.Millisecond
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		rep.Actions = append(rep.Actions, fmt.Sprintf("%.1f %s for %v", time.Since(began).Seconds(), a.name, length))
		acting.Go(func() { w.make(a, own, length) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * length / time.Duration(busy)))))
	}
}

func (w *world) make(a act, r *rand.Rand, length time.Duration) {
	from := time.Now()
	b := w.boxes[r.IntN(len(w.boxes))]
	if a.hits != nothing {
		// It excuses from its beginning, also while its end is not known yet.
		w.ledger.fault(a, b.name, from, from.Add(length+restartAfter+slack))
	}
	a.during(w, r, b, func() { time.Sleep(length) })
}

// call makes requests until ctx ends, on connections that are kept.
func (w *world) call(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(w.options.Seed, uint64(100+n)))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for i := 0; ctx.Err() == nil; i++ {
		w.ask(c, r, fmt.Sprintf("q-%d-%d", n, i))
		time.Sleep(callerRest)
	}
}

func (w *world) ask(c *http.Client, r *rand.Rand, id string) {
	b, org := w.boxes[r.IntN(len(w.boxes))], w.organisations[r.IntN(len(w.organisations))]
	a := asked{box: b.name, life: b.lives(), owner: org.name}
	a.request = standin.Request{ID: id, Key: org.key, Within: callerPatience}
	switch r.IntN(4) {
	case 0:
		a.request.Path, a.request.Body, a.once = "/once/x", "body of "+id, true
	case 1:
		a.request.Path = "/again/x"
	case 2:
		a.request.Path, a.request.Body = "/stream/x", "body of "+id
	case 3:
		a.route = 1 + r.IntN(w.newest())
		a.request.Path = standin.VersionPath(a.route) + "x"
	}
	a.from = time.Now()
	a.reply = standin.Ask(context.Background(), c, "http://"+b.callers, a.request)
	a.to = time.Now()
	if b.lives() != a.life {
		a.life = unknownLife
	}
	w.ledger.add(a)
}

// unknownLife marks a request during which its box started anew.
const unknownLife = -1

// count adds what was served, and whether all was at the end.
func (rep *Report) count(w *world, mended, end time.Time) {
	var last, lastServed int
	from := end.Add(-judged)
	for _, a := range w.ledger.asked {
		rep.Requests++
		if a.reply.Right {
			rep.Served++
		}
		if a.from.After(from) {
			last++
			if a.reply.Right {
				lastServed++
			}
		}
	}
	if last == 0 || lastServed*10 < last*9 {
		rep.Violations = append(rep.Violations, Violation{"recovery", fmt.Sprintf("%d of %d requests were served %v after all was mended", lastServed, last, from.Sub(mended))})
	}
}
