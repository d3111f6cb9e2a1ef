package telling

import (
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// teachEvery is the time between two times that an agent is told again who is in its
// group though it knows that: the others that it was told of may be gone.
const teachEvery = 5 * time.Second

// Lesson is what an entry box told an agent of its group: dozens of ranks, which need
// not come with every question.
type Lesson struct {
	heard bool         // the agent said what it knows
	knows orders.Epoch // as it said last
	at    time.Time
}

// Due tells whether the agent of a rank in the epoch is to be told now; it then counts
// as told. An agent is first asked what it knows: of thirty boxes that start together all
// but the first find it told, by 10 KB for a group of 96 ranks.
func (l *Lesson) Due(now time.Time, e orders.Epoch) bool {
	if !l.heard || l.knows == e && now.Sub(l.at) < teachEvery {
		return false
	}
	l.at = now
	return true
}

// Learnt takes the epoch for which the agent says that it knows its group.
func (l *Lesson) Learnt(e orders.Epoch) { l.heard, l.knows = true, e }
