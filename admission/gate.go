package admission

import "time"

// Gate decides at an entry box whether a request is sent on or refused at once. A
// request that would wait longer than an answer in time allows only makes others
// wait too; refused at once, its caller can come back when there is room.
//
// A caller that comes back after a refusal has less time left than one that comes
// for the first time, and goes first: callers that come for the first time leave
// part of the waiting time to those.
type Gate struct {
	longest map[string]time.Duration // by route: the most time that a caller had
}

// Request is what a Gate goes by.
type Request struct {
	Route        string
	Remaining    time.Duration // that the caller has
	FirstByteSLO time.Duration // within which the answer must begin to be in time; 0 for none
	// FirstByte is after how long an answer is expected to begin, Wait how much of it the
	// request would wait for a slot.
	FirstByte, Wait time.Duration
}

const (
	// firstShare is the part of the waiting time that callers use that come for the
	// first time.
	firstShare = 0.6
	// cameBack is the share of the most time that callers of a route have below which
	// one must have come before.
	cameBack = 0.9
	// heed is the share of its time within which a caller heeds when to come back.
	heed = 1.0 / 3
	// restSpread and outlastSpread are over which last part of the time that they heed
	// refused callers come back.
	restSpread, outlastSpread = 0.5, 0.0625
	// leastRest is the least time that a refused caller is sent away for.
	leastRest = 100 * time.Millisecond
	// reopenSpread is over which time callers come back to a target that takes work again: a few
	// requests of a usual one, so that those who were refused meanwhile do not all meet it at once.
	reopenSpread = 250 * time.Millisecond
)

// NewGate returns a gate that has seen no request.
func NewGate() *Gate { return &Gate{longest: map[string]time.Duration{}} }

// Admit reports whether the request is sent on; if not, after how long its caller
// should come back. spread is from 0 up to 1 and keeps callers that were refused
// together from coming back together.
func (g *Gate) Admit(a Request, spread float64) (bool, time.Duration) {
	again := g.returned(a)
	if a.FirstByteSLO == 0 || a.Wait == 0 {
		return true, 0
	}
	room := a.FirstByteSLO - (a.FirstByte - a.Wait)
	if !again {
		room = time.Duration(float64(room) * firstShare)
	}
	if a.Wait <= room {
		return true, 0
	}
	return false, RetryAfterOverload(a.Remaining, spread)
}

// RetryAfterOverload is after how long a refused caller should come back where there is no room: spread
// over the latter half of the time that it heeds, so that callers that came together find
// the room that comes.
func RetryAfterOverload(left time.Duration, spread float64) time.Duration {
	return later(left, spread, restSpread)
}

// RetryAfterOutage is after how long a caller should come back where nobody serves: as late as it
// heeds. It comes back once, nobody knows when service returns, and the longer it waits
// the likelier it is served.
func RetryAfterOutage(left time.Duration, spread float64) time.Duration {
	return later(left, spread, outlastSpread)
}

// RetryAfterReopening is after how long a caller should come back where no target takes requests: as the first
// does again, if that is known and not later than the caller heeds, else as late as it heeds. in is
// until then, and 0 if nobody knows.
func RetryAfterReopening(in, left time.Duration, spread float64) time.Duration {
	last := RetryAfterOutage(left, spread)
	if in <= 0 || in > last {
		return last
	}
	return in + time.Duration(spread*float64(reopenSpread))
}

// RetryAfterPermits is after how long a refused caller should come back where room comes bit by bit from a
// time on: anywhere between that and as late as it heeds, so that callers come as the room does.
func RetryAfterPermits(from, left time.Duration, spread float64) time.Duration {
	from = max(from, leastRest)
	most := time.Duration(float64(left) * heed)
	if from >= most {
		return RetryAfterOutage(left, spread)
	}
	return from + time.Duration(float64(most-from)*spread)
}

// later is within a share of the end of the time that the caller heeds.
func later(left time.Duration, spread, share float64) time.Duration {
	most := float64(left) * heed
	return max(time.Duration(most*(1-share*(1-spread))), leastRest)
}

// returned distinguishes a caller that came before by the time that it has left.
func (g *Gate) returned(a Request) bool {
	if a.Remaining > g.longest[a.Route] {
		g.longest[a.Route] = a.Remaining
	}
	return float64(a.Remaining) < cameBack*float64(g.longest[a.Route])
}

// Forget drops what is known of routes, as when the configuration changes.
func (g *Gate) Forget() { clear(g.longest) }
