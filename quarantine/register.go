package quarantine

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

const (
	// minEnded is the number of targets that must have ended under a work before it is
	// quarantined. A single target may have ended for another reason. Waiting for a third would
	// cost one more group, and a small deployment has only two groups.
	minEnded = 2
	// minEndedWeak replaces minEnded where the evidence is weak: for work that was served less than
	// servedWindow before, as many callers may send the same request, and some of these may repeatedly
	// run on the same target as another request that crashes it; and for work whose targets ended
	// together with others, as in a rack that loses power. The number must stay small, since a new
	// version of a target's program may crash on work that the old version served, and a request may
	// crash its targets while others end too.
	minEndedWeak = 4
	servedWindow = time.Minute
	// firstTerm is the duration of the first quarantine: many times as long as the outage of a
	// target that the next attempt may crash.
	firstTerm = 2 * time.Minute
	// termFactor is the ratio of the duration of a quarantine to that of the one before: a caller
	// that retries after each quarantine then costs three more targets in a day.
	termFactor = 10
	// maxTerm is the maximum duration of a quarantine.
	maxTerm = 48 * time.Hour
	// retention is how long a work is remembered after its last update or the end of its
	// quarantine, whichever is later, so that a caller who retries every few minutes is still
	// recognised.
	retention = time.Hour
	// maxWorks is the maximum number of works and parts of prompts that are remembered. One ended target adds as
	// many works as it had slots and queued requests, and the parts of their prompts.
	maxWorks = 1024
	// reportFor is how long an update of a work is sent to other boxes: six rounds of adverts,
	// in each of which every box notifies eight others.
	reportFor = 3 * time.Second
	// echoWindow is the time within which two reports that a work was served, or lifted, are taken for one:
	// longer than it takes to send a report on over several boxes.
	echoWindow = 10 * time.Second
	// maxClockDifference is how far the clocks of boxes and operators may differ. A time that is further
	// ahead is not taken for the present.
	maxClockDifference = 10 * time.Second
	// maxReported is the maximum number of observations in one message, which take about three
	// kilobytes. The latest observations are sent.
	maxReported = 40
)

// Observation states that a target ended while it ran a work, or that the work was served.
type Observation struct {
	Digest call.Digest
	// Target identifies the instance of a target that ended while it ran the work; empty if the
	// work was served.
	Target domain.InstanceID
	At     time.Time
}

// Change is the effect of an observation on a Register.
type Change int

// The changes.
const (
	// Unchanged: the observation was known already, is out of date, or states that a work was
	// served under which no target is known to have ended.
	Unchanged Change = iota
	// Updated: the observation is new and is to be sent to other boxes.
	Updated
	// Quarantined: the work is in quarantine now, or for longer than before.
	Quarantined
	// Released: the work was served, and is no longer in quarantine.
	Released
	// Lifted: an operator lifted the work's quarantine.
	Lifted
)

// work holds the observations of one digest, of a request or of a part of prompts.
type work struct {
	ended    map[domain.InstanceID]end
	cleared  clearedEnds
	served   time.Time // zero for never; targets that ended before it do not count
	updated  time.Time // time of the last new observation, or of the last end from before the work was served
	trial    trial
	term     term // follows from the above at judgedAt, a version of the register
	judgedAt int
	// companions are works that were in quarantine too as this box received a request of both.
	companions []call.Digest
}

// end is the end of a target under a work.
type end struct {
	at time.Time
	// common states that other targets ended at about the same time, so that the cause is probably
	// not the work.
	common bool
	// shared states that the target ran other works too as it ended.
	shared bool
}

// weak reports whether the end is weak evidence against the work: other targets ended at about the same time, and
// other works were lost with this target.
func (e end) weak() bool { return e.common && e.shared }

// Register holds a box's observations of works under which targets ended. It is not safe for
// concurrent use.
type Register struct {
	works   map[call.Digest]*work
	lifts   map[call.Digest]lift
	served  *recentlyServed
	recent  recentEnds
	version int // rises with each change of the observations
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		works: map[call.Digest]*work{}, lifts: map[call.Digest]lift{}, served: newRecentlyServed(),
		recent: recentEnds{ends: map[domain.InstanceID]recentEnd{}}, version: 1,
	}
}

// Observe adds an observation of this box, of another box or of the store.
func (r *Register) Observe(now time.Time, o Observation) Change {
	if o.Target == "" {
		return r.observeServed(now, o)
	}
	if r.cleared(now, o) {
		return Unchanged
	}
	w, known := r.works[o.Digest]
	if !known {
		w = &work{ended: map[domain.InstanceID]end{}, served: r.served.at(o.Digest), updated: now}
		r.works[o.Digest] = w
		r.evict(now, o.Digest)
	}
	if !o.At.After(w.served) {
		w.cleared.add(o.Target, o.At)
	}
	if w.cleared.has(o.Target) {
		w.updated = now // the box that sent the end does not know that the work was served since
		return Unchanged
	}
	if _, counted := w.ended[o.Target]; counted || !w.makeRoom(o.At) {
		return Unchanged
	}
	w.ended[o.Target], w.updated = end{at: o.At}, now
	r.recent.add(o.Target, o.At, o.Digest.IsPart())
	r.version++
	if now.Before(r.term(o.Digest).until) {
		return Quarantined
	}
	return Updated
}

// observeServed records that the work was served, which shows that it does not crash its targets.
func (r *Register) observeServed(now time.Time, o Observation) Change {
	w, known := r.works[o.Digest]
	switch {
	case !known:
		r.served.add(o.Digest, o.At)
		return Unchanged
	case !o.At.After(w.served):
		return Unchanged
	}
	quarantined, echo := now.Before(r.term(o.Digest).until), isEcho(w.served, o.At)
	w.served = o.At
	r.version++
	if !w.clear(o.At) && echo {
		return Unchanged
	}
	w.updated = now
	if quarantined && !now.Before(r.term(o.Digest).until) {
		return Released
	}
	return Updated
}

// isEcho reports whether two times that boxes report are probably of one event. Messages state ages, so that
// the time of an event becomes later with each box that sends it on; boxes that took that for another event
// would send it to each other for ever.
func isEcho(known, reported time.Time) bool { return reported.Sub(known) <= echoWindow }

// EndedTargets returns the number of targets known to have ended under the work.
func (r *Register) EndedTargets(d call.Digest) int {
	if w, known := r.works[d]; known {
		return len(w.ended)
	}
	return 0
}

// QuarantinedUntil reports whether the work is in quarantine, and until when.
func (r *Register) QuarantinedUntil(now time.Time, d call.Digest) (until time.Time, quarantined bool) {
	until = r.term(d).until
	return until, now.Before(until)
}

// Observations returns all observations of targets that ended under the work, oldest first.
func (r *Register) Observations(d call.Digest) []Observation {
	w, known := r.works[d]
	if !known {
		return nil
	}
	var list []Observation
	for id, e := range w.ended {
		list = append(list, Observation{Digest: d, Target: id, At: e.at})
	}
	slices.SortFunc(list, func(x, y Observation) int { return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Target, y.Target)) })
	return list
}

// ToPersist returns the works of which the store is to hold a record, sorted: those in quarantine,
// and those whose quarantine is over but still counts for the next one.
func (r *Register) ToPersist(now time.Time) []call.Digest {
	var list []call.Digest
	for d := range r.works {
		if t := r.term(d); !t.until.IsZero() && now.Sub(t.until) <= retention {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// Latest returns the observations to send to other boxes: those of recently updated works and, if
// all is set, those of all works in quarantine, for boxes that were isolated meanwhile. Those of works under which several
// targets ended come first, then those of parts of prompts, which the requests of many callers may share, and the latest
// first.
func (r *Register) Latest(now time.Time, all bool) []Observation {
	list := slices.SortedFunc(r.due(now, all), dueObservation.compare)
	var latest []Observation
	for _, o := range list[:min(maxReported, len(list))] {
		latest = append(latest, o.Observation)
	}
	return latest
}

// LeftOut returns how many observations Latest leaves out, since a message has no room for them.
func (r *Register) LeftOut(now time.Time, all bool) int {
	n := 0
	for range r.due(now, all) {
		n++
	}
	return max(n-maxReported, 0)
}

// dueObservation is an observation to send to other boxes; those of lower ranks come first.
type dueObservation struct {
	Observation
	rank int
}

// compare orders observations as they are sent.
func (o dueObservation) compare(other dueObservation) int {
	if o.rank != other.rank {
		return cmp.Compare(o.rank, other.rank)
	}
	if later := other.At.Compare(o.At); later != 0 {
		return later
	}
	return cmp.Or(cmp.Compare(o.Digest, other.Digest), cmp.Compare(o.Target, other.Target))
}

// due yields the observations to send to other boxes, in no order.
func (r *Register) due(now time.Time, all bool) iter.Seq[dueObservation] {
	return func(yield func(dueObservation) bool) {
		for d, w := range r.works {
			fresh := now.Sub(w.updated) < reportFor
			if !fresh && (!all || !now.Before(r.term(d).until)) {
				continue
			}
			rank := w.rank(d)
			for id, e := range w.ended {
				if !yield(dueObservation{Observation{Digest: d, Target: id, At: e.at}, rank}) {
					return
				}
			}
			if fresh && !w.served.IsZero() && !yield(dueObservation{Observation{Digest: d, At: w.served}, rank}) {
				return
			}
		}
	}
}

// rank orders the digests whose observations are due.
func (w *work) rank(d call.Digest) int {
	switch {
	case len(w.ended) >= minEnded:
		return 0
	case d.IsPart():
		return 1
	default:
		return 2
	}
}

// InQuarantine returns the works in quarantine, sorted.
func (r *Register) InQuarantine(now time.Time) []call.Digest {
	var list []call.Digest
	for d := range r.works {
		if now.Before(r.term(d).until) {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// evict drops works without an update during the retention period and, where there are still too
// many, those of the fewest ended targets and the oldest update. Those in quarantine come last, and added, which is
// new, stays.
func (r *Register) evict(now time.Time, added call.Digest) {
	for d, w := range r.works {
		if d != added && now.Sub(w.updated) > retention && now.Sub(r.term(d).until) > retention {
			delete(r.works, d)
		}
	}
	for len(r.works) > maxWorks {
		first, found := r.firstToEvict(now, added, func(w *work) bool { return len(w.ended) < minEnded })
		if !found {
			first, _ = r.firstToEvict(now, added, func(*work) bool { return true })
		}
		delete(r.works, first)
	}
}

// firstToEvict returns the work other than added that is evicted first of those that match.
func (r *Register) firstToEvict(now time.Time, added call.Digest, match func(*work) bool) (first call.Digest, found bool) {
	for d, w := range r.works {
		if d != added && match(w) && (!found || r.evictsBefore(now, d, first)) {
			first, found = d, true
		}
	}
	return first, found
}

// evictsBefore reports whether x is evicted before y.
func (r *Register) evictsBefore(now time.Time, x, y call.Digest) bool {
	a, b := r.works[x], r.works[y]
	aHeld, bHeld := now.Before(r.term(x).until), now.Before(r.term(y).until)
	switch {
	case aHeld != bHeld:
		return bHeld
	case aHeld:
		return r.term(x).until.Before(r.term(y).until)
	case len(a.ended) != len(b.ended):
		return len(a.ended) < len(b.ended)
	default:
		return a.updated.Before(b.updated)
	}
}
