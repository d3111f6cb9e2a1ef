package shutdown

import "time"

// Signal says when the platform sent the signal to stop. A process on a busy machine receives it only once it is scheduled, while the
// time until the platform kills it passes.
type Signal struct {
	// SentAfter is the last time at which the signal is known not to have been sent.
	SentAfter time.Time
	// ReceivedAt is when the process received the signal.
	ReceivedAt time.Time
}

// SignalAt returns a signal that was received as it was sent.
func SignalAt(now time.Time) Signal { return Signal{SentAfter: now, ReceivedAt: now} }

// SignalMonitor bounds the time for which a signal was pending, by regular checks that none is. It is not safe for concurrent use.
type SignalMonitor struct{ checkedAt time.Time }

// NewSignalMonitor returns a monitor whose first check is now.
func NewSignalMonitor(now time.Time) *SignalMonitor { return &SignalMonitor{checkedAt: now} }

// NonePending records that no signal is pending now.
func (m *SignalMonitor) NonePending(now time.Time) { m.checkedAt = now }

// Receive returns the signal that is received now.
func (m *SignalMonitor) Receive(now time.Time) Signal {
	return Signal{SentAfter: m.checkedAt, ReceivedAt: now}
}
