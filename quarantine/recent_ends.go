package quarantine

import (
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

const (
	// commonWindow is the time within which targets end that end for one cause: those of a rack that
	// loses power, or of a bad rollout.
	commonWindow = time.Second
	// minOthers is the number of other targets that must end in that time for a common cause, and otherShare
	// their least ratio to those that ended under the work. One request that crashes its targets ends one after
	// the other, each a retry after the last; requests that share a part which does may end several at once.
	minOthers, otherShare = 3, 2
	// maxRecentEnds is the number of ended targets that are compared with each other. Whole racks may end at once.
	maxRecentEnds = 512
)

// recentEnd is a target that ended lately, whatever it ran.
type recentEnd struct {
	at    time.Time
	works int // works that ran on the target as it ended, without the parts of their prompts
}

// recentEnds are the targets that ended last, of which the first observations arrived last.
type recentEnds struct {
	ends  map[domain.InstanceID]recentEnd
	order []domain.InstanceID // by arrival
	times []time.Time         // of all ends, in order
}

// add records the end of a target under a work, or under a part of prompts.
func (r *recentEnds) add(id domain.InstanceID, at time.Time, isPart bool) {
	e, known := r.ends[id]
	if !known {
		if len(r.order) >= maxRecentEnds {
			i, _ := slices.BinarySearchFunc(r.times, r.ends[r.order[0]].at, time.Time.Compare)
			r.times = slices.Delete(r.times, i, i+1)
			delete(r.ends, r.order[0])
			r.order = r.order[1:]
		}
		i, _ := slices.BinarySearchFunc(r.times, at, time.Time.Compare)
		r.times = slices.Insert(r.times, i, at)
		r.order = append(r.order, id)
		e.at = at
	}
	if !isPart {
		e.works++
	}
	r.ends[id] = e
}

// around returns the number of targets that ended at about the time.
func (r *recentEnds) around(at time.Time) int {
	from, _ := slices.BinarySearchFunc(r.times, at.Add(-commonWindow), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(r.times, at.Add(commonWindow+1), time.Time.Compare)
	return to - from
}

// mark marks the ends of the work that have a common cause or that several works share. As further ends arrive,
// those of others may turn out to be ends under the same work. Marks of ends that are not remembered stay.
func (r *recentEnds) mark(w *work) {
	for id, e := range w.ended {
		recent, known := r.ends[id]
		if !known {
			continue
		}
		own := r.ownAround(w, e.at)
		others := r.around(e.at) - own
		e.shared = recent.works > 1
		e.common = others >= minOthers && others >= otherShare*own
		w.ended[id] = e
	}
}

// ownAround returns the number of targets that ended under the work at about the time.
func (r *recentEnds) ownAround(w *work, at time.Time) int {
	n := 0
	for id := range w.ended {
		if recent, known := r.ends[id]; known && recent.at.Sub(at).Abs() <= commonWindow {
			n++
		}
	}
	return n
}
