package distribution

import (
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// updateInterval is the time between two updates of an agent that already has the members of
// its group. Updates are repeated because forwarders that the agent was sent may be gone.
const updateInterval = 5 * time.Second

// GroupUpdate decides when an entry box sends an agent the members of its group. These are
// dozens of ranks, too many to send with every query.
type GroupUpdate struct {
	acknowledged      bool          // whether the agent has acknowledged any epoch
	acknowledgedEpoch orders.Epoch  // the last epoch that the agent acknowledged
	lastUpdate        time.Time     // time of the last update, by any box
	jitter            float64       // from 0 up to 1: share of the spread after which this box updates the agent
	wait              time.Duration // time from a response without the epoch to the update
	lackingSince      time.Time     // when the agent was first found to lack the group; zero if it has the members
}

// maxSpreadBoxes is the number of boxes querying an agent from which on their updates are spread
// over all of maxSpread; fewer boxes use proportionally less.
const maxSpreadBoxes = 30

// maxSpread bounds the wait of a box before it updates an agent that lacks the members of its
// group. Of dozens of boxes that start together, the first few update the agent, and the others
// find it up to date: simultaneous updates from all boxes would fill the agent's link, and a
// group that was just formed could not be read meanwhile.
const maxSpread = 400 * time.Millisecond

// NewGroupUpdate returns the state of a box that has not queried the agent. The jitter is a
// random number from 0 up to 1 that spreads the updates of different boxes.
func NewGroupUpdate(jitter float64) *GroupUpdate {
	return &GroupUpdate{jitter: jitter, wait: time.Duration(jitter * float64(maxSpread))}
}

// SetBoxes sets the number of boxes that query the agent. The fewer boxes there are, the sooner
// each may update the agent.
func (u *GroupUpdate) SetBoxes(boxes int) {
	spread := maxSpread * time.Duration(min(boxes, maxSpreadBoxes)) / maxSpreadBoxes
	u.wait = time.Duration(u.jitter * float64(spread))
}

// Delay returns the remaining wait before the agent is updated; zero if the agent does not lack
// its group or the wait is over.
func (u *GroupUpdate) Delay(now time.Time) time.Duration {
	if u.lackingSince.IsZero() {
		return 0
	}
	return max(u.lackingSince.Add(u.wait).Sub(now), 0)
}

// Due reports whether the agent of a rank in the epoch is to be updated now. If so, it records
// the update. Query the agent just before the call, since another box may have updated it.
func (u *GroupUpdate) Due(now time.Time, e orders.Epoch) bool {
	if u.acknowledgedEpoch == e {
		u.lackingSince = time.Time{}
		if u.lastUpdate.IsZero() {
			u.lastUpdate = now // another box updated the agent
		}
	} else if u.lackingSince.IsZero() {
		u.lackingSince = now
	}
	switch {
	case !u.acknowledged,
		u.acknowledgedEpoch == e && now.Sub(u.lastUpdate) < updateInterval,
		u.acknowledgedEpoch != e && now.Sub(u.lackingSince) < u.wait:
		return false
	}
	u.lastUpdate = now
	return true
}

// Acknowledged records the epoch for which the agent reports that it has the members.
func (u *GroupUpdate) Acknowledged(e orders.Epoch) { u.acknowledged, u.acknowledgedEpoch = true, e }
