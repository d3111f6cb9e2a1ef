package quarantine

import (
	"math/rand/v2"
	"time"

	"clovertrail.dev/store"
)

// reconcileWithin is the time after a restore of the store in which each box compares the stored
// records with its own. The comparisons are spread over this time, so that the first box has
// written the lost records again before most of the others compare.
const reconcileWithin = 5 * time.Second

// Reconciler schedules the comparison of the stored records with those that the box has, after the
// store was restored from a backup and has lost records. It is not safe for concurrent use.
type Reconciler struct {
	rand  *rand.Rand
	era   store.Era
	dueAt time.Time // zero if no comparison is pending
}

// NewReconciler returns the reconciler of a box that has not observed an era yet.
func NewReconciler(rnd *rand.Rand) *Reconciler { return &Reconciler{rand: rnd} }

// ObserveEra records the latest era of the store that the box has observed. A later era than before
// schedules a comparison; the first one does not.
func (r *Reconciler) ObserveEra(now time.Time, era store.Era) {
	if era <= r.era {
		return
	}
	if r.era > 0 {
		r.dueAt = now.Add(time.Duration(r.rand.Int64N(int64(reconcileWithin))))
	}
	r.era = era
}

// Due reports whether the box is to list the stored records now.
func (r *Reconciler) Due(now time.Time) bool { return !r.dueAt.IsZero() && !now.Before(r.dueAt) }

// MarkCompared records that the stored records were listed, and that missing ones are being written.
func (r *Reconciler) MarkCompared() { r.dueAt = time.Time{} }
