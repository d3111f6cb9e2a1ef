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
// The time of a stop runs from its signal, and a process that was not scheduled receives the signal late. Whether a request
// is accepted is therefore decided from the earliest time at which the signal may have been sent; connections are accepted, and responses go
// on, until the time that follows from the receipt.
//
// # Usage
//
//	m := shutdown.NewSignalMonitor(now, interval)
//	m.NonePending(now) // at the interval
//	p := shutdown.NewPlan(m.Receive(now), 7500*time.Millisecond)
//	p.Accepts(now, shutdown.Request{Deadline: deadline, Longest: 2 * time.Second})
package shutdown

import "time"

// noticeTime is how long the platform takes to stop sending new callers to a box that is not ready: two readiness
// checks, one second apart, and their responses.
const noticeTime = 3 * time.Second

// Plan is the planned stop of a box.
type Plan struct {
	noticedAt, end time.Time // if the signal was sent as it was received

	// The same if the signal was sent as early as possible.
	earliestNoticedAt, earliestEnd time.Time
}

// Request describes a request to a box that stops.
type Request struct {
	// Deadline is when the request ends at the latest: the caller stops waiting, or the time limit of the route has passed.
	Deadline time.Time
	// Longest is the time that the longest recent response of the route took, or that a request of the route which is not
	// answered yet has taken; 0 if there was none.
	Longest time.Duration
}

// NewPlan returns the plan of a stop that lasts for the given time from its signal at most.
func NewPlan(s Signal, length time.Duration) Plan {
	notice := min(noticeTime, length/2)
	return Plan{
		noticedAt: s.ReceivedAt.Add(notice), end: s.ReceivedAt.Add(length),
		earliestNoticedAt: s.SentAfter.Add(notice), earliestEnd: s.SentAfter.Add(length),
	}
}

// NoticedAt returns when the platform has noticed that the box is not ready. The box accepts new connections until then.
func (p Plan) NoticedAt() time.Time { return p.noticedAt }

// End returns when the stop ends at the latest.
func (p Plan) End() time.Time { return p.end }

// Accepts reports whether a request that arrives now is accepted.
func (p Plan) Accepts(now time.Time, r Request) bool {
	switch {
	case !r.Deadline.After(p.earliestEnd):
		return true
	case now.Before(p.earliestNoticedAt):
		return !now.Add(r.Longest).After(p.earliestEnd)
	default:
		return false
	}
}
