package distribution

import (
	"cmp"
	"slices"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
)

// partMost is how many ranks one agent reports for. With parts of about the square root of
// a group's size, the coordinator and the agents it calls send about as much each.
const partMost = 10

// Relays part the ranks of a large group, hall by hall, so that its coordinator calls
// one agent of each part, its relay, and that one to the others. Otherwise the coordinator's link
// would be the bound on how often a map can change (docs/CAPACITY.md).
//
// One goroutine owns it.
type Relays struct {
	self  int
	parts [][]int     // ranks, in order
	of    map[int]int // the part of a rank
}

// Assignment is some ranks that are spoken to through the agent of one of them.
type Assignment struct {
	Relay int // a rank of the part; NoRelay if none is fit
	Ranks []int
}

// NoRelay stands for a relay where every rank is to be spoken to by itself.
const NoRelay = -1

// NewRelays parts the members but the coordinator itself.
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
		parts := (len(ranks) + partMost - 1) / partMost
		all = slices.AppendSeq(all, slices.Chunk(ranks, (len(ranks)+parts-1)/parts))
	}
	slices.SortFunc(all, func(a, b []int) int { return cmp.Compare(a[0], b[0]) })
	r := &Relays{self: self, parts: all, of: map[int]int{}}
	for i, part := range all {
		for _, rank := range part {
			r.of[rank] = i
		}
	}
	return r
}

// Partitions is how many parts there are.
func (r *Relays) Partitions() int { return len(r.parts) }

// Assign gives through whom each of the ranks is called. fit reports whether a rank's
// agent may be a relay; the first that is reports for its part, counted from a place that
// differs from one coordinator to the next: where two are at work for a moment, they do
// not lean on the same agents.
func (r *Relays) Assign(ranks []int, fit func(rank int) bool) []Assignment {
	wanted := make([][]int, len(r.parts))
	for _, rank := range ranks {
		if i, ok := r.of[rank]; ok {
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
		for j := range r.parts[i] {
			rank := r.parts[i][(r.self+j)%len(r.parts[i])]
			if fit(rank) {
				relay = rank
				break
			}
		}
		list = append(list, Assignment{Relay: relay, Ranks: w})
	}
	return list
}
