package distribution

import (
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// updateEvery is the time between two updates of an agent about who is in its
// group though it knows that: the others of which it was informed may be gone.
const updateEvery = 5 * time.Second

// GroupUpdate decides when an entry box sends an agent the members of its group: dozens of
// ranks, which need not come with every question.
type GroupUpdate struct {
	heard   bool         // the agent acknowledged an epoch
	knows   orders.Epoch // the last that it acknowledged
	at      time.Time    // of the last update, by any box
	chance  float64
	wait    time.Duration // from an answer without the epoch to the update
	unknown time.Time     // since when it is known to lack the group; zero if it has it
}

// updateBoxes is how many boxes that ask an agent spread their updates over all of
// updateSpread; fewer need less.
const updateBoxes = 30

// updateSpread bounds the wait of a box before it updates an agent that lacks its group. Of
// dozens of boxes that start together the first few update it, and the rest find that it is up
// to date: updates from all at once would fill the agent's link, and a group that was just formed
// could not be read meanwhile.
const updateSpread = 400 * time.Millisecond

// NewGroupUpdate returns that of a box that has not asked the agent. The chance, from 0 up to
// 1, distinguishes boxes.
func NewGroupUpdate(chance float64) *GroupUpdate {
	return &GroupUpdate{chance: chance, wait: time.Duration(chance * float64(updateSpread))}
}

// SetBoxes sets how many boxes ask the agent: the fewer, the sooner each may update it.
func (u *GroupUpdate) SetBoxes(boxes int) {
	spread := updateSpread * time.Duration(min(boxes, updateBoxes)) / updateBoxes
	u.wait = time.Duration(u.chance * float64(spread))
}

// Delay is for how long from now the agent is not updated though it lacks its group; zero if
// no update is due.
func (u *GroupUpdate) Delay(now time.Time) time.Duration {
	if u.unknown.IsZero() {
		return 0
	}
	return max(u.unknown.Add(u.wait).Sub(now), 0)
}

// Due reports whether the agent of a rank in the epoch is to be updated now; it then counts as
// updated. The agent has to be asked just before, as another box may have updated it.
func (u *GroupUpdate) Due(now time.Time, e orders.Epoch) bool {
	if u.knows == e {
		u.unknown = time.Time{}
		if u.at.IsZero() {
			u.at = now // another box updated it
		}
	} else if u.unknown.IsZero() {
		u.unknown = now
	}
	switch {
	case !u.heard,
		u.knows == e && now.Sub(u.at) < updateEvery,
		u.knows != e && now.Sub(u.unknown) < u.wait:
		return false
	}
	u.at = now
	return true
}

// Acknowledged takes the epoch for which the agent reports that it knows its group.
func (u *GroupUpdate) Acknowledged(e orders.Epoch) { u.heard, u.knows = true, e }
