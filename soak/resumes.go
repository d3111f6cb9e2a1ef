package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// resumeService is the service of streams that callers resume, of which each may have resumeAttempts targets.
	resumeService, resumeTargets, resumeAttempts = "resumed", 6, 4
	// resumeCallers is the number of callers that resume, for each other caller of the run.
	resumeCallers = 16
	// resumeEventGap and the numbers of events make streams that many kills meet. The deadlines of some callers are shorter.
	resumeEventGap, minResumeEvents, moreResumeEvents = 40 * time.Millisecond, 8, 40
	minResumeDeadline, moreResumeDeadline             = 200 * time.Millisecond, 600 * time.Millisecond
	// resumeTries is the number of requests for one stream, resumePause the pause after one that got nothing.
	resumeTries, resumePause = 6, 50 * time.Millisecond
	// minKillPause and maxKillPause bound the time between two rounds of kills, maxCutTime that for which a path is cut one way.
	minKillPause, maxKillPause, maxCutTime = 300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond
	// slowFactor is how much slower a slow rank is, slowPause the time which it adds between the events of all ranks: longer than the
	// route allows, so that boxes move its streams. slowTime is for how long.
	slowFactor, slowPause, slowTime = 4, 600 * time.Millisecond, 2500 * time.Millisecond
)

// resumeUnframed are the percentages of the responses of targets that end with their connections, which targets take in turn.
var resumeUnframed = []int{0, 40, 80}

// resumeCounts are the numbers of requests of callers that resume, of those that continued an earlier response, that boxes resumed at
// another target or moved from a slow rank, that outlasted their deadlines, and of those whose pieces do not fit.
type resumeCounts struct{ requests, whole, continued, resumed, moved, outlasting, wrong, wrongAtDeadline int }

// startResumes starts the callers that resume, and the faults.
func (e *environment) startResumes(ctx context.Context, until time.Time, callers, actors *sync.WaitGroup) {
	for n := range resumeCallers * e.options.Callers {
		callers.Go(func() { e.resumeStreams(ctx, n) })
	}
	actors.Go(func() { e.runKills(until) })
	if !e.options.Outages {
		actors.Go(func() { e.runSlowRanks(until) })
	}
}

// resumeStreams reads streams one after the other until ctx ends. A quarter of the callers have deadlines that their streams outlast, and
// a quarter use the group or the targets of the other callers.
func (e *environment) resumeStreams(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(e.options.Seed, uint64(400+n)))
	time.Sleep(time.Duration(r.Int64N(int64(warmUp)))) // the targets start meanwhile
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	org := e.organisations[n%len(e.organisations)]
	for i := 0; ctx.Err() == nil; i++ {
		ex := exchange{organisation: org.name, resuming: true, crashing: true}
		events := minResumeEvents + r.IntN(moreResumeEvents)
		ex.request = standin.Request{ID: fmt.Sprintf("r-%d-%d", n, i), Key: org.key, Timeout: callerTimeout, Grace: timingSlack}
		prefix := standin.ResumablePath(resumeService) + "x"
		switch n % 8 {
		case 0, 1:
			ex.hurried = true
			ex.request.Timeout = minResumeDeadline + time.Duration(r.Int64N(int64(moreResumeDeadline)))
			events = int(ex.request.Timeout/resumeEventGap) + minResumeEvents
		case 2:
			prefix, ex.group, ex.crashing, ex.request.Timeout = standin.GroupPath+"x", true, false, groupTimeout
		case 3:
			prefix, ex.crashing = "/stream/x", false
		}
		ex.request.Path = fmt.Sprintf("%s-%d-%d/%d", prefix, n, i, events) // each is work of its own, which is not blamed for the kills
		ex.request.Body = "body of " + ex.request.ID                       // net/http sends a request without one again by itself
		e.followStream(c, r, ex, events)
	}
}

// followStream reads a stream of so many events. It resumes it at another box after each response that broke off.
func (e *environment) followStream(c *http.Client, r *rand.Rand, ex exchange, events int) {
	id, box := ex.request.ID, r.IntN(len(e.boxes))
	for try := range resumeTries {
		ex.request.ID = fmt.Sprintf("%s-%d", id, try)
		ex.outlasts = ex.request.Timeout < resumeEventGap*time.Duration(events-ex.request.After)
		reply := e.exchange(c, e.boxes[(box+try)%len(e.boxes)], ex)
		if reply.Correct || reply.Mismatch != "" {
			return
		}
		if reply.LastEvent == ex.request.After {
			time.Sleep(max(resumePause, min(reply.RetryAfter, callerTimeout/3)))
		}
		ex.request.After = max(ex.request.After, reply.LastEvent)
	}
}

// runKills kills several targets of resumeService at once, at times beside a box, and cuts the path to another one way.
func (e *environment) runKills(until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 13))
	e.resumeTargets = make([]*targetProcess, resumeTargets)
	e.replaceTargets(r.Perm(resumeTargets), 0)
	time.Sleep(warmUp)
	for generation := 1; time.Now().Before(until); generation++ {
		time.Sleep(minKillPause + time.Duration(r.Int64N(int64(maxKillPause-minKillPause))))
		killed, cut, b := r.Perm(resumeTargets)[:r.IntN(resumeTargets)], r.IntN(resumeTargets), e.drawBox(r)
		e.resumeTargets[cut].cutPath(time.Duration(r.Int64N(int64(maxCutTime))))
		if r.IntN(3) == 0 {
			e.recorder.addFault(action{name: "kill", affects: scopeBox}, b.name, time.Now(), time.Now().Add(restartDelay+timingSlack))
			b.signal(syscall.SIGKILL)
		}
		var kills sync.WaitGroup
		for _, n := range killed {
			kills.Go(e.resumeTargets[n].kill)
		}
		kills.Wait()
		time.Sleep(crashReplaceAfter)
		e.replaceTargets(killed, generation)
	}
}

// replaceTargets starts targets of resumeService in place of those that were killed. Every second one is behind a proxy.
func (e *environment) replaceTargets(killed []int, generation int) {
	for _, n := range killed {
		if old := e.resumeTargets[n]; old != nil {
			e.removeEntry(old.id)
			old.closeProxy()
		}
		b := standin.Behaviour{ResponseTime: crashResponseTime, EventGap: resumeEventGap, Unframed: resumeUnframed[n%len(resumeUnframed)], StopAtEnd: true}
		id := fmt.Sprintf("r-%d-%d", n, generation)
		p, err := e.startTargetProcess(resumeService, id, hallName(n), b, n%2 == 1, e.recorder.addResumingRun)
		if err != nil {
			e.recorder.addUnexpectedExit(id, err)
			continue
		}
		e.resumeTargets[n] = p
	}
}

// runSlowRanks slows one rank of the group after the other.
func (e *environment) runSlowRanks(until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 14))
	time.Sleep(warmUp)
	for time.Now().Add(2 * slowTime).Before(until) {
		rank, from := r.IntN(groupShape.Ranks), time.Now()
		e.setPause(slowPause)
		e.group.SetSlowdown(rank, slowFactor)
		time.Sleep(slowTime)
		e.group.SetSlowdown(rank, 1)
		e.setPause(0)
		e.recorder.addSlowRank(from, time.Now())
		time.Sleep(slowTime)
	}
}

func (e *environment) setPause(pause time.Duration) {
	for rank := range groupShape.Ranks {
		e.group.Target(rank).ChangeBehaviour(func(b *standin.Behaviour) { b.Pause = pause })
	}
}

// addResumingRun records that a target has begun to run a stream, if it continues one.
func (rec *recorder) addResumingRun(r standin.Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.resumedAfter[r.ID] = max(rec.resumedAfter[r.ID], r.After)
}

func (rec *recorder) addSlowRank(from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.slowRanks = append(rec.slowRanks, span{name: "slow rank", from: from, to: to})
}

// mayCut reports whether the box may have cut the stream of a caller that resumes, which slow ranks can make as long as a stop: at its
// deadline or, if it was sent at most noticeTime after the signal of a stop, in the last sixth of the stop's time.
func (rec *recorder) mayCut(ex exchange) bool {
	return ex.resuming && (ex.endedAt.Sub(ex.sentAt) >= ex.request.Timeout || slices.ContainsFunc(rec.stops[ex.box], func(s span) bool {
		return ex.sentAt.Before(s.to) && ex.sentAt.Sub(s.from) <= noticeTime && ex.endedAt.Sub(s.from) >= stopBound*5/6
	}))
}

// isResumed reports whether the box resumed the stream of the request at another target.
func (rec *recorder) isResumed(ex exchange) bool {
	return rec.resumedAfter[ex.request.ID] > ex.request.After ||
		slices.ContainsFunc(rec.runs[ex.request.ID], func(r standin.Run) bool { return r.After > ex.request.After })
}

// isMoved reports whether the box moved the stream of the request from a slow rank of a group that is open.
func (rec *recorder) isMoved(ex exchange) bool {
	return ex.group && rec.isResumed(ex) && slices.ContainsFunc(rec.slowRanks, func(s span) bool { return ex.sentAt.Before(s.to) && ex.endedAt.After(s.from) })
}

// countResumes counts the requests of callers that resume. That the pieces of their streams fit is checked with all replies.
func (rec *recorder) countResumes() {
	c := &rec.resumes
	for _, ex := range rec.exchanges {
		if !ex.resuming {
			continue
		}
		wrong := ex.reply.Mismatch != ""
		c.requests++
		c.whole += count(ex.reply.Correct)
		c.continued += count(ex.request.After > 0 && ex.reply.LastEvent > ex.request.After)
		c.resumed += count(rec.isResumed(ex))
		c.moved += count(rec.isMoved(ex))
		c.outlasting += count(ex.outlasts && ex.reply.LastEvent > ex.request.After)
		c.wrong += count(wrong)
		c.wrongAtDeadline += count(wrong && ex.outlasts)
	}
}

// addResumes adds what was counted of callers that resume.
func (rep *Report) addResumes(c resumeCounts) {
	rep.Continued, rep.Resumed, rep.Moved, rep.Outlasting = c.continued, c.resumed, c.moved, c.outlasting
	if c.requests > 0 {
		rep.ResumeSummary = fmt.Sprintf("callers that resume: %d requests, %d whole, %d continued an earlier response, %d resumed by boxes (%d moved from slow ranks), %d outlasted their deadlines; wrong: %d, %d of them at deadlines",
			c.requests, c.whole, c.continued, c.resumed, c.moved, c.outlasting, c.wrong, c.wrongAtDeadline)
	}
}
