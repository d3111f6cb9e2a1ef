// Package shutdown decides which requests a box that is about to stop still accepts.
//
// A planned stop cuts no request off, so a box that stops may promise a response only if the request ends in time whatever
// becomes of it. That is known only of one whose deadline is before the end of the stop. What similar requests took in
// the past is no promise: a stream may be several times as long as those before it. Against that stands what a refusal
// costs: a connection to another box. The platform takes some seconds to notice that a box is not ready, and
// until then it may send the caller to the same box again, or to another one that stops. Later only callers with open
// connections reach the box, and they find another one at once.
//
// Therefore a box accepts by the past until the platform has noticed, when most of its time is left, and by deadlines alone
// after that.
//
// # Usage
//
//	p := shutdown.NewPlan(now, now.Add(7500*time.Millisecond))
//	p.Accepts(now, shutdown.Request{Deadline: deadline, Longest: 2 * time.Second})
package shutdown

import "time"

// noticeTime is how long the platform takes to stop sending new callers to a box that is not ready: two readiness
// checks, one second apart, and their responses.
const noticeTime = 3 * time.Second

// Plan is the planned stop of a box.
type Plan struct{ noticedAt, end time.Time }

// Request describes a request to a box that stops.
type Request struct {
	// Deadline is when the request ends at the latest: the caller stops waiting, or the time limit of the route has passed.
	Deadline time.Time
	// Longest is the time that the longest recent response of the route took, or that a request of the route which is not
	// answered yet has taken; 0 if there was none.
	Longest time.Duration
}

// NewPlan returns the plan of a stop that begins now and lasts until end at the latest.
func NewPlan(now, end time.Time) Plan {
	return Plan{noticedAt: now.Add(min(noticeTime, end.Sub(now)/2)), end: end}
}

// NoticedAt returns when the platform has noticed that the box is not ready. The box accepts new connections until then.
func (p Plan) NoticedAt() time.Time { return p.noticedAt }

// End returns when the stop ends at the latest.
func (p Plan) End() time.Time { return p.end }

// Accepts reports whether a request that arrives now is accepted.
func (p Plan) Accepts(now time.Time, r Request) bool {
	switch {
	case !r.Deadline.After(p.end):
		return true
	case now.Before(p.noticedAt):
		return !now.Add(r.Longest).After(p.end)
	default:
		return false
	}
}
