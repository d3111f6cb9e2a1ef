package quarantine

import (
	"time"

	"clovertrail.dev/core/domain"
)

const (
	// commonWindow is the time within which targets end that end for one cause: those of a rack that
	// loses power, or of a bad rollout.
	commonWindow = time.Second
	// minOthers is the number of other targets that must end in that time for a common cause. One
	// request that crashes its targets ends one after the other, each a retry after the last.
	minOthers = 3
	// endRetention is how long the end of a target is compared with others.
	endRetention = 4 * commonWindow
)

// recentEnds are the targets that ended lately, whatever they ran.
type recentEnds struct {
	at    map[domain.InstanceID]time.Time
	works map[domain.InstanceID]int // works that ran on the target as it ended
}

func newRecentEnds() recentEnds {
	return recentEnds{at: map[domain.InstanceID]time.Time{}, works: map[domain.InstanceID]int{}}
}

// add records the end of a target under one more work, and drops those that are long past.
func (r *recentEnds) add(id domain.InstanceID, at time.Time) {
	r.at[id] = at
	r.works[id]++
	for other, t := range r.at {
		if at.Sub(t) > endRetention {
			delete(r.at, other)
			delete(r.works, other)
		}
	}
}

// shared reports whether the target ran more than one work as it ended.
func (r *recentEnds) shared(id domain.InstanceID) bool { return r.works[id] > 1 }

// others returns the number of targets that ended at about the given time and not under the work.
func (r *recentEnds) others(w *work, at time.Time) int {
	n := 0
	for id, t := range r.at {
		if _, under := w.ended[id]; !under && t.Sub(at).Abs() <= commonWindow {
			n++
		}
	}
	return n
}

// markCommon marks the ends at about the given time that have a common cause or that several works share.
// A mark stays: whether other targets ended too is not known any more later.
func (r *Register) markCommon(around time.Time) {
	for _, w := range r.works {
		for id, e := range w.ended {
			if e.at.Sub(around).Abs() > commonWindow {
				continue
			}
			e.shared = e.shared || r.recent.shared(id)
			e.common = e.common || r.recent.others(w, e.at) >= minOthers
			w.ended[id] = e
		}
	}
}
