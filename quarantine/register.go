package quarantine

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

const (
	// enough is under how many ended targets work is barred. One may have ended by itself; a third
	// would cost one more group, of which a small deployment has two.
	enough = 2
	// enoughServed is the same for work that was served within servedFor before: many requests
	// may ask for the same, some of which then run beside one that crashes targets, again and
	// again. It must not be out of all bounds, since a new program may fail on old work.
	enoughServed = 4
	servedFor    = time.Minute
	// firstTerm is the first quarantine: many times as long as the target that a try after it may
	// cost is away.
	firstTerm = 2 * time.Minute
	// longer is how many times longer each further one is: a day of tries after quarantines
	// then ends three targets more.
	longer = 10
	// mostTerm bounds a quarantine.
	mostTerm = 48 * time.Hour
	// rememberFor is how long a work is remembered after the last that was learnt of it, or
	// after its quarantine: a caller who asks each few minutes is still found out.
	rememberFor = time.Hour
	// worksMost bounds how many works are remembered. One ended target leaves as many as it had
	// slots and places to wait.
	worksMost = 1024
	// tellFor is how long what is new of a work is told on: six rounds of adverts, in which
	// each box tells eight others.
	tellFor = 3 * time.Second
	// tellMost is how many observations one message has, the latest: three kilobytes.
	tellMost = 40
)

// Observation is one thing that is known of a work.
type Observation struct {
	Digest call.Digest
	// Target is the start of a target that ended while it ran the work; empty where the
	// work was served.
	Target domain.InstanceID
	At     time.Time
}

// Change is what an observation changed.
type Change int

// The changes.
const (
	// Unchanged: it was known, or does not matter any more.
	Unchanged Change = iota
	// Updated: other boxes are to learn of it.
	Updated
	// Quarantined: the work is in quarantine now, or for longer.
	Quarantined
	// Released: the work was served, and is not in quarantine any more.
	Released
)

// work is what is known of one digest.
type work struct {
	ended  map[domain.InstanceID]time.Time
	served time.Time // zero for never; what was before does not count
	learnt time.Time // when something new was learnt
}

// Register is what a box knows of works under which targets ended. It is not safe for
// concurrent use.
type Register struct {
	works  map[call.Digest]*work
	served recent
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{works: map[call.Digest]*work{}, served: recent{at: map[call.Digest]time.Time{}}}
}

// Observe takes an observation of this box, of another or of the store.
func (r *Register) Observe(now time.Time, w Observation) Change {
	if w.Target == "" {
		return r.cleared(now, w)
	}
	x, known := r.works[w.Digest]
	if !known {
		x = &work{ended: map[domain.InstanceID]time.Time{}, served: r.served.at[w.Digest], learnt: now}
		r.works[w.Digest] = x
		r.forget(now)
	}
	if _, counted := x.ended[w.Target]; counted || !w.At.After(x.served) {
		return Unchanged
	}
	x.ended[w.Target], x.learnt = w.At, now
	if now.Before(x.until()) {
		return Quarantined
	}
	return Updated
}

// cleared takes that the work was served: it does not crash its targets.
func (r *Register) cleared(now time.Time, w Observation) Change {
	x, known := r.works[w.Digest]
	switch {
	case !known:
		r.served.add(w.Digest, w.At)
		return Unchanged
	case !w.At.After(x.served):
		return Unchanged
	}
	barred := now.Before(x.until())
	x.served, x.learnt = w.At, now
	for id, at := range x.ended {
		if !at.After(w.At) {
			delete(x.ended, id)
		}
	}
	if barred && !now.Before(x.until()) {
		return Released
	}
	return Updated
}

// EndedTargets is how many targets are known to have ended under the work.
func (r *Register) EndedTargets(d call.Digest) int {
	if x, known := r.works[d]; known {
		return len(x.ended)
	}
	return 0
}

// QuarantinedUntil reports whether the work is in quarantine, and until when.
func (r *Register) QuarantinedUntil(now time.Time, d call.Digest) (until time.Time, barred bool) {
	x, known := r.works[d]
	if !known {
		return time.Time{}, false
	}
	until = x.until()
	return until, now.Before(until)
}

// Observations is all that is known of targets that ended under the work, oldest first.
func (r *Register) Observations(d call.Digest) []Observation {
	x, known := r.works[d]
	if !known {
		return nil
	}
	var list []Observation
	for id, at := range x.ended {
		list = append(list, Observation{Digest: d, Target: id, At: at})
	}
	slices.SortFunc(list, func(x, y Observation) int { return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Target, y.Target)) })
	return list
}

// ToPersist are the works that the store is to keep, sorted: those in quarantine, and those whose
// quarantine is over and still counts for the next one.
func (r *Register) ToPersist(now time.Time) []call.Digest {
	var list []call.Digest
	for d, x := range r.works {
		if until := x.until(); !until.IsZero() && now.Sub(until) <= rememberFor {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// Latest is what other boxes are to hear: what was learnt lately, and, where all is wanted, for
// boxes that were cut off meanwhile, what is known of works in quarantine.
func (r *Register) Latest(now time.Time, all bool) []Observation {
	var list []Observation
	for d, x := range r.works {
		fresh := now.Sub(x.learnt) < tellFor
		if barred := now.Before(x.until()); !fresh && (!all || !barred) {
			continue
		}
		list = append(list, r.Observations(d)...)
		if fresh && !x.served.IsZero() {
			list = append(list, Observation{Digest: d, At: x.served})
		}
	}
	slices.SortFunc(list, func(x, y Observation) int {
		return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Digest, y.Digest), cmp.Compare(x.Target, y.Target))
	})
	return list[:min(tellMost, len(list))]
}

// until is the end of the work's quarantine; zero for none.
func (x *work) until() time.Time {
	var last time.Time
	for _, at := range x.ended {
		if at.After(last) {
			last = at
		}
	}
	need := enough
	if !x.served.IsZero() && last.Sub(x.served) < servedFor {
		need = enoughServed
	}
	if len(x.ended) < need {
		return time.Time{}
	}
	return last.Add(term(len(x.ended) - need))
}

// term is how long a quarantine is after so many targets more than it takes.
func term(more int) time.Duration {
	t := firstTerm
	for range more {
		if t = min(t*longer, mostTerm); t == mostTerm {
			break
		}
	}
	return t
}

// forget drops works of which nothing was learnt for long, and those learnt of longest ago
// where there are too many; never one in quarantine.
func (r *Register) forget(now time.Time) {
	for d, x := range r.works {
		if end := x.until(); now.Sub(x.learnt) > rememberFor && now.Sub(end) > rememberFor {
			delete(r.works, d)
		}
	}
	for len(r.works) > worksMost {
		var oldest call.Digest
		for d, x := range r.works {
			if now.Before(x.until()) {
				continue
			}
			if oldest == "" || x.learnt.Before(r.works[oldest].learnt) {
				oldest = d
			}
		}
		if oldest == "" {
			return
		}
		delete(r.works, oldest)
	}
}
