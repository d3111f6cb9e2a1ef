package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// hallBoxes returns contacts of the boxes of a hall with numbers below n, without the one with the given
// number.
func hallBoxes(n, without int) []membership.Contact {
	var list []membership.Contact
	for i := range n {
		if i != without {
			list = append(list, contact(fmt.Sprintf("box-%04d", i), 1))
		}
	}
	return list
}

// TestHubsShareTargetsOfLargeHall answers the pattern of a hall with more targets than one box can
// query: the hubs share them, each target is queried, and what a hub queries does not grow with the hall
// beyond its third. With few targets each hub queries all, which keeps reports fresh and a lost hub
// unnoticed.
func TestHubsShareTargetsOfLargeHall(t *testing.T) {
	for _, tc := range []struct {
		boxes, targets int
		replicas       int // hubs that query each target
		most           int // targets that a hub queries at the most
	}{
		{30, 39, 3, 39}, {84, 60, 3, 60}, {84, 90, 2, 75}, {84, 117, 1, 55}, {200, 240, 1, 110},
	} {
		queried, most := map[domain.InstanceID]int{}, 0
		for hub := range membership.HubsPerHall {
			self := domain.BoxID(fmt.Sprintf("box-%04d", hub))
			s := membership.NewHubShare(self, membership.FellowHubs(self, hallBoxes(tc.boxes, hub)), tc.targets)
			if s.Replicas() != tc.replicas {
				t.Errorf("%d targets: %d hubs query each, want %d", tc.targets, s.Replicas(), tc.replicas)
			}
			own := 0
			for i := range tc.targets {
				if id := domain.InstanceID(fmt.Sprint("t-", i)); s.Queries(id) {
					queried[id]++
					own++
				}
			}
			most = max(most, own)
		}
		for id, n := range queried {
			if n != tc.replicas {
				t.Errorf("%d targets: %s is queried by %d hubs, want %d", tc.targets, id, n, tc.replicas)
			}
		}
		if len(queried) != tc.targets || most > tc.most {
			t.Errorf("%d targets: %d are queried, and %d by one hub; want all, and at most %d", tc.targets, len(queried), most, tc.most)
		}
	}
}

// hubShares returns the shares of the hubs of a hall of 84 boxes, by box, without the box of the given
// number.
func hubShares(lost, targets int) map[domain.BoxID]*membership.HubShare {
	list := map[domain.BoxID]*membership.HubShare{}
	name := func(n int) domain.BoxID { return domain.BoxID(fmt.Sprintf("box-%04d", n)) }
	for hub := range membership.HubsPerHall + 1 {
		others := slices.DeleteFunc(hallBoxes(84, hub), func(c membership.Contact) bool { return c.Box == name(lost) })
		if hub != lost && membership.RoleOf(name(hub), others) == membership.Hub {
			list[name(hub)] = membership.NewHubShare(name(hub), membership.FellowHubs(name(hub), others), targets)
		}
	}
	return list
}

// TestLostHubMovesOnlyItsTargets checks that a hub that is lost changes which hub queries a target for
// its targets only.
func TestLostHubMovesOnlyItsTargets(t *testing.T) {
	const targets = 117
	before, after := hubShares(-1, targets), hubShares(1, targets)
	moved, ofLost := 0, 0
	for i := range targets {
		id := domain.InstanceID(fmt.Sprint("t-", i))
		if before["box-0001"].Queries(id) {
			ofLost++
			continue
		}
		for _, box := range []domain.BoxID{"box-0000", "box-0002"} {
			if before[box].Queries(id) && !after[box].Queries(id) && !after["box-0003"].Queries(id) {
				moved++
			}
		}
	}
	if moved > 0 || ofLost == 0 {
		t.Errorf("%d targets of other hubs moved between them as one of %d targets was lost", moved, ofLost)
	}
}

// TestHubQueriesTargetsOfOthersWithoutFreshReport checks that a hub queries the targets of another hub
// itself once the report of that hub is old.
func TestHubQueriesTargetsOfOthersWithoutFreshReport(t *testing.T) {
	const targets = 117
	share := hubShares(-1, targets)["box-0000"]
	r := membership.NewHallReporters("near")
	r.SetRole(membership.Hub, share)
	for i := range targets {
		id := domain.InstanceID(fmt.Sprint("t-", i))
		r.Received("near", id, start)
		own := share.Queries(id)
		if r.ShouldQueryTarget(start.Add(maxAge/2), targetIn("near", string(id)), maxAge) != own {
			t.Errorf("%s, reported by another hub lately: queried %v, want %v", id, !own, own)
		}
		if !r.ShouldQueryTarget(start.Add(2*maxAge), targetIn("near", string(id)), maxAge) {
			t.Errorf("%s is queried by no hub, as the last report of it is old", id)
		}
	}
}

// TestOneHubOfAHallFollowsTheStore checks that all hubs but the first rely on the first one, and no two
// on each other.
func TestOneHubOfAHallFollowsTheStore(t *testing.T) {
	for hub := range membership.HubsPerHall {
		first, ok := membership.FirstHub(domain.BoxID(fmt.Sprintf("box-%04d", hub)), hallBoxes(84, hub))
		if ok != (hub > 0) || ok && first.Box != "box-0000" {
			t.Errorf("hub %d relies on %q, %v", hub, first.Box, ok)
		}
	}
}
