package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// requestedRest is the time for which a target requests rest. Until restGrace after the response,
	// requests from the box that received it are not counted: some are already under way, and a busy
	// box is slow to react.
	requestedRest = 5 * time.Second
	restGrace     = 500*time.Millisecond + timingSlack
	// maxRequestsInRest is the number of requests that a box may send to the target in the remainder
	// of that time.
	maxRequestsInRest = 2
	// rejectDuration is the time for which a target rejects requests.
	rejectDuration = 6 * time.Second
	// maxTargetRequestPause is the longest pause between requests of two targets.
	maxTargetRequestPause = 2 * time.Second
)

// runTargetRequests makes one target after another request rest, or report that it is leaving, in its
// responses to the boxes. It ends with ctx, or when too little time is left before until.
func (e *environment) runTargetRequests(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 4))
	for time.Now().Add(rejectDuration).Before(until) && ctx.Err() == nil {
		time.Sleep(time.Duration(r.Int64N(int64(maxTargetRequestPause))))
		if r.IntN(2) == 0 {
			e.requestRest(r)
		} else {
			e.reportLeaving(r)
		}
	}
}

// requestRest makes a target reject all requests for rejectDuration, and request rest in the
// responses.
func (e *environment) requestRest(r *rand.Rand) {
	_, in := e.pickHost(r)
	e.recorder.addFault(action{name: "target asks for rest", affects: scopeTarget}, "", time.Now(), time.Now().Add(rejectDuration+timingSlack))
	in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.RejectAll, x.Rest = true, requestedRest })
	time.Sleep(rejectDuration)
	in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.RejectAll, x.Rest = false, 0 })
	e.recorder.addRejected(in.target.Rejections())
}

// reportLeaving makes a target report that it is leaving in its responses only, not in the store, and
// replaces it later.
func (e *environment) reportLeaving(r *rand.Rand) {
	h, in := e.pickIdleHost(r)
	if h == nil {
		return
	}
	defer h.lifecycle.Unlock()
	in.target.ChangeBehaviour(func(x *standin.Behaviour) { x.Leaving = true })
	e.recorder.markLeavingReported(in.id)
	time.Sleep(serveAfterLeaving)
	_ = e.replaceTarget(h, in) // if this fails, the run goes on with one target fewer
}

func (rec *recorder) addRejected(list []standin.Rejection) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rejected = append(rec.rejected, list...)
}

func (rec *recorder) markLeavingReported(target string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.leavingReportedAt[target] = time.Now()
}

// boxProcess identifies a process of a box by its start count.
type boxProcess struct {
	box   string
	start int
}

// checkRest reports boxes that went on sending requests to a target that had requested rest from
// them.
func (rec *recorder) checkRest(violate violationFunc) {
	byID := map[string]boxProcess{}
	for _, ex := range rec.exchanges {
		byID[ex.request.ID] = boxProcess{ex.box, ex.boxStart}
	}
	for _, rejection := range rec.rejected {
		process := byID[rejection.ID]
		if rejection.RestUntil.Equal(rejection.At) || process.start == unknownStart || !rec.faultFree(process.box, rejection.At, rejection.RestUntil, scopeBox) {
			continue
		}
		n := 0
		for _, x := range rec.rejected {
			if x.Target == rejection.Target && byID[x.ID] == process && x.At.Sub(rejection.At) > restGrace && x.At.Before(rejection.RestUntil) {
				n++
			}
		}
		if n > maxRequestsInRest {
			violate("rest", "%s sent %d requests to %s during the %v of rest that the target had requested", process.box, n, rejection.Target, requestedRest)
		}
	}
}

// checkLeavingReported reports requests that a box accepted, and that reached a leaving target, more
// than drainBound after the box had forwarded a response in which the target reported that it is
// leaving.
func (rec *recorder) checkLeavingReported(violate violationFunc) {
	type forward struct {
		boxProcess
		target string
	}
	firstForward := map[forward]time.Time{}
	each := func(do func(p forward, ex exchange)) {
		for _, ex := range rec.exchanges {
			for _, r := range rec.runs[ex.request.ID] {
				if at, ok := rec.leavingReportedAt[r.Target]; ok && r.At.After(at) && ex.boxStart != unknownStart {
					do(forward{boxProcess{ex.box, ex.boxStart}, r.Target}, ex)
				}
			}
		}
	}
	each(func(p forward, ex exchange) {
		if first, ok := firstForward[p]; ex.reply.Correct && (!ok || ex.endedAt.Before(first)) {
			firstForward[p] = ex.endedAt
		}
	})
	each(func(p forward, ex exchange) {
		first, ok := firstForward[p]
		if late := ex.sentAt.Sub(first); ok && late > drainBound && rec.faultFree(p.box, first, ex.endedAt, scopeBox) {
			violate("draining", "request %s to %s ran on %s, and was sent %v after the box had forwarded the target's report that it is leaving", ex.request.ID, p.box, p.target, late)
		}
	})
}
