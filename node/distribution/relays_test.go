package distribution_test

import (
	"fmt"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/distribution"
)

// spread are ranks that are dealt out over halls in order.
func spread(ranks, halls int) (members map[int]mesh.Member, all []int) {
	members = map[int]mesh.Member{}
	for r := range ranks {
		members[r] = mesh.Member{Rank: r, Hall: domain.HallName(fmt.Sprint(r * halls / ranks))}
		all = append(all, r)
	}
	return members, all
}

// TestRelaysSpeakForTheirHalls: 96 ranks over five halls, of which rank 3 coordinates.
func TestRelaysSpeakForTheirHalls(t *testing.T) {
	const ranks, self = 96, 3
	members, all := spread(ranks, 5)
	relays := distribution.NewRelays(self, members)
	if n := relays.Partitions(); n != 10 {
		t.Errorf("%d parts", n)
	}
	for name, fit := range map[string]func(int) bool{
		"all fit":         func(int) bool { return true },
		"some do not":     func(r int) bool { return r%10 != 4 },
		"few of one hall": func(r int) bool { return r > 19 || r == 17 },
	} {
		t.Run(name, func(t *testing.T) {
			spoken := map[int]int{}
			for _, p := range relays.Assign(all, fit) {
				checkPart(t, members, p, fit)
				for _, r := range p.Ranks {
					spoken[r]++
				}
			}
			if len(spoken) != ranks-1 || spoken[self] != 0 {
				t.Errorf("%d ranks are spoken to, the coordinator itself %d times", len(spoken), spoken[self])
			}
		})
	}
	none := relays.Assign([]int{40, 41}, func(int) bool { return false })
	if len(none) != 1 || none[0].Relay != distribution.NoRelay || len(none[0].Ranks) != 2 {
		t.Errorf("without a fit agent: %v", none)
	}
}

// checkPart: a relay is fit, and speaks for a few ranks of its own hall.
func checkPart(t *testing.T, members map[int]mesh.Member, p distribution.Assignment, fit func(int) bool) {
	t.Helper()
	if len(p.Ranks) > 10 {
		t.Errorf("rank %d speaks for %v", p.Relay, p.Ranks)
	}
	if p.Relay == distribution.NoRelay {
		return
	}
	if !fit(p.Relay) {
		t.Errorf("rank %d speaks for others although it is not fit", p.Relay)
	}
	for _, r := range p.Ranks {
		if members[r].Hall != members[p.Relay].Hall {
			t.Errorf("rank %d speaks for rank %d of another hall", p.Relay, r)
		}
	}
}

// TestTwoCoordinatorsUseOtherRelays: both may be at work for a moment as a group opens.
func TestTwoCoordinatorsUseOtherRelays(t *testing.T) {
	members, _ := spread(20, 1)
	fit := func(int) bool { return true }
	one, other := distribution.NewRelays(0, members), distribution.NewRelays(1, members)
	if x, y := one.Assign([]int{15}, fit), other.Assign([]int{15}, fit); x[0].Relay == y[0].Relay {
		t.Errorf("both speak through rank %d", x[0].Relay)
	}
}
