package membership_test

import (
	"fmt"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// hallOf is a hall of so many boxes without the one.
func hallOf(boxes, without int) []membership.Contact {
	var list []membership.Contact
	for i := range boxes {
		if i != without {
			list = append(list, membership.Contact{Box: domain.BoxID(fmt.Sprintf("b%02d", i))})
		}
	}
	return list
}

// TestAHallOfManyBoxesHasAFewHubs: thirty boxes of a hall start at once, and know each
// other; then the first two of them are lost.
func TestAHallOfManyBoxesHasAFewHubs(t *testing.T) {
	for _, tc := range []struct {
		name              string
		boxes, lost       int // the first so many are not in touch
		hubs, alone, rest int
	}{
		{"a small hall", 12, 0, 0, 12, 0},
		{"a hall of thirty", 30, 0, 3, 0, 27},
		{"thirty, the first two lost", 30, 2, 3, 0, 25},
		{"a hall that shrank", 30, 20, 0, 10, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := map[membership.Role]int{}
			for i := tc.lost; i < tc.boxes; i++ {
				others := hallOf(tc.boxes, i)[tc.lost:]
				got[membership.RoleOf(domain.BoxID(fmt.Sprintf("b%02d", i)), others)]++
			}
			if got[membership.Hub] != tc.hubs || got[membership.Standalone] != tc.alone || got[membership.Follower] != tc.rest {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestABoxThatKnowsFewIsAHubRatherThanNone: views differ while boxes start, and the first
// of them must not count on others that do not know that they come first.
func TestABoxThatKnowsFewIsAHubRatherThanNone(t *testing.T) {
	others := hallOf(30, 17)[8:] // it has not learned of the first eight
	if r := membership.RoleOf("b17", others); r != membership.Follower {
		t.Errorf("with nine of its hall before it, it is a %v", r)
	}
	if r := membership.RoleOf("b17", hallOf(30, 17)[15:]); r != membership.Hub {
		t.Errorf("with two of its hall before it, it is a %v", r)
	}
}

func TestHubsAreAskedOfAHallThatHasThem(t *testing.T) {
	if got := membership.HubsOf(hallOf(30, -1)); len(got) != membership.HubsPerHall || got[0].Box != "b00" {
		t.Errorf("of thirty: %v", got)
	}
	if got := membership.HubsOf(hallOf(5, -1)); len(got) != 5 {
		t.Errorf("of five: %v", got)
	}
}
