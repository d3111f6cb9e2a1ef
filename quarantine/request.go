package quarantine

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

// This file has the decisions about requests. The work of a request is the request as a whole and the parts of its prompt,
// each of which has a digest of its own in the register.

// BarredUntil reports whether a request must not be sent, because its work or a part of its prompt is in quarantine,
// and until when.
func (r *Register) BarredUntil(now time.Time, w call.Work) (until time.Time, barred bool) {
	for _, d := range w.Digests() {
		if end, quarantined := r.QuarantinedUntil(now, d); quarantined && end.After(until) {
			until, barred = end, true
		}
	}
	return until, barred
}

// TrialOf returns the digest that a trial of the request would try: the only one of its work that is in quarantine.
// The end of a target under a request with two would not tell which of them is to blame.
func (r *Register) TrialOf(now time.Time, w call.Work) (d call.Digest, ok bool) {
	var held []call.Digest
	for _, x := range w.Digests() {
		if _, quarantined := r.QuarantinedUntil(now, x); quarantined {
			held = append(held, x)
		}
	}
	if len(held) != 1 {
		r.noteCompanions(held)
		return "", false
	}
	return held[0], true
}

// KnowsParts reports whether targets are known to have served each part of the prompt lately, and none to have ended
// under it since.
func (r *Register) KnowsParts(w call.Work) bool {
	return !slices.ContainsFunc(w.Parts(), func(d call.Digest) bool { return !r.wasServed(d) || r.EndedTargets(d) > 0 })
}

// maxSuspectedParts is the maximum number of parts of one prompt to which the end of a target is attributed. It bounds what the end of
// one target, with its many requests, adds to the register.
const maxSuspectedParts = 16

// EndsUnder returns the observations that the target ended now while it had the work. Of the parts of a long prompt, they are of the
// most suspicious.
func (r *Register) EndsUnder(now time.Time, w call.Work, id domain.InstanceID) []Observation {
	list := []Observation{{Digest: w.Request(), Target: id, At: now}}
	for _, d := range r.suspectedParts(w) {
		list = append(list, Observation{Digest: d, Target: id, At: now})
	}
	return list
}

// suspectedParts returns the parts of the prompt that may have ended a target: first those under which most targets have ended, then
// those that are not known to have been served. Of parts alike in this, each request selects others, so that one that several
// requests share is among them soon.
func (r *Register) suspectedParts(w call.Work) []call.Digest {
	if len(w.Parts()) <= maxSuspectedParts {
		return w.Parts()
	}
	type part struct {
		digest call.Digest
		ends   int
		served bool
		order  uint64
	}
	parts := make([]part, 0, len(w.Parts()))
	for _, d := range w.Parts() {
		h := fnv.New64a()
		_, _ = io.WriteString(h, string(w.Request()+d)) // never fails
		parts = append(parts, part{digest: d, ends: r.EndedTargets(d), served: r.wasServed(d), order: h.Sum64()})
	}
	slices.SortFunc(parts, func(x, y part) int {
		switch {
		case x.ends != y.ends:
			return cmp.Compare(y.ends, x.ends)
		case x.served != y.served && x.served:
			return 1
		case x.served != y.served:
			return -1
		default:
			return cmp.Compare(x.order, y.order)
		}
	})
	var list []call.Digest
	for _, x := range parts[:maxSuspectedParts] {
		list = append(list, x.digest)
	}
	return list
}

// wasServed reports whether a target is known to have served the work lately.
func (r *Register) wasServed(d call.Digest) bool {
	if x, suspected := r.works[d]; suspected {
		return !x.served.IsZero()
	}
	return !r.served.at(d).IsZero()
}

// ServedBy returns the observations that the work was served now.
func ServedBy(now time.Time, w call.Work) []Observation {
	var list []Observation
	for _, d := range w.Digests() {
		list = append(list, Observation{Digest: d, At: now})
	}
	return list
}

// PartsServedBy returns the observations that a response to a prompt of these parts has gone on.
func PartsServedBy(now time.Time, w call.Work) []Observation { return ServedBy(now, w)[1:] }
