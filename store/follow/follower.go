package follow

import (
	"errors"
	"math/rand/v2"
	"time"

	"clovertrail.dev/store"
)

// Pace holds the times of a Follower.
type Pace struct {
	// Wait is how long a watch of a box that is alone waits for a change. A watch that
	// the store has silently dropped goes unnoticed for so long.
	Wait time.Duration
	// MostWait bounds the wait of a box among many.
	MostWait time.Duration
	// FirstPause is the pause after a first failure; each further one doubles it, up
	// to MostPause. Each pause is spread by half of itself either way.
	FirstPause, MostPause time.Duration
}

// Command is what the owner of a Follower does next. The set is closed: List,
// Watch and Rest.
type Command interface{ command() }

// List asks to list the kind.
type List struct{}

// Watch asks for the changes since a revision.
type Watch struct {
	Since store.Revision
	Wait  time.Duration
}

// Rest asks to do nothing until the time.
type Rest struct{ Until time.Time }

func (List) command()  {}
func (Watch) command() {}
func (Rest) command()  {}

// Follower is the machine. It is not safe for concurrent use.
type Follower struct {
	pace     Pace
	rand     *rand.Rand
	boxes    int // that tell each other what they learn, this one included
	listed   bool
	at       store.Revision
	failures int
	restTo   time.Time
	goodAt   time.Time // of the last success
	lostAt   time.Time // of the first failure since; zero while all is well
}

// New returns a follower that has seen nothing.
func New(p Pace, rnd *rand.Rand) *Follower { return &Follower{pace: p, rand: rnd, boxes: 1} }

// At is the revision up to which the kind is known.
func (f *Follower) At() store.Revision { return f.at }

// GoodAt is when the store last answered; zero for never.
func (f *Follower) GoodAt() time.Time { return f.goodAt }

// LostAt is when the store stopped answering; zero while it answers.
func (f *Follower) LostAt() time.Time { return f.lostAt }

// Next tells what to do.
func (f *Follower) Next(now time.Time) Command {
	switch {
	case now.Before(f.restTo):
		return Rest{Until: f.restTo}
	case !f.listed:
		return List{}
	default:
		return Watch{Since: f.at, Wait: f.wait()}
	}
}

// Among tells how many boxes tell each other what they learn.
func (f *Follower) Among(boxes int) { f.boxes = max(boxes, 1) }

// sharers is how many boxes' watches stand in for one of a box that is alone. Their
// ends are spread by chance, and with four of them in the time of one wait it is
// rare that none ends for as long as that.
const sharers = 4

// wait grows with the number of boxes, so that all together ask the store equally
// often however many they are: one of them notices a dropped watch and tells the
// others.
func (f *Follower) wait() time.Duration {
	w := f.pace.Wait * time.Duration(f.boxes) / sharers
	w = min(max(w, f.pace.Wait), max(f.pace.MostWait, f.pace.Wait))
	return w - time.Duration(f.rand.Int64N(int64(w)/sharers+1))
}

// Listed takes the end of a List.
func (f *Follower) Listed(now time.Time, at store.Revision, err error) {
	if err != nil {
		f.failed(now)
		return
	}
	f.listed = true
	f.at = at
	f.answered(now)
}

// Watched takes the end of a Watch.
func (f *Follower) Watched(now time.Time, at store.Revision, err error) {
	switch {
	case errors.Is(err, store.ErrHistoryLost):
		f.listed = false
		f.answered(now)
	case err != nil:
		f.failed(now)
	default:
		f.at = max(f.at, at)
		f.answered(now)
	}
}

// CaughtUp tells that a peer gave all changes up to the revision.
func (f *Follower) CaughtUp(at store.Revision) {
	if f.listed {
		f.at = max(f.at, at)
	}
}

func (f *Follower) answered(now time.Time) {
	f.failures = 0
	f.goodAt, f.lostAt = now, time.Time{}
}

func (f *Follower) failed(now time.Time) {
	if f.lostAt.IsZero() {
		f.lostAt = now
	}
	pause := min(f.pace.FirstPause<<min(f.failures, 16), f.pace.MostPause)
	f.failures++
	f.restTo = now.Add(pause/2 + time.Duration(f.rand.Int64N(int64(pause)+1)))
}
