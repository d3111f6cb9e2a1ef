package quarantine

import (
	"math/rand/v2"
	"time"

	"clovertrail.dev/store"
)

// rewriteWithin is the time after a restore of the store in which boxes look what it lost: spread,
// so that the first one has written that again before most of the others look.
const rewriteWithin = 5 * time.Second

// Reconciler decides when a box compares what the store keeps with what it knows itself, as the
// store was restored from a copy and has lost records. It is not safe for concurrent use.
type Reconciler struct {
	rand  *rand.Rand
	era   store.Era
	dueAt time.Time // zero if nothing is to be compared
}

// NewReconciler returns the rewriter of a box that knows no era.
func NewReconciler(rnd *rand.Rand) *Reconciler { return &Reconciler{rand: rnd} }

// ObserveEra takes the latest era of the store that the box has learned of.
func (w *Reconciler) ObserveEra(now time.Time, era store.Era) {
	if era <= w.era {
		return
	}
	if w.era > 0 {
		w.dueAt = now.Add(time.Duration(w.rand.Int64N(int64(rewriteWithin))))
	}
	w.era = era
}

// Due reports whether the box is to list what the store keeps now.
func (w *Reconciler) Due(now time.Time) bool { return !w.dueAt.IsZero() && !now.Before(w.dueAt) }

// MarkCompared records that what the store keeps was listed, and what is missing is being written.
func (w *Reconciler) MarkCompared() { w.dueAt = time.Time{} }
