package distribution

import (
	"cmp"
	"slices"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
)

// maxRanksPerRelay bounds the ranks that one relay calls. With about the square root of the
// group's size per relay, the coordinator and each relay send about the same amount.
const maxRanksPerRelay = 10

// Relays partitions the ranks of a large group, each data hall by itself. The coordinator calls
// one agent of each partition, its relay, which calls the others. Without relays the
// coordinator's link would limit how often a map can change (docs/CAPACITY.md).
//
// It is not safe for concurrent use.
type Relays struct {
	self        int         // the coordinator's rank
	partitions  [][]int     // ranks in ascending order
	partitionOf map[int]int // index in partitions, by rank
}

// Assignment names the relay through which ranks of one partition are called.
type Assignment struct {
	Relay int // a rank of the partition; NoRelay if none is eligible
	Ranks []int
}

// NoRelay as the relay of an assignment means that its ranks are called directly.
const NoRelay = -1

// NewRelays partitions the members except the coordinator, whose rank is self.
func NewRelays(self int, members map[int]mesh.Member) *Relays {
	halls := map[domain.HallName][]int{}
	for r, m := range members {
		if r != self {
			halls[m.Hall] = append(halls[m.Hall], r)
		}
	}
	var all [][]int
	for _, ranks := range halls {
		slices.Sort(ranks)
		partitions := (len(ranks) + maxRanksPerRelay - 1) / maxRanksPerRelay
		all = slices.AppendSeq(all, slices.Chunk(ranks, (len(ranks)+partitions-1)/partitions))
	}
	slices.SortFunc(all, func(a, b []int) int { return cmp.Compare(a[0], b[0]) })
	r := &Relays{self: self, partitions: all, partitionOf: map[int]int{}}
	for i, partition := range all {
		for _, rank := range partition {
			r.partitionOf[rank] = i
		}
	}
	return r
}

// Partitions returns the number of partitions.
func (r *Relays) Partitions() int { return len(r.partitions) }

// Assign assigns the ranks to relays, with at most one assignment per partition. The function
// eligible reports whether a rank's agent may be a relay. The relay is the first eligible rank
// of the partition, from a start index that depends on the coordinator's rank: if two
// coordinators are active for a moment, they do not load the same agents.
func (r *Relays) Assign(ranks []int, eligible func(rank int) bool) []Assignment {
	wanted := make([][]int, len(r.partitions))
	for _, rank := range ranks {
		if i, ok := r.partitionOf[rank]; ok {
			wanted[i] = append(wanted[i], rank)
		}
	}
	var list []Assignment
	for i, w := range wanted {
		if len(w) == 0 {
			continue
		}
		slices.Sort(w)
		relay := NoRelay
		for j := range r.partitions[i] {
			rank := r.partitions[i][(r.self+j)%len(r.partitions[i])]
			if eligible(rank) {
				relay = rank
				break
			}
		}
		list = append(list, Assignment{Relay: relay, Ranks: w})
	}
	return list
}
