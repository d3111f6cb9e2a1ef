package ending

import "time"

// Arrivals follows the times at which the events of one run of a stream arrive. A pause is the time between two arrivals, a wait
// the part of it in which the box waited for the target, and not for its caller to read.
type Arrivals struct {
	sentAt       time.Time // when the request was sent
	events       int
	lastAt       time.Time     // of the last events; before them, when the request was sent
	waited       time.Duration // since then
	longestPause time.Duration // including the time until the first events
	longestWait  time.Duration // between events
	stallEndedAt time.Time     // end of the last wait between events that exceeded maxSilence; zero if there was none

	pauseEndedAt     time.Time     // end of the last pause of the box since the request was sent; zero if there was none
	waitedSincePause time.Duration // since then
}

// NewArrivals returns the arrivals of the stream that responds to a request sent at the given time.
func NewArrivals(sentAt time.Time) *Arrivals { return &Arrivals{sentAt: sentAt, lastAt: sentAt} }

// Events returns the number of events that have arrived.
func (a *Arrivals) Events() int { return a.events }

// Waited records that the box waited for more of the stream. lastPause is the end of the last pause of the box; zero if there was
// none.
func (a *Arrivals) Waited(d time.Duration, lastPause time.Time) {
	a.waited += d
	a.waitedSincePause += d
	if lastPause.After(a.sentAt) && lastPause.After(a.pauseEndedAt) {
		a.pauseEndedAt, a.waitedSincePause = lastPause, 0
	}
}

// Arrived records that events have arrived.
func (a *Arrivals) Arrived(now time.Time, events int) {
	a.longestPause = max(a.longestPause, now.Sub(a.lastAt))
	if a.events > 0 {
		a.longestWait = max(a.longestWait, a.waited)
		if a.waited > maxSilence {
			a.stallEndedAt = now
		}
	}
	a.events += events
	a.lastAt, a.waited = now, 0
}

// Ended returns what the arrivals show of a stream whose connection has ended.
func (a *Arrivals) Ended(now time.Time) Stream {
	s := Stream{Events: a.events, Waited: a.waited, LongestWait: a.longestWait, LongestPause: max(a.longestPause, now.Sub(a.lastAt))}
	s.BoxPaused, s.WaitedSincePause = !a.pauseEndedAt.IsZero(), a.waitedSincePause
	if !a.stallEndedAt.IsZero() {
		s.Stalled, s.SinceStall = true, now.Sub(a.stallEndedAt)
	}
	return s
}
