package membership

import "clovertrail.dev/core/domain"

// IncarnationTracker numbers the process of a box after those before it. A process begins with the
// lowest incarnation, and comes after the latest that another box remembers of its box as
// soon as one answers. No clock is asked: a box whose clock was set back while it was away
// would be older than itself to all others, and its reports ignored for as long.
type IncarnationTracker struct {
	incarnation domain.Incarnation
	answered    bool // another box knows this process
}

// NewIncarnationTracker returns that of a process that starts.
func NewIncarnationTracker() *IncarnationTracker { return &IncarnationTracker{incarnation: 1} }

// Incarnation is that of the process.
func (l *IncarnationTracker) Incarnation() domain.Incarnation { return l.incarnation }

// Observe takes the incarnation under which another box knew this box before it was
// asked; 0 if it did not. The result reports that the process has another one from now on.
func (l *IncarnationTracker) Observe(n domain.Incarnation) bool {
	later := n > l.incarnation || n == l.incarnation && !l.answered
	l.answered = true
	if later {
		l.incarnation = n + 1
	}
	return later
}
