package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// groupService is the service of the group.
	groupService = "model"
	// enginePort and agentPort are the ports of ranks and their agents, each rank on a loopback address of its
	// own. They are below the ports that systems assign to connections.
	enginePort, agentPort = 21000, 21001
	// minRankOutage and maxRankOutage bound the time for which a rank is lost. The group then forms for formTime, and
	// requests that have begun can wait for it: their callers leave after groupPatience. One outage in three is
	// longer by longerBy, so that callers would leave while they wait.
	minRankOutage, maxRankOutage = 1600 * time.Millisecond, 2200 * time.Millisecond
	longerBy                     = 5 * time.Second
	formTime                     = 500 * time.Millisecond
	// maxOutagePause is the longest pause between two outages.
	maxOutagePause = 2 * time.Second
	// groupPatience is the time after which a caller of the group leaves without an event: eight times the event
	// gap objective of its route. groupTimeout is its time-out, and that of the route: boxes recognise a caller that
	// returns by its shorter time to the deadline, which a shorter time-out of the route would hide.
	groupPatience, groupTimeout = 4 * time.Second, 8 * time.Second
	// groupCallerPause is the time between two callers of the group.
	groupCallerPause = 40 * time.Millisecond
	// groupMaxAttempts is the number of ranks that the route allows a request to be sent to.
	groupMaxAttempts = 2
	// ampleRetrySlack allows each request its attempts, so that no stream is cut because a retry budget is
	// exhausted, which checkOutages cannot distinguish from a cut by a planned stop.
	ampleRetrySlack = 10000
	// leaveSlack is the time that a request may be held after its caller leaves. Boxes refuse a request that waits
	// half a second before that. stallTime is the time for which ranks that have stopped hold requests themselves.
	leaveSlack, stallTime = 500 * time.Millisecond, 1500 * time.Millisecond
	// firstEventTime and eventGap are the times from the arrival of a request at a rank until the first event of its
	// answer, and between events.
	firstEventTime, eventGap = 150 * time.Millisecond, 20 * time.Millisecond
	// reopeningNoticeBound is the age up to which boxes rely on reports, so the time within which they notice that the
	// group has opened.
	reopeningNoticeBound = time.Second
	// pauseName is the name of a pause of a box while the group stands still, pauseBeyondStall how long it lasts after that.
	pauseName, pauseBeyondStall = "pause while a group stops", 200 * time.Millisecond
	// groupTries is the number of tries of a caller of the group.
	groupTries = 2
)

var groupShape = standin.GroupShape{
	Name: "g0", Ranks: 3, Layers: 1, Experts: 6, Slots: 4, Staging: 1, StepTime: 20 * time.Millisecond, CopyTime: 50 * time.Millisecond,
	ExpertShare: 0.85, FormTime: formTime, Demand: func(time.Time, int, int) float64 { return 1.0 / 6 },
}

// startGroup starts the ranks of the group and their agents.
func (e *environment) startGroup() error {
	e.group = standin.NewGroup(groupShape, groupService, e.recorder.addRun)
	for r := range groupShape.Ranks {
		e.group.Target(r).ChangeBehaviour(func(b *standin.Behaviour) {
			b.ResponseTime, b.Events, b.EventGap, b.Unframed = firstEventTime, 15, eventGap, e.options.UnframedPercent
		})
		engine := e.rankAddress(r, enginePort)
		l, err := net.Listen("tcp", engine)
		if err != nil {
			return err
		}
		e.rankServers = append(e.rankServers, startServer(l, e.group.Handler(r)))
		e.recorder.markHall(e.group.ID(r), hallName(r))
		a, err := e.newProcess("agent", fmt.Sprintf("agent-%d", r), map[string]any{
			"box": fmt.Sprintf("agent-%d", r), "hall": hallName(r), "engine": engine, "peers": e.rankAddress(r, agentPort), "bounds": e.options.bounds(),
		})
		if err != nil {
			return err
		}
		e.agents = append(e.agents, a)
		if err := a.start(); err != nil {
			return err
		}
	}
	for id, entry := range e.rankEntries() {
		if _, err := e.store.Put("servers", id, entry); err != nil {
			return err
		}
	}
	return nil
}

func (e *environment) rankAddress(rank, port int) string {
	return loopback(e.options.Seed, 2+rank, port)
}

// rankEntries returns the entries of the group's ranks in the store, by target.
func (e *environment) rankEntries() map[string]map[string]any {
	entries := map[string]map[string]any{}
	for r := range e.rankServers {
		entries[e.group.ID(r)] = e.group.Object(r, e.rankAddress(r, enginePort), hallName(r))
	}
	return entries
}

// runOutages makes the group lose a rank for seconds, repeatedly, and makes planned stops of boxes during half
// of the outages. It ends with ctx, or when too little time is left before until.
func (e *environment) runOutages(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 8))
	cuts, pauses := rand.New(rand.NewPCG(e.options.Seed, 12)), rand.New(rand.NewPCG(e.options.Seed, 15))
	var stops sync.WaitGroup
	defer stops.Wait()
	time.Sleep(warmUp)
	for ctx.Err() == nil {
		lasts := minRankOutage + time.Duration(r.Int64N(int64(maxRankOutage-minRankOutage)))
		if r.IntN(3) == 0 {
			lasts += longerBy
		}
		if time.Now().Add(lasts + formTime).After(until) {
			return
		}
		lostAt := time.Now()
		e.stopGroup(r.IntN(groupShape.Ranks), cuts)
		if e.options.Pauses {
			e.pauseDuringStop(e.drawBox(pauses))
		}
		stopAfter, b := time.Duration(r.Int64N(int64(lasts))), e.boxes[r.IntN(len(e.boxes))]
		time.Sleep(stopAfter)
		if r.IntN(2) == 0 {
			stops.Go(func() { stopBox(e, nil, b, nil) })
		}
		time.Sleep(lasts - stopAfter)
		e.group.Return()
		e.recorder.addOutage(lostAt, time.Now().Add(formTime))
		time.Sleep(formTime + time.Duration(r.Int64N(int64(maxOutagePause))))
	}
}

// stopGroup makes the group lose the rank or, in half of the cases if responses end with their connections, cuts the rank off.
func (e *environment) stopGroup(rank int, cuts *rand.Rand) {
	if e.options.UnframedPercent > 0 && cuts.IntN(2) == 0 {
		e.group.CutOff(rank)
		return
	}
	e.group.Lose(rank)
}

// pauseDuringStop pauses a box until after the ranks have cut their streams, so that it reads the last events and the end at once.
func (e *environment) pauseDuringStop(b *box) {
	const length = stallTime + pauseBeyondStall
	e.recorder.addFault(action{name: pauseName, affects: scopeBox}, b.name, time.Now(), time.Now().Add(length+timingSlack))
	b.signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() { b.signal(syscall.SIGCONT) })
}

// wasPaused reports whether the box of a request was paused by pauseDuringStop while it was under way.
func (rec *recorder) wasPaused(ex exchange) bool {
	return slices.ContainsFunc(rec.faults, func(s span) bool {
		return s.name == pauseName && s.box == ex.box && ex.sentAt.Before(s.from) && ex.endedAt.After(s.from.Add(stallTime))
	})
}

// sendGroupRequests starts callers of the group until ctx ends.
func (e *environment) sendGroupRequests(ctx context.Context) {
	r := rand.New(rand.NewPCG(e.options.Seed, 9))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	var callers sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		box, org := r.IntN(len(e.boxes)), e.organisations[r.IntN(len(e.organisations))]
		callers.Go(func() { e.runReturningCaller(c, n, box, org) })
		time.Sleep(groupCallerPause)
	}
	callers.Wait()
}

// runReturningCaller sends a request to the group, and once more to another box if it is refused as not run. It
// waits beyond its deadline, so that a request that is held for too long is seen.
func (e *environment) runReturningCaller(c *http.Client, n, box int, org organisation) {
	deadline := time.Now().Add(groupTimeout)
	for try := range groupTries {
		id := fmt.Sprintf("g-%d-%d", n, try)
		reply := e.exchange(c, e.boxes[(box+try)%len(e.boxes)], exchange{organisation: org.name, group: true, request: standin.Request{
			ID: id, Key: org.key, Path: standin.GroupPath + "x", Body: "body of " + id, Level: claimedLevels[n%len(claimedLevels)],
			Timeout: time.Until(deadline), Grace: 2 * timingSlack,
		}})
		if !reply.NotRun() {
			return
		}
		time.Sleep(min(reply.RetryAfter, time.Until(deadline)/3))
	}
}

// countAttempts records the attempts that reached the ranks of the group.
func (e *environment) countAttempts() {
	for r := range e.rankServers {
		for _, a := range e.group.Target(r).Arrivals() {
			e.recorder.attempts[a.ID] = append(e.recorder.attempts[a.ID], a.At)
		}
	}
}

// checkOutages reports requests to the group that were held until after their callers leave or their deadline,
// and those that a planned stop of their box cut although another attempt was allowed and an answer could have begun.
func (rec *recorder) checkOutages(ex exchange, violate violationFunc) {
	if !ex.group || !rec.faultFree(ex.box, ex.sentAt, ex.endedAt, scopeBox) {
		return
	}
	id, began := ex.request.ID, ex.reply.BeganAt
	if began.IsZero() {
		began = ex.endedAt
	}
	most := min(groupPatience, ex.request.Timeout)
	leaves := ex.sentAt.Add(most)
	byRank := slices.ContainsFunc(rec.attempts[id], func(at time.Time) bool { return at.After(leaves.Add(-stallTime)) && at.Before(leaves) })
	if held := began.Sub(ex.sentAt); !byRank && held > most+leaveSlack {
		violate("held", "request %s to %s was held for %v, but its caller leaves after %v", id, ex.box, held, most)
	}
	if took := ex.endedAt.Sub(ex.sentAt); took > ex.request.Timeout+timingSlack {
		violate("held", "request %s to %s ended after %v, its deadline was after %v", id, ex.box, took, ex.request.Timeout)
	}
	cut := rec.isCut(ex)
	for _, s := range rec.stops[ex.box] {
		if cut && ex.sentAt.Before(s.to) && ex.endedAt.After(s.from) {
			violate("planned stop", "request %s to %s failed %v after the stop signal: status %d, %v; %s", id, ex.box, ex.endedAt.Sub(s.from), ex.reply.Status, ex.reply.Err, rec.timeline(ex))
		}
	}
}

// isCut reports whether a request to the group broke off although another attempt was allowed and an answer could have begun.
func (rec *recorder) isCut(ex exchange) bool {
	failed := !ex.reply.Correct && !ex.reply.NotRun() && !ex.reply.ConnectionRefused()
	return failed && len(rec.attempts[ex.request.ID]) < groupMaxAttempts && !rec.leavesBeforeAnswer(ex) && !rec.mayCut(ex)
}

// leavesBeforeAnswer reports whether the caller leaves before an answer can begin: the group was stopped while the
// request waited, and opens, if at all, too late for boxes to notice it and for a rank to send an event.
func (rec *recorder) leavesBeforeAnswer(ex exchange) bool {
	leaves := ex.leavesAt()
	return slices.ContainsFunc(rec.outages, func(o span) bool {
		return o.from.Before(ex.endedAt) && o.to.After(ex.sentAt) && leaves.Before(o.to.Add(reopeningNoticeBound+firstEventTime+eventGap))
	})
}

// leavesAt returns when the caller of a request to the group leaves unless it has received a further event by then.
func (ex exchange) leavesAt() time.Time {
	leaves, deadline := ex.sentAt.Add(groupPatience), ex.sentAt.Add(ex.request.Timeout)
	if !ex.reply.LastEventAt.IsZero() {
		leaves = ex.reply.LastEventAt.Add(groupPatience)
	}
	if deadline.Before(leaves) {
		return deadline
	}
	return leaves
}

// timeline describes the course of a request to the group: what affected it when, in time since it was sent.
func (rec *recorder) timeline(ex exchange) string {
	since := func(at time.Time) time.Duration { return at.Sub(ex.sentAt).Round(time.Millisecond) }
	text := fmt.Sprintf("ended after %v, caller leaves after %v", since(ex.endedAt), since(ex.leavesAt()))
	if last := ex.reply.LastEventAt; !last.IsZero() {
		text += fmt.Sprintf(", last event at %v", since(last))
	}
	for _, at := range rec.attempts[ex.request.ID] {
		text += fmt.Sprintf(", attempt at %v", since(at))
	}
	for _, o := range rec.outages {
		if o.from.Before(ex.endedAt) && o.to.After(ex.sentAt) {
			text += fmt.Sprintf(", group stopped from %v to %v", since(o.from), since(o.to))
		}
	}
	return text
}

// addGroupTotals counts what became of the requests to the group, so that a run shows whether requests waited.
func (rep *Report) addGroupTotals(rec *recorder) {
	const waitedFor = 500 * time.Millisecond // much longer than a rank that runs takes to begin an answer
	var tries, served, stopped, refused int
	for _, ex := range rec.exchanges {
		if !ex.group {
			continue
		}
		tries++
		rep.Paused += count(rec.wasPaused(ex))
		if ex.reply.NotRun() {
			refused++
		}
		if !ex.reply.Correct {
			continue
		}
		served++
		if ex.reply.BeganAt.Sub(ex.sentAt) < waitedFor && ex.endedAt.Sub(ex.reply.BeganAt) < minRankOutage {
			continue
		}
		rep.Waited++
		if slices.ContainsFunc(rec.stops[ex.box], func(s span) bool { return ex.sentAt.Before(s.from) && ex.endedAt.After(s.from) }) {
			stopped++
		}
	}
	if tries > 0 {
		rep.OutageSummary = fmt.Sprintf("group: %d tries, %d served (%d after a wait, %d of them through a planned stop), %d refused as not run, %d failed otherwise; %d under way at a box that was paused meanwhile",
			tries, served, rep.Waited, stopped, refused, tries-served-refused, rep.Paused)
	}
}
