package admission

import "time"

// Gate decides at an entry box whether a request is forwarded or refused immediately. A request that
// would wait too long to be answered in time only makes others wait too. If it is refused
// immediately, its caller can retry when there is capacity.
//
// A caller that retries after a refusal has less time left than a caller that tries for the first time.
// Retries therefore take precedence: they may wait for as long as the latency objective permits, and
// first tries only for a share of that time.
type Gate struct {
	longest  map[string]*callerTime   // by route: the longest time to the deadline of recent callers
	timeouts map[string]time.Duration // by route: the longest time that the configuration allows
}

// Request is a request at a Gate.
type Request struct {
	Route            string
	Remaining        time.Duration // time to the caller's deadline
	LatencyObjective time.Duration // time within which the answer must begin; 0 for none
	// FirstByte is the expected time until the answer begins, Wait the part of it that the request
	// would wait for a slot.
	FirstByte, Wait time.Duration
}

const (
	// firstTryShare is the longest wait of a first try, as a share of the longest wait that meets the
	// latency objective.
	firstTryShare = 0.6
	// A request counts as a retry if its time to the deadline is less than retryBelow times the
	// longest recent one on its route.
	retryBelow = 0.9
	// maxRetryAfterShare is the largest retry-after that callers honour, as a share of their time to the
	// deadline.
	maxRetryAfterShare = 1.0 / 3
	// Retries are spread over the end of the time that callers honour (maxRetryAfterShare).
	// overloadSpread and outageSpread are the length of that end, as a share of the whole time.
	overloadSpread, outageSpread = 0.5, 0.0625
	// minRetryAfter is the shortest time after which a refused caller should retry.
	minRetryAfter = 100 * time.Millisecond
	// reopenSpread is the time over which retries are spread once a target takes requests again, so
	// that the callers refused in the meantime do not all arrive at once. It is the duration of a few
	// requests at a usual target.
	reopenSpread = 250 * time.Millisecond
)

// NewGate returns a gate without any routes.
func NewGate() *Gate { return &Gate{longest: map[string]*callerTime{}} }

// Admit reports whether the request is forwarded; if not, it also returns after how long the caller
// should retry. spread is in [0, 1) and random, so that callers refused together do not retry
// together.
func (g *Gate) Admit(now time.Time, r Request, spread float64) (bool, time.Duration) {
	retry := g.Returning(now, r.Route, r.Remaining)
	if r.LatencyObjective == 0 || r.Wait == 0 {
		return true, 0
	}
	maxWait := r.LatencyObjective - (r.FirstByte - r.Wait)
	if !retry {
		maxWait = time.Duration(float64(maxWait) * firstTryShare)
	}
	if r.Wait <= maxWait {
		return true, 0
	}
	return false, RetryAfterOverload(r.Remaining, spread)
}

// RetryAfterOverload returns after how long a caller that was refused for lack of capacity should
// retry. Retries are spread over the latter half of the time that callers honour, so that callers that
// arrived together use capacity as it becomes available.
func RetryAfterOverload(remaining time.Duration, spread float64) time.Duration {
	return lateRetryAfter(remaining, spread, overloadSpread)
}

// RetryAfterOutage returns after how long a caller should retry if no target serves: close to the
// longest time that callers honour. A caller retries once, the time of recovery is unknown, and a
// later retry is more likely to be served.
func RetryAfterOutage(remaining time.Duration, spread float64) time.Duration {
	return lateRetryAfter(remaining, spread, outageSpread)
}

// RetryAfterReopening returns after how long a caller should retry if no target takes requests at
// present. in is the time until the first target does so again, or 0 if that is unknown. If it is
// unknown or longer than callers honour, the result is that of RetryAfterOutage.
func RetryAfterReopening(in, remaining time.Duration, spread float64) time.Duration {
	last := RetryAfterOutage(remaining, spread)
	if in <= 0 || in > last {
		return last
	}
	return in + time.Duration(spread*float64(reopenSpread))
}

// RetryAfterPermits returns after how long a refused caller should retry if permits become available
// one by one, the first of them after from. Retries are spread evenly between from and the longest time
// that callers honour, so that callers arrive at the rate at which permits become available.
func RetryAfterPermits(from, remaining time.Duration, spread float64) time.Duration {
	from = max(from, minRetryAfter)
	most := time.Duration(float64(remaining) * maxRetryAfterShare)
	if from >= most {
		return RetryAfterOutage(remaining, spread)
	}
	return from + time.Duration(float64(most-from)*spread)
}

// lateRetryAfter returns a time within the last share of the time that callers honour.
func lateRetryAfter(remaining time.Duration, spread, share float64) time.Duration {
	most := float64(remaining) * maxRetryAfterShare
	return max(time.Duration(most*(1-share*(1-spread))), minRetryAfter)
}

// Returning reports whether a caller on the route has been refused before, judged by the time that it had to
// its deadline when its request arrived.
func (g *Gate) Returning(now time.Time, route string, remaining time.Duration) bool {
	if timeout, ok := g.timeouts[route]; ok {
		remaining = min(remaining, timeout) // the request may have arrived under an earlier configuration
	}
	longest, ok := g.longest[route]
	if !ok {
		longest = &callerTime{}
		g.longest[route] = longest
	}
	return float64(remaining) < retryBelow*float64(longest.add(now, remaining))
}

// SetTimeouts sets the timeouts of all routes when the configuration changes. It drops the state of other
// routes. Without it, all callers of a route whose timeout became shorter would count as returning.
func (g *Gate) SetTimeouts(timeouts map[string]time.Duration) {
	g.timeouts = timeouts
	for route, longest := range g.longest {
		if timeout, ok := timeouts[route]; ok {
			longest.limit(timeout)
		} else {
			delete(g.longest, route)
		}
	}
}
