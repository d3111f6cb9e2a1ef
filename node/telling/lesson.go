package telling

import (
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// teachEvery is the time between two times that an agent is told again who is in its
// group though it knows that: the others of which it was informed may be gone.
const teachEvery = 5 * time.Second

// Lesson is what an entry box told an agent of its group: dozens of ranks, which need
// not come with every question.
type Lesson struct {
	heard  bool         // the agent said what it knows
	knows  orders.Epoch // as it said last
	at     time.Time
	chance float64
	wait   time.Duration // after its word that it does not know until it is told
	lacks  time.Time     // since when it is known not to know; zero if it knows
}

// lessonBoxes is how many boxes that ask an agent spread their telling over all of
// lessonSpread; fewer need less.
const lessonBoxes = 30

// lessonSpread bounds the wait of a box before it tells an agent that does not know its
// group. Of dozens of boxes that start together the first few tell it, and the rest find
// that it knows: from all of them at once it would fill the agent's link, and a group that was
// just formed could not be read meanwhile.
const lessonSpread = 400 * time.Millisecond

// NewLesson returns that of a box that has not asked the agent. The chance, from 0 up to
// 1, tells boxes apart.
func NewLesson(chance float64) *Lesson {
	return &Lesson{chance: chance, wait: time.Duration(chance * float64(lessonSpread))}
}

// Among sets how many boxes ask the agent: the fewer, the sooner each may tell it.
func (l *Lesson) Among(boxes int) {
	spread := lessonSpread * time.Duration(min(boxes, lessonBoxes)) / lessonBoxes
	l.wait = time.Duration(l.chance * float64(spread))
}

// Waits is for how long from now the agent is not told though it does not know; zero if
// it is not waited for.
func (l *Lesson) Waits(now time.Time) time.Duration {
	if l.lacks.IsZero() {
		return 0
	}
	return max(l.lacks.Add(l.wait).Sub(now), 0)
}

// Due reports whether the agent of a rank in the epoch is to be told now; it then counts
// as told. An agent is asked what it knows just before: another box may have told it.
func (l *Lesson) Due(now time.Time, e orders.Epoch) bool {
	if l.knows == e {
		l.lacks = time.Time{}
		if l.at.IsZero() {
			l.at = now // another box told it
		}
	} else if l.lacks.IsZero() {
		l.lacks = now
	}
	switch {
	case !l.heard,
		l.knows == e && now.Sub(l.at) < teachEvery,
		l.knows != e && now.Sub(l.lacks) < l.wait:
		return false
	}
	l.at = now
	return true
}

// Learnt takes the epoch for which the agent reports that it knows its group.
func (l *Lesson) Learnt(e orders.Epoch) { l.heard, l.knows = true, e }
