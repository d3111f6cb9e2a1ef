package follow

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"clovertrail.dev/store"
)

// Timing configures the waits and pauses of a Follower.
type Timing struct {
	// Wait is how long a watch waits for a change if the box has no peers. A watch that the
	// store has silently dropped goes unnoticed for that long.
	Wait time.Duration
	// MaxWait is the maximum wait of a box with many peers.
	MaxWait time.Duration
	// MinBackoff is the pause after a first failure; each further failure doubles it, up to
	// MaxBackoff. Each pause is jittered by up to half of its length either way.
	MinBackoff, MaxBackoff time.Duration
	// MaxStartDelay is the maximum of the random delay before the first listing of a box that
	// starts: if peers send it their records meanwhile, it need not query the store at all. Most boxes
	// draw a delay near the maximum, so that of any number of boxes only a few query the store first.
	MaxStartDelay time.Duration
	// RelistDelay is how long after a restore of the store the kind is listed once more: entries
	// of the backup that nobody wrote again have lapsed by then. Zero for never.
	RelistDelay time.Duration
	// ChangePause is the pause after a watch that returned changes: further changes often follow,
	// and each would end the watches of all boxes.
	ChangePause time.Duration
}

// Command is the next action of a Follower's owner. The set is closed: List, Watch and Sleep.
type Command interface{ command() }

// List commands to list the kind.
type List struct{}

// Watch commands to watch for changes since a position.
type Watch struct {
	Since store.Position
	Wait  time.Duration
}

// Sleep commands to do nothing until the time.
type Sleep struct{ Until time.Time }

func (List) command()  {}
func (Watch) command() {}
func (Sleep) command() {}

// Follower is the state machine that follows one kind. It is not safe for concurrent use.
type Follower struct {
	timing    Timing
	rand      *rand.Rand
	boxes     int       // number of boxes that notify each other of changes, this one included
	index     int       // position of this box in the order of these boxes, from 0
	stagger   bool      // the next watch starts at the same time as those of other boxes, so its wait must be staggered
	started   bool      // the start delay was drawn
	delegated bool      // another box follows the store for this one
	reliedOn  bool      // other boxes rely on this one to follow the store
	startsAt  time.Time // end of the start delay
	listed    bool      // the records up to position are known; watches can go on from there
	// lostHistory: the store no longer has the changes after position, so that only a listing
	// can bring the box up to date.
	lostHistory bool
	// relisted: the kind was listed because of a lost history, and no watch has succeeded since.
	relisted     bool
	position     store.Position
	observedEra  store.Era // the latest era of the store that this box has observed
	relistAt     time.Time // when the kind is to be listed once more; zero for never
	failures     int       // consecutive failures
	pausedUntil  time.Time
	lastSuccess  time.Time
	failingSince time.Time // time of the first failure after the last success; zero for none
}

// New returns a follower that has not listed yet.
func New(t Timing, rnd *rand.Rand) *Follower { return &Follower{timing: t, rand: rnd, boxes: 1} }

// Position returns the position up to which the kind is known.
func (f *Follower) Position() store.Position { return f.position }

// LastSuccess returns when the store last responded; zero for never.
func (f *Follower) LastSuccess() time.Time { return f.lastSuccess }

// FailingSince returns when the store stopped responding; zero while it responds.
func (f *Follower) FailingSince() time.Time { return f.failingSince }

// Next returns the next command.
func (f *Follower) Next(now time.Time) Command {
	if !f.started {
		f.started, f.startsAt = true, now.Add(f.startDelay())
	}
	switch {
	case !f.relistAt.IsZero() && !now.Before(f.relistAt) && !now.Before(f.pausedUntil):
		return List{}
	case f.delegated:
		return Sleep{Until: now.Add(delegationCheckInterval)}
	case now.Before(f.startsAt) && !f.reliedOn:
		return Sleep{Until: earlier(f.startsAt, now.Add(delegationCheckInterval))}
	case now.Before(f.pausedUntil):
		return Sleep{Until: f.pausedUntil}
	case !f.listed:
		return List{}
	default:
		w := Watch{Since: f.position, Wait: f.nextWait()}
		if f.failures > 0 {
			w.Wait = min(w.Wait, waitAfterFailure)
		}
		if !f.relistAt.IsZero() {
			w.Wait = min(w.Wait, f.relistAt.Sub(now))
		}
		f.stagger = false
		return w
	}
}

// delegationCheckInterval is the time between two checks whether another box still follows the store
// for this one: short compared to the seconds within which a configuration must be in force.
const delegationCheckInterval = 250 * time.Millisecond

// SetReliedOn sets whether other boxes rely on this one to follow the store. It then does not wait for the
// records of others at its start.
func (f *Follower) SetReliedOn(reliedOn bool) { f.reliedOn = reliedOn }

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// SetDelegated sets whether another box follows the store for this one. If a hundred boxes all
// watch, each change ends a hundred calls; if a few watch for the others, it ends those few. Once no
// other box follows the store for it, this one goes on by itself from the position that it has.
func (f *Follower) SetDelegated(delegated bool) {
	if f.delegated && !delegated {
		f.stagger = true
	}
	f.delegated = delegated
}

// startDelay draws the delay before the first listing. Of a number of boxes n, the first one is expected at
// MaxStartDelay / n^(1/startDelaySkew), and the others spread from there to the maximum.
func (f *Follower) startDelay() time.Duration {
	const startDelaySkew = 8
	return time.Duration(float64(f.timing.MaxStartDelay) * math.Pow(f.rand.Float64(), 1.0/startDelaySkew))
}

// SetPeers sets how many boxes notify each other of changes, and the index of this one in their
// order, from 0.
func (f *Follower) SetPeers(boxes, index int) {
	f.boxes = max(boxes, 1)
	f.index = min(max(index, 0), f.boxes-1)
}

// waitAfterFailure limits the wait of a watch after a failure. The store may have been restored meanwhile and have assigned the revision
// of the position again; only its response shows that, which it sends at the end of the wait.
const waitAfterFailure = 100 * time.Millisecond

// boxesPerWatch is the number of boxes whose watches together replace the watch of a box without
// peers. It is more than one, since some of the boxes may be cut off from the others.
const boxesPerWatch = 4

// WaitFor returns the maximum wait of a watch if the given number of boxes watch. The wait grows with
// the number of boxes, so that their total rate of calls does not. If watches were silently dropped,
// the first box that watches again notifies the others of the changes.
func (t Timing) WaitFor(boxes int) time.Duration {
	w := t.Wait * time.Duration(boxes) / boxesPerWatch
	return min(max(w, t.Wait), max(t.MaxWait, t.Wait))
}

// WaitCheckInterval is the time between two checks of whether a watch waits too long.
const WaitCheckInterval = 250 * time.Millisecond

// WaitsTooLong reports whether a watch that has waited for the given time is to be ended, since its wait has become too
// long for the number of boxes that still watch. The wait is long while many boxes watch; with few left, no other box
// would notify this one of changes if the store had silently dropped the watch. A watch with a shorter wait that the
// store does not answer fails by itself.
func (t Timing) WaitsTooLong(w Watch, waited time.Duration, boxes int) bool {
	limit := t.WaitFor(boxes)
	return w.Wait > limit && waited > limit+WaitCheckInterval
}

// nextWait returns the wait of the next watch, such that the watches of many boxes end at evenly
// spread times. A change ends all of them at once, so the first wait after it depends on the box's
// turn.
func (f *Follower) nextWait() time.Duration {
	w := f.timing.WaitFor(f.boxes)
	step := w / time.Duration(f.boxes)
	jitter := time.Duration(f.rand.Int64N(int64(step)/2 + 1))
	if f.stagger && f.boxes > boxesPerWatch {
		return step*time.Duration(f.turn()) + step/2 + jitter
	}
	return w - jitter
}

// turn returns the turn of the box among all boxes. Neighbours in the order of names, which are often
// in one data hall and become isolated together, get turns far from each other.
func (f *Follower) turn() int {
	const golden = 0.618 // multiples of the golden ratio, modulo 1, leave the most even gaps
	stride := max(1, int(golden*float64(f.boxes)))
	for gcd(stride, f.boxes) != 1 {
		stride++
	}
	return f.index * stride % f.boxes
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Listed records the result of a List.
func (f *Follower) Listed(now time.Time, at store.Position, err error) {
	if err != nil {
		f.fail(now)
		return
	}
	f.relisted = f.lostHistory
	f.listed, f.lostHistory = true, false
	if !now.Before(f.relistAt) {
		f.relistAt = time.Time{}
	}
	f.advance(now, at)
	f.stagger = true
	failures := f.failures
	f.succeed(now)
	if f.relisted {
		f.failures = failures // the next watch, from the listed position, may find its history lost again
	}
}

// Watched records the result of a Watch, and reports whether its changes continue from the position of
// the follower. In a later era they do not, even if the store has the revision: what the store lost
// in the restore, and what was written between the restore and that revision, is missing from them.
func (f *Follower) Watched(now time.Time, at store.Position, err error) bool {
	lost := errors.Is(err, store.ErrHistoryLost)
	switch {
	case err != nil && !lost:
		f.fail(now)
		return false
	case lost || at.Era() > f.position.Era():
		f.loseHistory(now)
		return false
	default:
		f.position, f.relisted = store.Later(f.position, at), false
		f.succeed(now)
		return true
	}
}

// WatchEnded records that the box itself ended the watch, which says nothing about the store.
func (f *Follower) WatchEnded(now time.Time) { f.Watched(now, f.position, nil) }

// loseHistory makes the follower list again: at once, unless it has just listed for the same reason.
// A store that has already lost the changes since a recent listing is failing, so the follower pauses
// first.
func (f *Follower) loseHistory(now time.Time) {
	f.listed, f.lostHistory = false, true
	if f.relisted {
		f.pause(now)
	} else {
		f.failures = 0
	}
	f.lastSuccess, f.failingSince = now, time.Time{}
}

// ObserveEra records the latest era of the store that this box has observed. If it is later than that
// of the follower's position, the kind is listed again; once for each era, since other boxes may
// report an era that the store itself does not state.
func (f *Follower) ObserveEra(era store.Era) {
	if era <= f.observedEra {
		return
	}
	f.observedEra = era
	if f.listed && era > f.position.Era() {
		f.listed, f.lostHistory = false, true
	}
}

// Changed records that the last watch returned changes.
func (f *Follower) Changed(now time.Time) {
	f.stagger = true
	f.pausedUntil = now.Add(f.timing.ChangePause)
}

// CaughtUpFromPeers records that peers have sent all records that the store held at the position; the
// position is zero if no peer has. After the store has lost history within an era, records from peers
// do not replace a listing, since they may be as old as this box's own.
func (f *Follower) CaughtUpFromPeers(now time.Time, at store.Position) {
	if !at.IsZero() && (!f.lostHistory || at.Era() > f.position.Era()) {
		f.listed, f.lostHistory = true, false
		f.advance(now, at)
	}
}

// advance records that the kind is known up to the position.
func (f *Follower) advance(now time.Time, at store.Position) {
	if !f.position.IsZero() && at.Era() > f.position.Era() && f.timing.RelistDelay > 0 {
		f.relistAt = now.Add(f.timing.RelistDelay)
	}
	f.position = store.Later(f.position, at)
}

func (f *Follower) succeed(now time.Time) {
	f.failures = 0
	f.lastSuccess, f.failingSince = now, time.Time{}
}

func (f *Follower) fail(now time.Time) {
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
	f.pause(now)
}

// pause delays the next call, for longer after each failure.
func (f *Follower) pause(now time.Time) {
	f.stagger = true
	pause := min(f.timing.MinBackoff<<min(f.failures, 16), f.timing.MaxBackoff)
	f.failures++
	f.pausedUntil = now.Add(pause/2 + time.Duration(f.rand.Int64N(int64(pause)+1)))
}
