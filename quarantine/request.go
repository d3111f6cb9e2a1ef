package quarantine

import (
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
	return !slices.ContainsFunc(w.Parts(), func(d call.Digest) bool {
		if x, suspected := r.works[d]; suspected {
			return x.served.IsZero() || len(x.ended) > 0
		}
		return r.served.at(d).IsZero()
	})
}

// EndsUnder returns the observations that the target ended now while it had the work.
func EndsUnder(now time.Time, w call.Work, id domain.InstanceID) []Observation {
	var list []Observation
	for _, d := range w.Digests() {
		list = append(list, Observation{Digest: d, Target: id, At: now})
	}
	return list
}

// ServedBy returns the observations that the work was served now.
func ServedBy(now time.Time, w call.Work) []Observation { return EndsUnder(now, w, "") }

// PartsServedBy returns the observations that a response to a prompt of these parts has gone on.
func PartsServedBy(now time.Time, w call.Work) []Observation { return ServedBy(now, w)[1:] }
