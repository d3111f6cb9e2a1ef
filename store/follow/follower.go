package follow

import (
	"errors"
	"math/rand/v2"
	"time"

	"clovertrail.dev/store"
)

// Timing holds the times of a Follower.
type Timing struct {
	// Wait is how long a watch of a box that is alone waits for a change. A watch that
	// the store has silently dropped goes unnoticed for so long.
	Wait time.Duration
	// MaxWait bounds the wait of a box among many.
	MaxWait time.Duration
	// MinBackoff is the pause after a first failure; each further one doubles it, up
	// to MaxBackoff. Each pause is spread by half of itself either way.
	MinBackoff, MaxBackoff time.Duration
	// MaxStartDelay bounds the pause of a box that starts before it lists, drawn by chance: where
	// others tell it meanwhile what they know, it need not ask the store at all.
	MaxStartDelay time.Duration
	// RelistDelay is how long after the store was restored the kind is listed once more: what the
	// copy had and nobody wrote again has lapsed by then. Zero for never.
	RelistDelay time.Duration
	// ChangePause is the pause after a watch that brought changes: more of them often follow,
	// and each would end the watches of all boxes.
	ChangePause time.Duration
}

// Command is what the owner of a Follower does next. The set is closed: List,
// Watch and Rest.
type Command interface{ command() }

// List asks to list the kind.
type List struct{}

// Watch asks for the changes since a position.
type Watch struct {
	Since store.Position
	Wait  time.Duration
}

// Sleep asks to do nothing until the time.
type Sleep struct{ Until time.Time }

func (List) command()  {}
func (Watch) command() {}
func (Sleep) command() {}

// Follower is the machine. It is not safe for concurrent use.
type Follower struct {
	pace      Timing
	rand      *rand.Rand
	boxes     int  // that notify each other what they learn, this one included
	place     int  // of this one among them
	spread    bool // the next watch begins as those of the other boxes do
	begun     bool // the first pause is set
	delegated bool // another box follows the store for this one
	listed    bool
	// lostHistory: the store no longer knows what came after what is known here, so that
	// only a listing helps.
	lostHistory bool
	// relisted: the kind was listed for a lost history, and no watch was answered since.
	relisted bool
	at       store.Position
	learned  store.Era // the latest era of the store that this box has learned of
	settleAt time.Time // when the kind is to be listed once more; zero for never
	failures int
	restTo   time.Time
	goodAt   time.Time // of the last success
	lostAt   time.Time // of the first failure since; zero while all is well
}

// New returns a follower that has seen nothing.
func New(p Timing, rnd *rand.Rand) *Follower { return &Follower{pace: p, rand: rnd, boxes: 1} }

// Position is the position up to which the kind is known.
func (f *Follower) Position() store.Position { return f.at }

// LastSuccess is when the store last answered; zero for never.
func (f *Follower) LastSuccess() time.Time { return f.goodAt }

// FailingSince is when the store stopped answering; zero while it answers.
func (f *Follower) FailingSince() time.Time { return f.lostAt }

// Next reports what to do.
func (f *Follower) Next(now time.Time) Command {
	if !f.begun {
		f.begun = true
		if first := now.Add(f.chance(f.pace.MaxStartDelay)); first.After(f.restTo) {
			f.restTo = first
		}
	}
	switch {
	case !f.settleAt.IsZero() && !now.Before(f.settleAt) && !now.Before(f.restTo):
		return List{}
	case f.delegated:
		return Sleep{Until: now.Add(delegatedCheck)}
	case now.Before(f.restTo):
		return Sleep{Until: f.restTo}
	case !f.listed:
		return List{}
	default:
		w := Watch{Since: f.at, Wait: f.wait()}
		if !f.settleAt.IsZero() {
			w.Wait = min(w.Wait, f.settleAt.Sub(now))
		}
		f.spread = false
		return w
	}
}

// delegatedCheck is the pause between two looks whether another box still follows the store for
// this one: short against the seconds in which a configuration is to be in force.
const delegatedCheck = 250 * time.Millisecond

// SetDelegated sets whether another box follows the store for this one now. A hundred boxes that
// all watch end a hundred calls with each change; where a few watch for the others it is
// those few. Once none does it goes on by itself from what it knows.
func (f *Follower) SetDelegated(by bool) {
	if f.delegated && !by {
		f.spread = true
	}
	f.delegated = by
}

// chance draws a time up to the bound.
func (f *Follower) chance(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(bound) + 1))
}

// SetPeers sets how many boxes notify each other what they learn, and the place of this
// one in their order, from 0.
func (f *Follower) SetPeers(boxes, place int) {
	f.boxes = max(boxes, 1)
	f.place = min(max(place, 0), f.boxes-1)
}

// sharers is how many boxes' watches stand in for one of a box that is alone: a few,
// since some of the boxes may be cut off from the others.
const sharers = 4

// WaitFor is how long a watch of one of so many boxes waits at the most. It grows
// with their number, so that all together ask the store equally often however many they
// are: one of them notices a dropped watch and notifies the others.
func (p Timing) WaitFor(boxes int) time.Duration {
	w := p.Wait * time.Duration(boxes) / sharers
	return min(max(w, p.Wait), max(p.MaxWait, p.Wait))
}

// wait spreads the ends of the watches of many boxes evenly. A change ends all of them
// at once, so the first wait after it is for as long as the box's place says.
func (f *Follower) wait() time.Duration {
	w := f.pace.WaitFor(f.boxes)
	step := w / time.Duration(f.boxes)
	chance := time.Duration(f.rand.Int64N(int64(step)/2 + 1))
	if f.spread && f.boxes > sharers {
		return step*time.Duration(f.slot()) + step/2 + chance
	}
	return w - chance
}

// slot is the box's turn among all: neighbours in the order of names, which often stand
// in one data hall and are cut off together, come far from each other.
func (f *Follower) slot() int {
	const golden = 0.618 // of a round: the steps that leave the evenest gaps
	stride := max(1, int(golden*float64(f.boxes)))
	for gcd(stride, f.boxes) != 1 {
		stride++
	}
	return f.place * stride % f.boxes
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Listed takes the end of a List.
func (f *Follower) Listed(now time.Time, at store.Position, err error) {
	if err != nil {
		f.failed(now)
		return
	}
	f.relisted = f.lostHistory
	f.listed, f.lostHistory = true, false
	if !now.Before(f.settleAt) {
		f.settleAt = time.Time{}
	}
	f.advance(now, at)
	f.spread = true
	pauses := f.failures
	f.answered(now)
	if f.relisted {
		f.failures = pauses // a watch from there may be refused again
	}
}

// Watched takes the end of a Watch. The result reports whether its changes follow what is known.
// In a later era they do not, even if the store has the revision: what it lost and what it was
// given since then are missing.
func (f *Follower) Watched(now time.Time, at store.Position, err error) bool {
	lost := errors.Is(err, store.ErrHistoryLost)
	switch {
	case err != nil && !lost:
		f.failed(now)
		return false
	case lost || at.Era() > f.at.Era():
		f.loseHistory(now)
		return false
	default:
		f.at, f.relisted = store.Later(f.at, at), false
		f.answered(now)
		return true
	}
}

// loseHistory has the kind listed anew, at once unless it was only just listed for that: a store
// that has no history of what it listed a moment ago is in trouble.
func (f *Follower) loseHistory(now time.Time) {
	f.listed, f.lostHistory = false, true
	if f.relisted {
		f.pause(now)
	} else {
		f.failures = 0
	}
	f.goodAt, f.lostAt = now, time.Time{}
}

// ObserveEra takes the latest era of the store that this box has learned of. In a later era than
// the one up to which the kind is known, it is listed anew; once for each era, since other boxes
// may report one that the store itself does not state.
func (f *Follower) ObserveEra(era store.Era) {
	if era <= f.learned {
		return
	}
	f.learned = era
	if f.listed && era > f.at.Era() {
		f.listed, f.lostHistory = false, true
	}
}

// Changed records that the watch that ended brought changes.
func (f *Follower) Changed(now time.Time) {
	f.spread = true
	f.restTo = now.Add(f.pace.ChangePause)
}

// CaughtUpFromPeers records that peers gave all that the store held at the position; zero if none did. It
// does not replace the history that the store lost within an era.
func (f *Follower) CaughtUpFromPeers(now time.Time, at store.Position) {
	if !at.IsZero() && (!f.lostHistory || at.Era() > f.at.Era()) {
		f.listed, f.lostHistory = true, false
		f.advance(now, at)
	}
}

// advance takes that the kind is known up to the position.
func (f *Follower) advance(now time.Time, at store.Position) {
	if !f.at.IsZero() && at.Era() > f.at.Era() && f.pace.RelistDelay > 0 {
		f.settleAt = now.Add(f.pace.RelistDelay)
	}
	f.at = store.Later(f.at, at)
}

func (f *Follower) answered(now time.Time) {
	f.failures = 0
	f.goodAt, f.lostAt = now, time.Time{}
}

func (f *Follower) failed(now time.Time) {
	if f.lostAt.IsZero() {
		f.lostAt = now
	}
	f.pause(now)
}

// pause rests before the next call, longer after each failure.
func (f *Follower) pause(now time.Time) {
	f.spread = true
	pause := min(f.pace.MinBackoff<<min(f.failures, 16), f.pace.MaxBackoff)
	f.failures++
	f.restTo = now.Add(pause/2 + time.Duration(f.rand.Int64N(int64(pause)+1)))
}
