package membership_test

import (
	"fmt"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// hallOf returns the boxes numbered from 0 to boxes-1, except the one numbered without.
func hallOf(boxes, without int) []membership.Contact {
	var list []membership.Contact
	for i := range boxes {
		if i != without {
			list = append(list, membership.Contact{Box: domain.BoxID(fmt.Sprintf("b%02d", i))})
		}
	}
	return list
}

// TestRoleOfGivesLargeHallsThreeHubs covers halls of several sizes, also after the first boxes are
// lost.
func TestRoleOfGivesLargeHallsThreeHubs(t *testing.T) {
	for _, tc := range []struct {
		name                        string
		boxes, lost                 int // the first lost boxes are not reachable
		hubs, standalone, followers int
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
			if got[membership.Hub] != tc.hubs || got[membership.Standalone] != tc.standalone || got[membership.Follower] != tc.followers {
				t.Errorf("boxes by role: %v", got)
			}
		})
	}
}

// TestRoleOfCountsOnlyReachableBoxes: boxes see different members of the hall while they start. A
// box that sees only few boxes before it must become a hub, or the hall might have none.
func TestRoleOfCountsOnlyReachableBoxes(t *testing.T) {
	others := hallOf(30, 17)[8:] // it has not received the first eight yet
	if r := membership.RoleOf("b17", others); r != membership.Follower {
		t.Errorf("with nine boxes of its hall before it, its role is %v", r)
	}
	if r := membership.RoleOf("b17", hallOf(30, 17)[15:]); r != membership.Hub {
		t.Errorf("with two boxes of its hall before it, its role is %v", r)
	}
}

func TestHubsOfReturnsAllBoxesOfSmallHall(t *testing.T) {
	if got := membership.HubsOf(hallOf(30, -1)); len(got) != membership.HubsPerHall || got[0].Box != "b00" {
		t.Errorf("hubs of thirty boxes: %v", got)
	}
	if got := membership.HubsOf(hallOf(5, -1)); len(got) != 5 {
		t.Errorf("of five boxes: %v, want all", got)
	}
}
