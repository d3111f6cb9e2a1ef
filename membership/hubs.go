package membership

import (
	"cmp"
	"slices"

	"clovertrail.dev/core/domain"
)

// In a data hall with many entry boxes a few of them, its hubs, ask its targets how they do
// and learn of the other halls; the rest ask a hub. If all boxes asked, targets would have to be
// asked so seldom that the news of far ones is too old to trust them; with hubs it is under a
// second old.
//
// Nobody appoints hubs. A box is one if few boxes of its hall that it knows to live come
// before it in the order of names, so the first few boxes always are, and one more here or
// there does no harm. A box to which no hub reports a target asks the target itself.

const (
	// hubsFrom is how many boxes of a hall must be in touch for it to have hubs: with
	// fewer, a target can answer all of them often enough.
	hubsFrom = 13
	// HubsPerHall is how many hubs a hall has: two may be lost at once.
	HubsPerHall = 3
)

// Role is what a box does for the news of targets in its hall.
type Role int

// The roles.
const (
	// Standalone: the hall has no hubs, and each box asks its targets.
	Standalone Role = iota
	// Hub: it asks for the others.
	Hub
	// Follower: it hears from a hub.
	Follower
)

// String gives the name of the role.
func (r Role) String() string { return [...]string{"alone", "hub", "follower"}[r] }

// RoleOf is the role of the box in its hall, where the others are in touch.
func RoleOf(self domain.BoxID, others []Contact) Role {
	if len(others)+1 < hubsFrom {
		return Standalone
	}
	if Position(self, others) < HubsPerHall {
		return Hub
	}
	return Follower
}

// Position is how many of the others come before the box.
func Position(self domain.BoxID, others []Contact) int {
	before := 0
	for _, c := range others {
		if c.Box < self {
			before++
		}
	}
	return before
}

// HubsOf are those of a hall's boxes that can report all its targets: its hubs, or all
// where it has none.
func HubsOf(boxes []Contact) []Contact {
	if len(boxes) < hubsFrom {
		return boxes
	}
	sorted := slices.Clone(boxes)
	slices.SortFunc(sorted, func(a, b Contact) int { return cmp.Compare(a.Box, b.Box) })
	return sorted[:HubsPerHall]
}
