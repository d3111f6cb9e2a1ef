package shutdown

import "time"

// Signal holds when the platform sent the signal to stop. A process on a busy machine receives it only once it is scheduled, while the
// time until the platform kills it passes.
type Signal struct {
	// SentAfter is the last time at which the signal is known not to have been sent.
	SentAfter time.Time
	// ReceivedAt is when the process received the signal.
	ReceivedAt time.Time
}

// SignalAt returns a signal that was received as it was sent.
func SignalAt(now time.Time) Signal { return Signal{SentAfter: now, ReceivedAt: now} }

// SignalMonitor bounds the time for which a signal was pending, by regular checks that none is. A process that was paused may make the next
// check before the signal has reached it, so that a late check proves nothing. A SignalMonitor is not safe for concurrent use.
type SignalMonitor struct {
	interval  time.Duration
	checkedAt time.Time // the last check
	noneAt    time.Time // the last check that proves that no signal had been sent
}

// NewSignalMonitor returns a monitor whose first check is now and that is checked at the interval.
func NewSignalMonitor(now time.Time, interval time.Duration) *SignalMonitor {
	return &SignalMonitor{interval: interval, checkedAt: now, noneAt: now}
}

// NonePending records a check that finds no signal now, the interval or longer after the last one.
func (m *SignalMonitor) NonePending(now time.Time) {
	if now.Sub(m.checkedAt) < 2*m.interval {
		m.noneAt = now
	}
	m.checkedAt = now
}

// Receive returns the signal that is received now.
func (m *SignalMonitor) Receive(now time.Time) Signal {
	return Signal{SentAfter: m.noneAt, ReceivedAt: now}
}
