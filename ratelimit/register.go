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
	// permitFor is how long a permit may be kept before it is used: a little longer than boxes
	// take to hear that a limit has changed, so that what all of them keep adds little.
	permitFor = 500 * time.Millisecond
	// newsFor is for how long a box notifies others that a limit was named, changed or ended: a few
	// rounds, of which the first comes at once. Each box that learns of it does the same.
	newsFor = 3 * time.Second
	// endedFor is for how long it is remembered that a limit has ended, so that older news of it
	// does not bring it back.
	endedFor = time.Minute
	// sameWithin is by which part a limit may change and count as the same: boxes do not tell each
	// other of less, and permits and turns hold on.
	sameWithin = 0.1
)

// same reports that two rates are nearly the same.
func same(a, b float64) bool { return math.Abs(a-b) <= sameWithin*max(a, b) }

// Report is what a target said of its limit at a time.
type Report struct {
	Target domain.InstanceID
	Limit  call.Limit // call.Limited or call.Unlimited
	At     time.Time
}

// Register is what a box knows of limits. It is not safe for concurrent use.
type Register struct {
	rand    *rand.Rand
	entries map[domain.InstanceID]*entry
}

// entry is what is known of one target, whose start the id names.
type entry struct {
	limit     call.Limit
	at        time.Time // the target reported it last
	changedAt time.Time // this box learned that it is another than before

	permits int       // that may be used
	until   time.Time // for how long
	turn    time.Time // before which this box gets none
}

// NewRegister returns a register that knows no limit.
func NewRegister(rnd *rand.Rand) *Register {
	return &Register{rand: rnd, entries: map[domain.InstanceID]*entry{}}
}

// RecordAnswer takes what a target said with its answer to a request that was sent at the time, and tells
// whether that was news. Answers overtake each other, so that one without a limit ends it only if
// it is to a request sent after the limit was named last.
func (r *Register) RecordAnswer(now time.Time, id domain.InstanceID, l call.Limit, sent time.Time) bool {
	switch l.(type) {
	case call.Limited:
		return r.Update(now, Report{Target: id, Limit: l, At: now})
	case call.Unlimited:
		e, ok := r.entries[id]
		return ok && sent.After(e.at) && r.Update(now, Report{Target: id, Limit: l, At: now})
	default:
		return false
	}
}

// Update takes a report, of this box or another, and reports whether the target has another limit now.
// The newest word counts, in whatever order they come.
func (r *Register) Update(now time.Time, w Report) bool {
	e, ok := r.entries[w.Target]
	if w.Limit == nil || ok && !w.At.After(e.at) {
		return false
	}
	if !ok {
		e = &entry{limit: call.Unlimited{}, changedAt: now}
		r.entries[w.Target] = e
	}
	if sameLimit(e.limit, w.Limit) {
		e.limit, e.at = w.Limit, w.At
		return false
	}
	*e = entry{limit: w.Limit, at: w.At, changedAt: now} // permits and turns went by the limit before
	return true
}

func sameLimit(a, b call.Limit) bool {
	x, limited := a.(call.Limited)
	y, too := b.(call.Limited)
	if limited && too {
		return same(x.PerSecond, y.PerSecond)
	}
	return a == b
}

// Limit is how many requests a second the target takes; false if it names no limit.
func (r *Register) Limit(id domain.InstanceID) (perSecond float64, limited bool) {
	e, ok := r.entries[id]
	if !ok {
		return 0, false
	}
	l, limited := e.limit.(call.Limited)
	return l.PerSecond, limited
}

// Report is the newest news of the target; false if it never named a limit.
func (r *Register) Report(id domain.InstanceID) (Report, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Report{}, false
	}
	return Report{Target: id, Limit: e.limit, At: e.at}, true
}

// Unlimited reports that the target may be sent work without a permit.
func (r *Register) Unlimited(id domain.InstanceID) bool {
	_, limited := r.Limit(id)
	return !limited
}

// HasPermit reports whether there is a permit for the target.
func (r *Register) HasPermit(now time.Time, id domain.InstanceID) bool {
	e, ok := r.entries[id]
	return ok && e.permits > 0 && now.Before(e.until)
}

// UsePermit uses a permit for the target, if there is one.
func (r *Register) UsePermit(now time.Time, id domain.InstanceID) bool {
	if !r.HasPermit(now, id) {
		return false
	}
	r.entries[id].permits--
	return true
}

// MaySend reports whether a request that was to be sent to the target at the time, with a permit or
// while it named no limit, may still be sent. If it needs another permit and there is one, it uses
// that.
func (r *Register) MaySend(now time.Time, id domain.InstanceID, permitted bool, at time.Time) bool {
	return permitted && !PermitExpired(now, at) || r.Unlimited(id) || r.UsePermit(now, id)
}

// PermitExpired reports that a permit that was asked for at the time may not be used any more, as where the
// box stood still meanwhile.
func PermitExpired(now, asked time.Time) bool { return now.Sub(asked) >= permitFor }

// TurnDue reports whether it is this box's turn to ask for permits for the target.
func (r *Register) TurnDue(now time.Time, id domain.InstanceID) bool { return !now.Before(r.Turn(id)) }

// Turn is when this box may get a permit for the target; zero if nothing is known against now.
func (r *Register) Turn(id domain.InstanceID) time.Time {
	e, ok := r.entries[id]
	if !ok {
		return time.Time{}
	}
	return e.turn
}

// AddPermits takes permits that were asked for at the time.
func (r *Register) AddPermits(asked time.Time, id domain.InstanceID, permits int) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !asked.Before(e.until) {
		e.permits = 0
	}
	e.permits += permits
	e.until, e.turn = asked.Add(permitFor), time.Time{}
}

// SetTurn takes that there is no permit for this box before its turn.
func (r *Register) SetTurn(id domain.InstanceID, turn time.Time) {
	if e, ok := r.entries[id]; ok {
		e.turn = turn
	}
}

// ReportsForPeers are reports for other boxes: those that are news, and so many of the others by chance.
func (r *Register) ReportsForPeers(now time.Time, others int) []Report {
	var news, rest []Report
	for id, e := range r.entries {
		w := Report{Target: id, Limit: e.limit, At: e.at}
		if now.Sub(e.changedAt) < newsFor {
			news = append(news, w)
		} else {
			rest = append(rest, w)
		}
	}
	slices.SortFunc(rest, func(a, b Report) int { return cmp.Compare(a.Target, b.Target) })
	r.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(news, rest[:min(len(rest), others)]...)
}

// HasLimits reports whether any target names a limit, or did until lately.
func (r *Register) HasLimits() bool { return len(r.entries) > 0 }

// Forget drops limits that have long ended, and those of targets that are not in keep.
func (r *Register) Forget(now time.Time, keep func(domain.InstanceID) bool) {
	for id, e := range r.entries {
		if !keep(id) || r.Unlimited(id) && now.Sub(e.changedAt) > endedFor {
			delete(r.entries, id)
		}
	}
}
