package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

// A trial lets one request of a work in quarantine through to one target, as a circuit breaker does in its
// half-open state. Two rules keep trials of different boxes apart. Boxes take turns, in an order that each
// of them computes from the names of the boxes that it reaches: this holds before any message has arrived.
// And the box that tries reports a claim to the others, which do not try while it lasts: this holds for
// trials that outlast a turn.

const (
	// trialShare is the divisor of a quarantine's duration after which its work may be tried. Work that does
	// crash its targets then ends four more of them in a day, where waiting for the end of each quarantine
	// costs three; after a quarter of the duration it would end five. Half of the first quarantine is a
	// minute, in which the last target or its group is back and all boxes know of its end.
	trialShare = 2
	// trialTurn is the time from the turn of one box to that of the next. A trial begins in the first half, so
	// that its claim has reached the next box by that box's turn.
	trialTurn = 2 * reportFor
	// claimFor is how long after the last report of a trial no other box tries the work. A target that ends
	// after the caller of the trial left is found after 1.5 s and reported for reportFor.
	claimFor = 2 * trialTurn
	// maxCompanions is the number of works that are remembered to be in quarantine together with one.
	maxCompanions = 4
)

// Fleet describes the entry boxes as one of them sees them.
type Fleet struct {
	Self domain.BoxID
	// Reached are the boxes that have lately reported themselves and are not leaving, Self included. It is
	// empty if this box has just started or is leaving.
	Reached []domain.BoxID
	// Known is the number of boxes that are not forgotten yet, whether or not they are reached.
	Known int
}

// Claim states that a box tried the work After the last target that ended under it. All boxes know that
// moment, so that a claim does not become later with each box that sends it on, as an age would.
type Claim struct {
	Digest call.Digest
	After  time.Duration
}

// trial holds what is known about trials of a work.
type trial struct {
	running   bool      // a request of this box tries the work
	claimedAt time.Time // time of the latest report of a trial by any box
	boxes     int       // most boxes that were known as the work's targets ended
}

// claim returns the time of the latest report of a trial. A trial that this box runs is reported anew each
// time, since it may take longer than claimFor.
func (t trial) claim(now time.Time) time.Time {
	if t.running {
		return now
	}
	return t.claimedAt
}

// trialFrom returns the time from which a work in this quarantine may be tried.
func (t term) trialFrom() time.Time { return t.last.Add(t.until.Sub(t.last) / trialShare) }

// TrialFrom returns the time from which one request of the work may be sent as a trial; false if the work
// is not in quarantine.
func (r *Register) TrialFrom(now time.Time, d call.Digest) (from time.Time, quarantined bool) {
	t := r.term(d)
	if !now.Before(t.until) {
		return time.Time{}, false
	}
	if r.hasCompanion(now, d) {
		return t.last, true
	}
	return t.trialFrom(), true
}

// hasCompanion reports whether the work may be in quarantine only because it comes together with another one that is:
// the same targets ended under both. A request of this work alone then tells which of them is to blame, so that the
// trial waits neither for its time nor for the turn of a box that may never be asked.
func (r *Register) hasCompanion(now time.Time, d call.Digest) bool {
	w, known := r.works[d]
	return known && slices.ContainsFunc(w.companions, func(x call.Digest) bool { return now.Before(r.term(x).until) })
}

// noteCompanions records that a request came whose work has these digests, which are all in quarantine.
func (r *Register) noteCompanions(list []call.Digest) {
	for _, d := range list {
		w := r.works[d]
		for _, x := range list {
			if x != d && len(w.companions) < maxCompanions && !slices.Contains(w.companions, x) {
				w.companions = append(w.companions, x)
			}
		}
	}
}

// TrialDue reports whether the work is in quarantine, may be tried, and no box is known to try it.
func (r *Register) TrialDue(now time.Time, d call.Digest) bool {
	from, quarantined := r.TrialFrom(now, d)
	return quarantined && !now.Before(from) && now.Sub(r.works[d].trial.claim(now)) >= claimFor
}

// BeginTrial reports whether this box may send one request of the work to one target now. If so, the box
// calls EndTrial after the request.
func (r *Register) BeginTrial(now time.Time, d call.Digest, f Fleet) bool {
	if !r.TrialDue(now, d) {
		return false
	}
	w := r.works[d]
	if !f.isMajority(w.trial.boxes) || !r.hasCompanion(now, d) && !f.hasTurn(d, now.Sub(r.term(d).trialFrom())) {
		return false
	}
	w.trial.running = true
	return true
}

// hasTurn reports whether this box may begin a trial of the work, the given time after it came due.
func (f Fleet) hasTurn(d call.Digest, since time.Duration) bool {
	return since%trialTurn < trialTurn/2 && f.owner(d, since/trialTurn) == f.Self
}

// EndTrial records that the request that was tried has ended, with or without a result. ran is false if it cannot
// have run, so that the work may be tried again at once. EndTrial returns false if this box did not try the work.
func (r *Register) EndTrial(now time.Time, d call.Digest, ran bool) bool {
	w, known := r.works[d]
	if !known || !w.trial.running {
		return false
	}
	w.trial.running = false
	if ran {
		w.trial.claimedAt = now
	}
	return true
}

// NoteBoxes records how many boxes were known as a target ended under the work. A part of the fleet that is
// cut off forgets the other boxes before a trial is due.
func (r *Register) NoteBoxes(d call.Digest, known int) {
	if w, ok := r.works[d]; ok {
		w.trial.boxes = max(w.trial.boxes, known)
	}
}

// ObserveClaim records that another box tries the work, and reports whether that was not known.
func (r *Register) ObserveClaim(now time.Time, c Claim) bool {
	w, known := r.works[c.Digest]
	if !known {
		return false
	}
	at := w.lastEnded().Add(c.After)
	if at.Sub(now) > maxClockDifference || !at.After(w.trial.claimedAt) {
		return false
	}
	lapsed := at.Sub(w.trial.claimedAt) >= claimFor
	w.trial.claimedAt = at
	return lapsed
}

// Claims returns the claims to send to other boxes: those of this box and the recent ones of others.
func (r *Register) Claims(now time.Time) []Claim {
	var list []Claim
	for d, w := range r.works {
		if at := w.trial.claim(now); now.Sub(at) < reportFor {
			list = append(list, Claim{Digest: d, After: at.Sub(w.lastEnded())})
		}
	}
	slices.SortFunc(list, func(x, y Claim) int { return cmp.Or(cmp.Compare(x.After, y.After), cmp.Compare(x.Digest, y.Digest)) })
	return list[:min(maxReported, len(list))]
}

// lastEnded returns when the last target ended under the work; zero for none.
func (w *work) lastEnded() time.Time {
	last, _ := w.required()
	return last
}

// isMajority reports whether more than half of all boxes are reached, so that of the parts of a fleet that
// are cut from each other at most one tries work. boxes is how many were known before.
func (f Fleet) isMajority(boxes int) bool { return 2*len(f.Reached) > max(f.Known, boxes) }

// owner returns the box whose turn it is to try the work: of those reached the one with the highest hash of
// work, turn and box (rendezvous hashing). Boxes that do not agree on all others agree on most turns.
func (f Fleet) owner(d call.Digest, turn time.Duration) domain.BoxID {
	key := string(d) + "\x00" + strconv.FormatInt(int64(turn), 10) + "\x00"
	var first domain.BoxID
	var best uint64
	for _, box := range f.Reached {
		if score := xxhash.Sum64String(key + string(box)); first == "" || score > best || score == best && box > first {
			first, best = box, score
		}
	}
	return first
}
