package quarantine

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// maxCleared is the number of cleared ends of a work that are remembered.
const maxCleared = 16

// clearedEnds are ends of targets that do not count against a work any more, since it was served or lifted after
// them. Boxes name them to each other: the times of a service and of an end that follow each other within the time that a
// message takes cannot be compared at another box.
type clearedEnds map[domain.InstanceID]time.Time

func (c clearedEnds) has(id domain.InstanceID) bool {
	_, ok := c[id]
	return ok
}

// since reports whether one of the ends is from after the time.
func (c clearedEnds) since(t time.Time) bool {
	for _, at := range c {
		if at.After(t) {
			return true
		}
	}
	return false
}

// add adds the end of a target, in place of the earliest one if there are too many.
func (c *clearedEnds) add(id domain.InstanceID, at time.Time) {
	if *c == nil {
		*c = clearedEnds{}
	}
	(*c)[id] = at
	if len(*c) <= maxCleared {
		return
	}
	first := id
	for x, t := range *c {
		if t.Before((*c)[first]) {
			first = x
		}
	}
	delete(*c, first)
}

// clear clears the ends up to the time, and reports whether there were any.
func (w *work) clear(at time.Time) bool {
	before := len(w.ended)
	for id, e := range w.ended {
		if !e.at.After(at) {
			delete(w.ended, id)
			w.cleared.add(id, e.at)
		}
	}
	return len(w.ended) < before
}

// ObserveCleared records that another box knows an end as cleared.
func (r *Register) ObserveCleared(now time.Time, o Observation) Change {
	w, known := r.works[o.Digest]
	if !known {
		return Unchanged
	}
	_, counted := w.ended[o.Target]
	w.cleared.add(o.Target, o.At)
	if !counted {
		return Unchanged
	}
	quarantined := now.Before(r.term(o.Digest).until)
	delete(w.ended, o.Target)
	w.updated = now
	r.version++
	if quarantined && !now.Before(r.term(o.Digest).until) {
		return Released
	}
	return Updated
}

// Cleared returns the cleared ends to send to other boxes: those of works that changed lately, the latest first.
func (r *Register) Cleared(now time.Time) []Observation {
	var list []Observation
	for d, w := range r.works {
		if now.Sub(w.updated) >= reportFor {
			continue
		}
		for id, at := range w.cleared {
			list = append(list, Observation{Digest: d, Target: id, At: at})
		}
	}
	slices.SortFunc(list, func(x, y Observation) int {
		return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Digest, y.Digest), cmp.Compare(x.Target, y.Target))
	})
	return list[:min(maxReported, len(list))]
}
