package ratelimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

const (
	// permitLifetime is how long a permit may be stored before it is used: a little longer than boxes
	// take to receive a changed limit, so that the permits stored by all of them add little load.
	permitLifetime = 500 * time.Millisecond
	// changeReported is how long a box includes a new, changed or ended limit in its reports to other
	// boxes: a few rounds, the first of which is sent immediately. Each box that receives the change
	// does the same.
	changeReported = 3 * time.Second
	// endedRetention is how long the end of a limit is stored, so that older reports of the limit do not
	// restore it.
	endedRetention = time.Minute
	// rateTolerance is the relative difference up to which two limits count as equal: boxes do not
	// notify each other of smaller changes, and permits and turns remain valid.
	rateTolerance = 0.1
)

// sameRate reports whether two rates are equal within rateTolerance.
func sameRate(a, b float64) bool { return math.Abs(a-b) <= rateTolerance*max(a, b) }

// Report is the limit that a target reported at a time.
type Report struct {
	Target domain.InstanceID
	Limit  call.Limit // call.Limited or call.Unlimited
	At     time.Time
}

// Register holds the limits, permits and turns that a box has. It is not safe for concurrent use.
type Register struct {
	rand    *rand.Rand
	entries map[domain.InstanceID]*entry
}

// entry is the state of one target. A restarted target has another id.
type entry struct {
	limit      call.Limit
	reportedAt time.Time // when the target last reported the limit
	changedAt  time.Time // when this box received a limit that differs from the previous limit

	coldUntil time.Time // until when the target is cold; zero if it was not
	coldRate  float64   // requests a second that the target takes while it is cold

	permits      int       // unused permits
	permitsUntil time.Time // when the permits expire
	turn         time.Time // time before which this box gets no permits
	turnBy       Assigner  // assigner of the turn
}

// NewRegister returns a register without limits.
func NewRegister(rnd *rand.Rand) *Register {
	return &Register{rand: rnd, entries: map[domain.InstanceID]*entry{}}
}

// RecordAnswer records the limit that a target reported with its answer to a request sent at the time
// sent, and returns whether the limit changed. Answers can overtake each other: an answer without a limit
// ends the limit only if its request was sent after the limit was last reported.
func (r *Register) RecordAnswer(now time.Time, id domain.InstanceID, l call.Limit, sent time.Time) bool {
	switch l.(type) {
	case call.Limited:
		return r.Update(now, Report{Target: id, Limit: l, At: now})
	case call.Unlimited:
		e, ok := r.entries[id]
		named := ok && !e.reportedAt.IsZero()
		return named && sent.After(e.reportedAt) && r.Update(now, Report{Target: id, Limit: l, At: now})
	default:
		return false
	}
}

// Update records a report of this box or another, and returns whether the limit of the target changed.
// The newest report counts, in whatever order reports arrive.
func (r *Register) Update(now time.Time, w Report) bool {
	e, ok := r.entries[w.Target]
	if w.Limit == nil || ok && !w.At.After(e.reportedAt) {
		return false
	}
	if !ok {
		e = newEntry()
		r.entries[w.Target] = e
	}
	if sameLimit(e.limit, w.Limit) {
		e.limit, e.reportedAt = w.Limit, w.At
		return false
	}
	// Permits and turns were based on the previous limit.
	*e = entry{limit: w.Limit, reportedAt: w.At, changedAt: now, coldUntil: e.coldUntil, coldRate: e.coldRate}
	return true
}

// newEntry returns the entry of a target that has named no limit.
func newEntry() *entry { return &entry{limit: call.Unlimited{}} }

// sameLimit reports whether two limits are equal within rateTolerance.
func sameLimit(a, b call.Limit) bool {
	x, limited := a.(call.Limited)
	y, alsoLimited := b.(call.Limited)
	if limited && alsoLimited {
		return sameRate(x.PerSecond, y.PerSecond)
	}
	return a == b
}

// Limit returns how many requests a second the target takes; false if it has no limit.
func (r *Register) Limit(id domain.InstanceID) (perSecond float64, limited bool) {
	e, ok := r.entries[id]
	if !ok {
		return 0, false
	}
	l, limited := e.limit.(call.Limited)
	return l.PerSecond, limited
}

// Report returns the newest report of the target; false if none is stored.
func (r *Register) Report(id domain.InstanceID) (Report, bool) {
	e, ok := r.entries[id]
	if !ok || e.reportedAt.IsZero() {
		return Report{}, false
	}
	return Report{Target: id, Limit: e.limit, At: e.reportedAt}, true
}

// Unlimited reports whether the target has named no limit. Requests to it need permits nevertheless while
// it is cold (NeedsPermit).
func (r *Register) Unlimited(id domain.InstanceID) bool {
	_, limited := r.Limit(id)
	return !limited
}

// HasPermit reports whether there is a permit for the target.
func (r *Register) HasPermit(now time.Time, id domain.InstanceID) bool {
	e, ok := r.entries[id]
	return ok && e.permits > 0 && now.Before(e.permitsUntil)
}

// UsePermit uses a permit for the target, and returns false if there is none.
func (r *Register) UsePermit(now time.Time, id domain.InstanceID) bool {
	if !r.HasPermit(now, id) {
		return false
	}
	r.entries[id].permits--
	return true
}

// MaySend reports whether a request may still be sent to the target that was chosen for it at the time
// chosen. permitted states that at that time the request had a permit or the target had no limit. If the
// request now needs a permit and the box has one, MaySend uses it.
func (r *Register) MaySend(now time.Time, id domain.InstanceID, permitted bool, chosen time.Time) bool {
	return permitted && !PermitExpired(now, chosen) || !r.NeedsPermit(now, id) || r.UsePermit(now, id)
}

// PermitExpired reports whether a permit that was requested at requested has expired, for example because
// the box was suspended in the meantime.
func PermitExpired(now, requested time.Time) bool { return now.Sub(requested) >= permitLifetime }

// TurnDue reports whether this box may request permits for the target.
func (r *Register) TurnDue(now time.Time, id domain.InstanceID) bool { return !now.Before(r.Turn(id)) }

// Turn returns the time from which this box may get a permit for the target, and zero if it may get one
// now.
func (r *Register) Turn(id domain.InstanceID) time.Time {
	e, ok := r.entries[id]
	if !ok {
		return time.Time{}
	}
	return e.turn
}

// AddPermits stores permits for the target that were requested at the time requested.
func (r *Register) AddPermits(requested time.Time, id domain.InstanceID, permits int) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !requested.Before(e.permitsUntil) {
		e.permits = 0
	}
	e.permits += permits
	e.permitsUntil, e.turn = requested.Add(permitLifetime), time.Time{}
}

// SetTurn records that by has no permit for this box before the turn.
func (r *Register) SetTurn(by Assigner, t Turn) {
	if e, ok := r.entries[t.Target]; ok {
		e.turn, e.turnBy = t.At, by
	}
}

// ReportsForPeers returns the reports to send to other boxes: all recent changes, and at most others of
// the remaining reports, selected at random.
func (r *Register) ReportsForPeers(now time.Time, others int) []Report {
	var changed, rest []Report
	for id, e := range r.entries {
		if e.reportedAt.IsZero() {
			continue // cold targets are in the list of targets
		}
		w := Report{Target: id, Limit: e.limit, At: e.reportedAt}
		if now.Sub(e.changedAt) < changeReported {
			changed = append(changed, w)
		} else {
			rest = append(rest, w)
		}
	}
	slices.SortFunc(rest, func(a, b Report) int { return cmp.Compare(a.Target, b.Target) })
	r.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(changed, rest[:min(len(rest), others)]...)
}

// HasLimits reports whether any target has a limit or is cold, or was until recently: Forget has not
// dropped it yet.
func (r *Register) HasLimits() bool { return len(r.entries) > 0 }

// Forget drops limits that ended longer than endedRetention ago, and all state of targets that are not in
// keep.
func (r *Register) Forget(now time.Time, keep func(domain.InstanceID) bool) {
	for id, e := range r.entries {
		if !keep(id) || r.Unlimited(id) && !e.cold(now) && now.Sub(e.changedAt) > endedRetention {
			delete(r.entries, id)
		}
	}
}
