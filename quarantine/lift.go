package quarantine

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/call"
)

const (
	// liftRetention is how long a lift is remembered: until no box or record has an end from before it any
	// more. A box that was cut off keeps such ends for the longest quarantine and for retention after it.
	liftRetention = maxTerm + retention
	// maxLifts is the maximum number of lifts that are remembered. An operator lifts few.
	maxLifts = maxWorks
)

// Lift states that an operator lifted the quarantine of a work: targets that ended under it before do not
// count any more.
type Lift struct {
	Digest call.Digest
	At     time.Time
}

// lift is what a register holds of a Lift.
type lift struct {
	at      time.Time
	updated time.Time // when it was learned, or last contradicted by an older end
}

// ObserveLift adds a lift that the store or another box reported. It returns Lifted if the work was in
// quarantine and is not any more.
func (r *Register) ObserveLift(now time.Time, l Lift) Change {
	if l.At.After(now) {
		l.At = now
	}
	before := r.lifts[l.Digest]
	if l.Digest == "" || !l.At.After(before.at) || now.Sub(l.At) > liftRetention {
		return Unchanged
	}
	after := lift{at: l.At, updated: now}
	w, known := r.works[l.Digest]
	quarantined := known && now.Before(r.term(l.Digest).until)
	cleared := known && w.clear(l.At)
	r.version++
	if !cleared && isEcho(before.at, l.At) {
		after.updated = before.updated
	}
	r.lifts[l.Digest] = after
	r.evictLifts(now)
	switch {
	case quarantined && !now.Before(r.term(l.Digest).until):
		return Lifted
	case after.updated.Equal(before.updated):
		return Unchanged
	default:
		return Updated
	}
}

// cleared reports whether the end is from before the work was lifted. The box that sent it does not know of
// the lift, which is therefore reported again.
func (r *Register) cleared(now time.Time, o Observation) bool {
	l, lifted := r.lifts[o.Digest]
	if !lifted || o.At.After(l.at) {
		return false
	}
	r.lifts[o.Digest] = lift{at: l.at, updated: now}
	return true
}

// LiftedAt returns when the work was last lifted; zero for never.
func (r *Register) LiftedAt(d call.Digest) time.Time { return r.lifts[d].at }

// Lifts returns the lifts to send to other boxes: the new ones, and those that others do not know of.
func (r *Register) Lifts(now time.Time) []Lift {
	list := slices.DeleteFunc(r.allLifts(), func(l Lift) bool { return now.Sub(r.lifts[l.Digest].updated) >= reportFor })
	return list[:min(maxReported, len(list))]
}

// LiftsToPersist returns the lifts that the stored records lack, of which stored holds the observations.
// Times that different boxes read from a record differ as their clocks do.
func (r *Register) LiftsToPersist(now time.Time, stored *Register) []Lift {
	return slices.DeleteFunc(r.allLifts(), func(l Lift) bool {
		return now.Sub(l.At) > liftRetention || l.At.Sub(stored.LiftedAt(l.Digest)) <= maxClockDifference
	})
}

// allLifts returns all lifts, the latest first.
func (r *Register) allLifts() []Lift {
	list := make([]Lift, 0, len(r.lifts))
	for d, l := range r.lifts {
		list = append(list, Lift{Digest: d, At: l.at})
	}
	slices.SortFunc(list, func(x, y Lift) int { return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Digest, y.Digest)) })
	return list
}

// evictLifts drops the lifts that no end can be older than and, where there are too many, the oldest.
func (r *Register) evictLifts(now time.Time) {
	for i, l := range r.allLifts() {
		if i >= maxLifts || now.Sub(l.At) > liftRetention {
			delete(r.lifts, l.Digest)
		}
	}
}
