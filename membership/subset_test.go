package membership_test

import (
	"fmt"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// TestSubsetsOfLargeFleetsAreEven guards against state that grows with boxes times targets: in a fleet
// of hundreds of boxes each considers a part of the targets, whose size follows the number of targets
// for each box and not the fleet. Each target is considered by about as many boxes, and each box has
// ranks of every group, or of all but one. In fleets of up to 64 boxes each considers all.
func TestSubsetsOfLargeFleetsAreEven(t *testing.T) {
	const groups, ranks = 6, 96
	for _, tc := range []struct {
		boxes, targets int
		most           int // targets that a box considers at the most
	}{
		{64, groups * ranks, groups * ranks}, {432, groups * ranks, 130}, {1000, 2 * groups * ranks, 130},
	} {
		considered, sizes := map[string]int{}, 0
		for b := range tc.boxes {
			s := membership.NewSubset(domain.BoxID(fmt.Sprintf("front-hall-%d", b)), tc.boxes)
			size, inGroup := 0, map[int]int{}
			for i := range tc.targets {
				if x := rankOf(i, ranks); s.Has(x) {
					considered[string(x.ID())]++
					inGroup[i/ranks]++
					size++
				}
			}
			sizes += size
			if size > tc.most || len(inGroup) < tc.targets/ranks-1 {
				t.Errorf("%d boxes: box %d considers %d targets of %d groups, want at most %d of all groups but one", tc.boxes, b, size, len(inGroup), tc.most)
			}
		}
		mean := float64(sizes) / float64(tc.targets)
		for id, n := range considered {
			if float64(n) < mean/2 || float64(n) > mean*1.5 {
				t.Errorf("%d boxes: %s is considered by %d boxes, the mean is %.0f", tc.boxes, id, n, mean)
			}
		}
		if len(considered) != tc.targets {
			t.Errorf("%d boxes: %d of %d targets are considered", tc.boxes, len(considered), tc.targets)
		}
	}
}

// TestSubsetHasRanksOfEveryGroup checks that a box of a fleet of 1,000 boxes follows ranks of each of twelve groups.
func TestSubsetHasRanksOfEveryGroup(t *testing.T) {
	const boxes, groups, ranks = 1000, 12, 96
	for b := range boxes {
		s := membership.NewSubset(domain.BoxID(fmt.Sprintf("front-hall-%d", b)), boxes)
		inGroup := map[int]bool{}
		for i := range groups * ranks {
			if s.Has(rankOf(i, ranks)) {
				inGroup[i/ranks] = true
			}
		}
		if len(inGroup) < groups {
			t.Errorf("box %d follows ranks of %d of %d groups", b, len(inGroup), groups)
		}
	}
}

// rankOf returns the i-th target of groups of the given number of ranks.
func rankOf(i, ranks int) domain.Target {
	id := fmt.Sprintf("i-%010x@1764720000123", i*2654435761)
	return *target(id, domain.TargetReady, &domain.Rank{Group: domain.GroupName(fmt.Sprint("g-", i/ranks)), Number: i % ranks, Size: ranks})
}
