package distribution_test

import (
	"fmt"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/distribution"
	"clovertrail.dev/mesh"
)

// spreadMembers returns the members of a group whose ranks are spread over data halls in order,
// and the list of all ranks.
func spreadMembers(ranks, halls int) (members map[int]mesh.Member, all []int) {
	members = map[int]mesh.Member{}
	for r := range ranks {
		members[r] = mesh.Member{Rank: r, Hall: domain.HallName(fmt.Sprint(r * halls / ranks))}
		all = append(all, r)
	}
	return members, all
}

// The group has 96 ranks in five halls; rank 3 coordinates.
func TestRelaysAssignEveryRankWithinItsHall(t *testing.T) {
	const ranks, self = 96, 3
	members, all := spreadMembers(ranks, 5)
	relays := distribution.NewRelays(self, members)
	if n := relays.Partitions(); n != 10 {
		t.Errorf("%d partitions, want 10", n)
	}
	for name, eligible := range map[string]func(int) bool{
		"all eligible":             func(int) bool { return true },
		"some not eligible":        func(r int) bool { return r%10 != 4 },
		"few eligible in one hall": func(r int) bool { return r > 19 || r == 17 },
	} {
		t.Run(name, func(t *testing.T) {
			calls := map[int]int{}
			for _, a := range relays.Assign(all, eligible) {
				checkAssignment(t, members, a, eligible)
				for _, r := range a.Ranks {
					calls[r]++
				}
			}
			if len(calls) != ranks-1 || calls[self] != 0 {
				t.Errorf("%d ranks are assigned, the coordinator itself %d times; want all others and never the coordinator", len(calls), calls[self])
			}
		})
	}
	none := relays.Assign([]int{40, 41}, func(int) bool { return false })
	if len(none) != 1 || none[0].Relay != distribution.NoRelay || len(none[0].Ranks) != 2 {
		t.Errorf("without an eligible agent: %v, want one assignment of two ranks without a relay", none)
	}
}

// checkAssignment checks that the relay is eligible, and is assigned at most ten ranks, all of
// its own hall.
func checkAssignment(t *testing.T, members map[int]mesh.Member, a distribution.Assignment, eligible func(int) bool) {
	t.Helper()
	if len(a.Ranks) > 10 {
		t.Errorf("relay %d is assigned more than 10 ranks: %v", a.Relay, a.Ranks)
	}
	if a.Relay == distribution.NoRelay {
		return
	}
	if !eligible(a.Relay) {
		t.Errorf("rank %d is a relay although it is not eligible", a.Relay)
	}
	for _, r := range a.Ranks {
		if members[r].Hall != members[a.Relay].Hall {
			t.Errorf("relay %d is assigned rank %d of another hall", a.Relay, r)
		}
	}
}

// Two coordinators may be active for a moment as a group opens; together they must not load the
// same relay.
func TestRelaysOfTwoCoordinatorsDiffer(t *testing.T) {
	members, _ := spreadMembers(20, 1)
	eligible := func(int) bool { return true }
	first, second := distribution.NewRelays(0, members), distribution.NewRelays(1, members)
	if x, y := first.Assign([]int{15}, eligible), second.Assign([]int{15}, eligible); x[0].Relay == y[0].Relay {
		t.Errorf("both coordinators use rank %d as the relay", x[0].Relay)
	}
}
