package quarantine

import (
	"slices"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

// maxEnds is the maximum number of ends of targets that are remembered of one work. A rack that loses power may end
// that many under a part that nearly all prompts share.
const maxEnds = 64

// term is the quarantine of a work.
type term struct {
	last  time.Time // when the last target ended under the work; the quarantine begins with it
	until time.Time // zero for none
}

// term returns the quarantine of the work, also if it is over; zero for none.
func (r *Register) term(d call.Digest) term {
	w, known := r.works[d]
	if !known || len(w.ended) < minEnded {
		return term{}
	}
	if w.judgedAt != r.version {
		r.recent.mark(w)
		w.term, w.judgedAt = w.judge(), r.version
	}
	return w.term
}

// judge returns the quarantine that follows from the ends of targets under the work.
func (w *work) judge() term {
	last, need := w.required()
	n := w.evidence()
	if n < need {
		return term{}
	}
	return term{last: last, until: last.Add(duration(n - need))}
}

// makeRoom drops the oldest end if the work has the maximum number of them. It returns false if the end at the given
// time is not to be added: it may then be a dropped one that another box reports.
func (w *work) makeRoom(at time.Time) bool {
	if len(w.ended) < maxEnds {
		return true
	}
	var oldest domain.InstanceID
	for id, e := range w.ended {
		if isEcho(e.at, at) {
			return false
		}
		if oldest == "" || e.at.Before(w.ended[oldest].at) {
			oldest = id
		}
	}
	delete(w.ended, oldest)
	return true
}

// required returns when the last target ended under the work, and how many must have ended for a quarantine.
func (w *work) required() (last time.Time, need int) {
	alone := 0 // targets that ended without others
	for _, e := range w.ended {
		if e.at.After(last) {
			last = e.at
		}
		if !e.common {
			alone++
		}
	}
	if alone < minEnded || !w.served.IsZero() && last.Sub(w.served) < servedWindow {
		return last, minEndedWeak
	}
	return last, minEnded
}

// evidence counts the ends that suggest that the work ends its targets. Weak ends within commonWindow of each other count
// once: a request that is retried while a rack loses power meets several targets that end.
func (w *work) evidence() int {
	var weak []time.Time
	for _, e := range w.ended {
		if e.weak() {
			weak = append(weak, e.at)
		}
	}
	count := len(w.ended) - len(weak)
	slices.SortFunc(weak, time.Time.Compare)
	var first time.Time // of the ends that count once
	for _, at := range weak {
		if first.IsZero() || at.Sub(first) > commonWindow {
			first = at
			count++
		}
	}
	return count
}

// duration returns the duration of a quarantine; further is the number of ended targets in excess of
// those needed for the first quarantine.
func duration(further int) time.Duration {
	t := firstTerm
	for range further {
		if t = min(t*termFactor, maxTerm); t == maxTerm {
			break
		}
	}
	return t
}
