package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// warmUp is the time from the start of the run to the first action.
	warmUp = 2 * time.Second
	// coolDown is the fault-free time at the end of a run: long enough for the process that was killed
	// last to be back, and for the last bounds to pass.
	coolDown = 6 * time.Second
	// recoveryWindow is the last part of a run, in which requests must be served. It begins settleTime after the last action
	// has ended at the earliest, when the box that was stopped last is ready again.
	recoveryWindow, settleTime = 2 * time.Second, time.Second
	// callerTimeout is the time-out of callers.
	callerTimeout = 3 * time.Second
	// callerPause is the pause of a caller between two requests.
	callerPause = 25 * time.Millisecond
	// maxConcurrentActions limits the average number of actions in progress at once. Each run draws a
	// number up to it: with fewer actions, guarantees with a time bound are checked as well.
	maxConcurrentActions = 4
)

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Served is the number of requests that received their complete response.
	Served int
	// Actions lists the actions of the run, with their start in seconds and their length.
	Actions []string
	// LimitSummaries describe the requests that targets received while they stated a limit.
	LimitSummaries []string
	// Waited is the number of requests to the group that were served although they had to wait.
	Waited int
	// Paused is the number of requests to the group that were under way at a box which was paused while the group stopped.
	Paused int
	// PromptSummary describes what became of fatal and sound prompts, and SkewSummaries of the requests while most
	// connections went to one box.
	PromptSummary string
	SkewSummaries []string
	// CrashSummary describes the responses of targets that were killed, LateSummary the streams that were sent to stopping boxes on
	// kept connections, EndlessSummary the responses without end.
	CrashSummary, LateSummary, EndlessSummary string
	// ResumeSummary describes the streams of callers that resume; Continued, Resumed, Moved and Outlasting count those that continued an
	// earlier response, were resumed or moved by boxes, or outlasted their deadlines.
	ResumeSummary                         string
	Continued, Resumed, Moved, Outlasting int
	// OutageSummary describes what became of the requests to the group; empty without outages.
	OutageSummary string
	Violations    []Violation
}

// MinDuration is the shortest duration of a run that leaves time for actions.
const MinDuration = warmUp + coolDown + 2*time.Second

// Run runs the soak once, and returns its report. It returns an error if the environment cannot be
// started or ctx ends.
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
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers, actors sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { e.runCaller(runCtx, n) })
	}
	e.startFatal(runCtx, &callers)
	if o.Skews {
		callers.Go(func() { e.balancer.run(runCtx) })
		actors.Go(func() { e.runSkews(end.Add(-coolDown)) })
	}
	e.startActors(runCtx, end.Add(-coolDown), &actors)
	if o.hasGroup() {
		go e.group.Run(runCtx)
	}
	if o.Outages {
		callers.Go(func() { e.sendGroupRequests(runCtx) })
		actors.Go(func() { e.runOutages(runCtx, end.Add(-coolDown)) })
	}
	if o.Series {
		for n, b := range e.boxes {
			callers.Go(func() { e.runHeldConnection(runCtx, n, b) })
		}
		actors.Go(func() { e.runSeries(runCtx, end.Add(-o.endOfSeries())) })
	}
	if o.LateRequests {
		e.startLateRequests(runCtx, end, &callers, &actors)
	}
	var crashErr error
	if o.TargetCrashes {
		actors.Go(func() { crashErr = e.runTargetCrashes(runCtx, end.Add(-coolDown)) })
	}
	if o.Resumes {
		e.startResumes(runCtx, end.Add(-coolDown), &callers, &actors)
	}
	rep := Report{Seed: o.Seed}
	e.runActions(&rep, began, end.Add(-o.endOfActions()), &actors)
	actors.Wait()
	repaired := time.Now()
	end = later(end, repaired.Add(settleTime+recoveryWindow))
	time.AfterFunc(time.Until(end), cancel)
	callers.Wait()
	e.countAttempts()
	logErr := e.collectLoggedFaults()
	rep.addGroupTotals(e.recorder)
	rep.Violations, rep.LimitSummaries = e.recorder.violations(), e.recorder.limitSummaries
	rep.PromptSummary, rep.SkewSummaries = e.recorder.promptSummary, e.recorder.skewSummaries
	rep.CrashSummary, rep.LateSummary, rep.EndlessSummary = e.recorder.crashSummary, e.recorder.lateSummary, e.recorder.endlessSummary
	rep.addResumes(e.recorder.resumes)
	rep.addTotals(e, repaired, end)
	return rep, errors.Join(crashErr, logErr, ctx.Err())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startActors starts what acts on targets and the store until the given time.
func (e *environment) startActors(ctx context.Context, until time.Time, actors *sync.WaitGroup) {
	o := e.options
	for _, actor := range []struct {
		enabled bool
		run     func(ctx context.Context, until time.Time)
	}{
		{o.TargetLimits, e.runTargetLimits}, {o.Restores, e.runRestores}, {o.Evacuations, e.runEvacuations},
		{o.TargetRequests, e.runTargetRequests}, {o.EndlessResponses, e.runEndlessResponses},
	} {
		if actor.enabled {
			actors.Go(func() { actor.run(ctx, until) })
		}
	}
}

// startFatal starts the callers of requests and prompts that crash targets.
func (e *environment) startFatal(ctx context.Context, callers *sync.WaitGroup) {
	if e.options.FatalRequests {
		callers.Go(func() { e.sendFatalRequests(ctx) })
	}
	if e.options.FatalPrompts {
		callers.Go(func() { e.sendPrompts(ctx, false) })
		callers.Go(func() { e.sendPrompts(ctx, true) })
	}
}

// endOfActions returns the time from the last action to the end of the run.
func (o Options) endOfActions() time.Duration {
	if o.LateRequests {
		return lateStopsEnd // an action may be a stop
	}
	return coolDown
}

// endOfSeries returns the time from the last series to the end of the run.
func (o Options) endOfSeries() time.Duration {
	if o.LateRequests {
		return lateStopsEnd + stopBound // a series may be two stops, one after the other
	}
	return coolDown + seriesEndTime
}

// runActions starts actions, one after another and overlapping, until the given time.
func (e *environment) runActions(rep *Report, began, until time.Time, actors *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(e.options.Seed, 1))
	concurrency := 1 + r.IntN(maxConcurrentActions)
	time.Sleep(warmUp)
	for time.Now().Before(until) {
		a := actions[r.IntN(len(actions))]
		length := time.Duration(200+r.IntN(2300)) * time.Millisecond
		actionRand := rand.New(rand.NewPCG(r.Uint64(), 2))
		rep.Actions = append(rep.Actions, fmt.Sprintf("%.1f %s for %v", time.Since(began).Seconds(), a.name, length))
		actors.Go(func() { e.runAction(a, actionRand, length) })
		time.Sleep(time.Duration(r.Int64N(int64(2 * length / time.Duration(concurrency)))))
	}
}

// runAction runs the action on a box drawn at random, and records its fault.
func (e *environment) runAction(a action, r *rand.Rand, length time.Duration) {
	from := time.Now()
	b := e.boxes[r.IntN(len(e.boxes))]
	if a.affects != scopeNone {
		// The fault is recorded at its start, so that it excuses violations before its end is known. The
		// end is an estimate.
		e.recorder.addFault(a, b.name, from, from.Add(length+restartDelay+timingSlack))
	}
	a.run(e, r, b, func() { time.Sleep(length) })
}

// runCaller sends requests until ctx ends. It reuses connections.
func (e *environment) runCaller(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(e.options.Seed, uint64(100+n)))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for i := 0; ctx.Err() == nil; i++ {
		e.sendRequest(c, r, n, fmt.Sprintf("q-%d-%d", n, i))
		time.Sleep(callerPause)
	}
}

// chooseBox returns the box for a request of a caller, and the caller's hall if the balancer chose it. Callers open more
// connections then.
func (e *environment) chooseBox(c *http.Client, r *rand.Rand, caller int) (b *box, hall string) {
	n := r.IntN(len(e.boxes))
	if !e.options.Skews {
		return e.boxes[n], ""
	}
	c.CloseIdleConnections()
	hall = hallName(caller)
	return e.balancer.choose(hall, fmt.Sprint(caller), r.Float64()), hall
}

// sendRequest sends a request of a kind drawn at random, and records the exchange.
func (e *environment) sendRequest(c *http.Client, r *rand.Rand, caller int, id string) {
	b, hall := e.chooseBox(c, r, caller)
	org := e.organisations[r.IntN(len(e.organisations))]
	ex := exchange{organisation: org.name, hall: hall}
	ex.request = standin.Request{ID: id, Key: org.key, Timeout: callerTimeout}
	ex.request.Level = claimedLevels[len(id)%len(claimedLevels)]
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
	e.exchange(c, b, ex)
}

// exchange sends a request to the box, records the exchange and returns the reply.
func (e *environment) exchange(c *http.Client, b *box, ex exchange) standin.Reply {
	ex.box, ex.boxStart, ex.sentAt = b.name, b.startCount(), time.Now()
	ex.reply = standin.Send(context.Background(), c, "http://"+b.callerAddress, ex.request)
	ex.endedAt = time.Now()
	if b.startCount() != ex.boxStart {
		ex.boxStart = unknownStart
	}
	e.recorder.addExchange(ex)
	return ex.reply
}

// unknownStart marks a request during which its box was restarted, or for which the start count was
// not recorded.
const unknownStart = -1

// addTotals counts the requests and those served, and adds a violation if fewer than nine in ten
// of those whose deadlines leave enough time were served in recoveryWindow.
func (rep *Report) addTotals(e *environment, repaired, end time.Time) {
	var last, lastServed int
	from := end.Add(-recoveryWindow)
	outcomes := map[string]int{}
	for _, ex := range e.recorder.exchanges {
		rep.Requests++
		if ex.reply.Correct {
			rep.Served++
		}
		if ex.sentAt.After(from) && !ex.hurried {
			last++
			if ex.reply.Correct {
				lastServed++
			} else {
				outcomes[fmt.Sprintf("%s: status %d", ex.box, ex.reply.Status)]++
			}
		}
	}
	if last == 0 || lastServed*10 < last*9 {
		rep.Violations = append(rep.Violations, Violation{"recovery", fmt.Sprintf("%d of %d requests were served from %v after the last action ended; others: %v", lastServed, last, from.Sub(repaired), outcomes)})
	}
}
