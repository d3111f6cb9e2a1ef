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
	// crashService is the service of the targets that are processes of their own.
	crashService, crashTargets = "crashing", 3
	// unframedPercent is the share of their responses that end with their connections.
	unframedPercent = 30
	// crashEventGap and crashEvents make streams that often end with their target.
	crashResponseTime, crashEventGap, crashEvents = 5 * time.Millisecond, 30 * time.Millisecond, 16
	// crashCallers is the number of callers of these targets.
	crashCallers = 24
	// minCrashPause and maxCrashPause bound the time between two crashes. A target is replaced after crashReplaceAfter.
	minCrashPause, maxCrashPause, crashReplaceAfter = 200 * time.Millisecond, 900 * time.Millisecond, 600 * time.Millisecond
	// maxIdleConnections is the largest number of further connections to each target that a run draws: a process that is
	// killed closes its listening socket the later the more sockets it has.
	maxIdleConnections = 1000
)

// runTargetCrashes kills targets one after the other until the given time, and starts others in their place.
func (e *environment) runTargetCrashes(ctx context.Context, until time.Time) error {
	r := rand.New(rand.NewPCG(e.options.Seed, 11))
	connections := e.options.Connections
	if connections == 0 {
		connections = r.IntN(maxIdleConnections)
	}
	targets := make([]*targetProcess, crashTargets)
	defer func() {
		for _, p := range targets {
			if p != nil {
				p.kill()
			}
		}
	}()
	start := func(n, generation int) (err error) {
		b := standin.Behaviour{ResponseTime: crashResponseTime, EventGap: crashEventGap, Unframed: unframedPercent}
		targets[n], err = e.startTargetProcess(crashService, fmt.Sprintf("c-%d-%d", n, generation), hallName(n), b, false, func(standin.Run) {})
		if err == nil {
			targets[n].connect(connections)
		}
		return err
	}
	for n := range targets {
		if err := start(n, 0); err != nil {
			return err
		}
	}
	callers, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for n := range crashCallers {
		running.Go(func() { e.callCrashingTargets(callers, n) })
	}
	defer running.Wait()
	defer stop()
	time.Sleep(warmUp)
	for generation := 1; ctx.Err() == nil && time.Now().Before(until); generation++ {
		time.Sleep(minCrashPause + time.Duration(r.Int64N(int64(maxCrashPause-minCrashPause))))
		n := r.IntN(crashTargets)
		e.recorder.addTargetCrash()
		targets[n].kill()
		time.Sleep(crashReplaceAfter)
		e.removeEntry(targets[n].id)
		if err := start(n, generation); err != nil {
			return err
		}
	}
	return nil
}

// callCrashingTargets sends plain requests and streams until ctx ends.
func (e *environment) callCrashingTargets(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(e.options.Seed, uint64(200+n)))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	org := e.organisations[n%len(e.organisations)]
	path := standin.PlainPath(crashService) + "x"
	if n%2 == 0 {
		path = fmt.Sprintf("%sx/%d", standin.LongPath(crashService), crashEvents)
	}
	for i := 0; ctx.Err() == nil; i++ {
		q := standin.Request{ID: fmt.Sprintf("c-%d-%d", n, i), Key: org.key, Path: path, Timeout: callerTimeout}
		e.exchange(c, e.drawBox(r), exchange{organisation: org.name, request: q, crashing: true})
	}
}

func (rec *recorder) addTargetCrash() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.targetCrashes = append(rec.targetCrashes, time.Now())
}

// summarizeCrashes describes the responses of targets that were killed. That none of them is truncated and ends as whole is
// checked with all replies.
func (rec *recorder) summarizeCrashes() {
	if len(rec.targetCrashes) == 0 {
		return
	}
	var whole, cut, other int
	for _, ex := range rec.exchanges {
		switch {
		case !ex.crashing || ex.resuming:
		case ex.reply.Correct:
			whole++
		case ex.reply.Status == http.StatusOK:
			cut++
		default:
			other++
		}
	}
	rec.crashSummary = fmt.Sprintf("%d targets killed; responses: %d whole, %d broken off, %d others", len(rec.targetCrashes), whole, cut, other)
}
