package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// askRest is for how long a target asks to be sent nothing, and restSlack how long after its
	// answer a box may still send it something: what is under way, and a box that is busy.
	requestedRest = 5 * time.Second
	restGrace     = 500*time.Millisecond + timingSlack
	// restMost is how many requests a box may send it in the rest of that time.
	maxRequestsInRest = 2
	// askFor is for how long a target turns requests away.
	rejectDuration = 6 * time.Second
	// askPause is the longest pause between two targets that ask for something.
	maxTargetRequestPause = 2 * time.Second
)

// asking lets one target after another ask something of the boxes with its answers, until ctx
// ends: to be sent nothing for a while, or nothing any more.
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

// askForRest lets a target turn all requests away for a while and ask for rest.
func (e *environment) requestRest(r *rand.Rand) {
	_, in := e.pickHost(r)
	e.recorder.addFault(action{name: "target asks for rest", affects: scopeTarget}, "", time.Now(), time.Now().Add(rejectDuration+timingSlack))
	in.target.Behave(func(x *standin.Habits) { x.Full, x.Rest = true, requestedRest })
	time.Sleep(rejectDuration)
	in.target.Behave(func(x *standin.Habits) { x.Full, x.Rest = false, 0 })
	e.recorder.addRejected(in.target.Turned())
}

// sayLeaving lets a target report that it is leaving with its answers only, and puts another in its
// place later.
func (e *environment) reportLeaving(r *rand.Rand) {
	h, in := e.pickIdleHost(r)
	if h == nil {
		return
	}
	defer h.lifecycle.Unlock()
	in.target.Behave(func(x *standin.Habits) { x.Leaving = true })
	e.recorder.markLeavingReported(in.id)
	time.Sleep(serveAfterLeaving)
	_ = e.replaceTarget(h, in) // without it there is one target fewer
}

func (rec *recorder) addRejected(list []standin.Turned) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rejected = append(rec.rejected, list...)
}

func (rec *recorder) markLeavingReported(target string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.leavingReportedAt[target] = time.Now()
}

// start is one start of a box.
type boxProcess struct {
	box   string
	start int
}

// checkRests looks for boxes that went on sending to a target which had asked them for rest.
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
			violate("rest", "%s sent %s %d requests in the %v for which it was asked for rest", process.box, rejection.Target, n, requestedRest)
		}
	}
}

// checkSaid looks for work that a box took for a target too late after it had passed on an answer
// in which that said it is leaving.
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
		if first, ok := firstForward[p]; ex.reply.Right && (!ok || ex.endedAt.Before(first)) {
			firstForward[p] = ex.endedAt
		}
	})
	each(func(p forward, ex exchange) {
		first, ok := firstForward[p]
		if late := ex.sentAt.Sub(first); ok && late > drainBound && rec.faultFree(p.box, first, ex.endedAt, scopeBox) {
			violate("draining", "%s by %s reached %s, and came %v after the box had passed on that it is leaving", ex.request.ID, p.box, p.target, late)
		}
	})
}
