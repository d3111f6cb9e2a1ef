package membership

import (
	"cmp"
	"slices"

	"clovertrail.dev/core/domain"
)

// In a data hall with many entry boxes a few of them, its hubs, query the targets of the hall and
// the reporters of other halls; the other boxes query a hub. If all boxes queried the targets,
// each target could be queried only so seldom that reports from other halls would be too old to
// rely on; with hubs they are less than a second old.
//
// Hubs are not elected. A box is a hub if fewer than HubsPerHall of the boxes of its hall that it
// sees as alive precede it in the order of names. So the first few boxes always are hubs, and one
// more here or there, where boxes see different members, does no harm. A box that receives no
// report of a target from a hub queries the target itself.
//
// The first hub of a hall follows the store for the others, and the hubs of a large hall share its
// targets (HubShare): what a hub sends and receives then grows with its share of the hall.

const (
	// minBoxesForHubs is the number of boxes in contact with each other from which a hall has hubs:
	// with fewer, a target can respond to all of them often enough.
	minBoxesForHubs = 13
	// HubsPerHall is the number of hubs of a hall: two may be lost at once.
	HubsPerHall = 3
)

// Role is the role of a box in collecting the status of targets for its hall.
type Role int

// The roles.
const (
	// Standalone: the hall has no hubs, and each box queries its targets.
	Standalone Role = iota
	// Hub: the box queries targets on behalf of the others.
	Hub
	// Follower: the box receives reports from a hub.
	Follower
)

// String returns the name of the role.
func (r Role) String() string { return [...]string{"alone", "hub", "follower"}[r] }

// RoleOf returns the role of the box self in its hall, where others are the reachable boxes of
// the hall besides self.
func RoleOf(self domain.BoxID, others []Contact) Role {
	if len(others)+1 < minBoxesForHubs {
		return Standalone
	}
	if Position(self, others) < HubsPerHall {
		return Hub
	}
	return Follower
}

// Position returns the number of others that precede the box self in the order of names.
func Position(self domain.BoxID, others []Contact) int {
	before := 0
	for _, c := range others {
		if c.Box < self {
			before++
		}
	}
	return before
}

// FirstHub returns the first hub of a hall other than self, by the order of names; false if self comes
// first, or if there is no other.
func FirstHub(self domain.BoxID, others []Contact) (Contact, bool) {
	var first Contact
	for _, c := range others {
		if c.Box < self && (first.Box == "" || c.Box < first.Box) {
			first = c
		}
	}
	return first, first.Box != ""
}

// FellowHubs returns the hubs of a hall other than the hub self.
func FellowHubs(self domain.BoxID, others []Contact) []Contact {
	all := append(slices.Clone(others), Contact{Box: self})
	return slices.DeleteFunc(slices.Clone(HubsOf(all)), func(c Contact) bool { return c.Box == self })
}

// HubsOf returns the boxes of a hall that can report on all its targets: its hubs, or all boxes
// of a hall without hubs.
func HubsOf(boxes []Contact) []Contact {
	if len(boxes) < minBoxesForHubs {
		return boxes
	}
	sorted := slices.Clone(boxes)
	slices.SortFunc(sorted, func(a, b Contact) int { return cmp.Compare(a.Box, b.Box) })
	return sorted[:HubsPerHall]
}
