package membership

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"clovertrail.dev/core/domain"
)

// boxesPerTarget is the number of boxes that consider the same target, where there are more: enough that
// the load of targets is even, while what a box receives about targets does not grow with the fleet.
const boxesPerTarget = 64

// Subset is the part of all targets that a box of a large fleet receives the status of and chooses from
// (deterministic subsetting). It has a share of the ranks of each group, so that a box reaches every group.
// Which ranks belong to it follows from a hash of the box and the group, so that other boxes can determine
// it, and a target that comes or goes changes nothing else.
type Subset struct {
	Box   domain.BoxID
	Share float64 // of the ranks of each group, from 0 to 1
}

// NewSubset returns the subset of the box in a fleet of the given number of boxes.
func NewSubset(box domain.BoxID, boxes int) Subset {
	return Subset{Box: box, Share: min(1, boxesPerTarget/float64(max(boxes, 1)))}
}

// All reports whether the subset has all targets.
func (s Subset) All() bool { return s.Share >= 1 }

// Has reports whether the target belongs to the subset. Targets without a group always do: no reports are
// sent about them. The ranks of a group are divided into strata of adjacent ranks, and one rank of each
// stratum belongs to the subset: adjacent ranks are often in the same data hall or rack.
func (s Subset) Has(t domain.Target) bool {
	rank, grouped := t.Rank()
	if s.All() || !grouped {
		return true
	}
	strata := min(rank.Size, max(1, int(math.Ceil(s.Share*float64(rank.Size)))))
	stratum := rank.Number * strata / rank.Size
	first := ceilDiv(stratum*rank.Size, strata)
	size := ceilDiv((stratum+1)*rank.Size, strata) - first
	return rank.Number == first+int(s.hash(rank.Group, stratum)%uint64(size))
}

// Select returns the targets of the list that belong to the subset.
func (s Subset) Select(list []domain.Target) map[domain.InstanceID]bool {
	selected := map[domain.InstanceID]bool{}
	for _, t := range list {
		if s.Has(t) {
			selected[t.ID()] = true
		}
	}
	return selected
}

func (s Subset) hash(g domain.GroupName, stratum int) uint64 {
	key := binary.BigEndian.AppendUint32(make([]byte, 0, 64), uint32(stratum))
	key = append(append(key, g...), 0)
	return xxhash.Sum64(append(key, s.Box...))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
