package membership

import "clovertrail.dev/core/domain"

// IncarnationTracker chooses the incarnation of this box's process, so that it is higher than
// those of earlier processes of the box. A process begins with the lowest incarnation, and takes
// the one after the latest that other boxes have recorded as soon as one of them responds. The
// clock is not used: if the clock of a box was set back between two processes, the later process
// would appear older than the earlier one, and other boxes would ignore its reports until the clock
// had caught up.
type IncarnationTracker struct {
	incarnation domain.Incarnation
	answered    bool // another box has responded, and so has this process on record
}

// NewIncarnationTracker returns the tracker of a process that starts.
func NewIncarnationTracker() *IncarnationTracker { return &IncarnationTracker{incarnation: 1} }

// Incarnation returns the present incarnation of the process.
func (t *IncarnationTracker) Incarnation() domain.Incarnation { return t.incarnation }

// Observe records the incarnation that another box had on record for this box before it received
// the present message; 0 if none. It returns true if the process has a new incarnation from now on.
func (t *IncarnationTracker) Observe(n domain.Incarnation) bool {
	later := n > t.incarnation || n == t.incarnation && !t.answered
	t.answered = true
	if later {
		t.incarnation = n + 1
	}
	return later
}
