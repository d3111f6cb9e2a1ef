package rebalance

import (
	"cmp"
	"math"
	"slices"
)

// layer is the placement of one layer while a plan changes it.
type layer struct {
	tokens    []float64 // by expert
	experts   [][]int   // by rank: the experts that it holds
	ranks     [][]int   // by expert: the ranks that hold it
	load      []float64 // by rank: its tokens times its slowdown
	slowdowns []float64 // by rank: how many times longer than usual its work takes
	copies    []int     // by rank: number of experts that it has to copy
	slots     int       // per rank

	norm     float64   // sum of the eighth powers of load
	delta    []float64 // by rank: the load that the evaluated change adds; zero between evaluations
	affected []int     // ranks whose load the evaluated change affects
}

func newLayer(experts [][]int, tokens, slowdowns []float64, slots int) *layer {
	l := &layer{
		tokens: tokens, slowdowns: slowdowns, slots: slots,
		experts: make([][]int, len(experts)), ranks: make([][]int, len(tokens)),
		load: make([]float64, len(experts)), copies: make([]int, len(experts)),
		delta: make([]float64, len(experts)),
	}
	for r, list := range experts {
		l.experts[r] = slices.Clone(list)
		for _, e := range list {
			l.ranks[e] = append(l.ranks[e], r)
		}
	}
	for r := range l.load {
		for _, e := range l.experts[r] {
			l.load[r] += l.copyTokens(e) * slowdowns[r]
		}
	}
	l.recomputeNorm()
	return l
}

// recomputeNorm computes norm from load, so that rounding errors do not accumulate in it.
func (l *layer) recomputeNorm() {
	l.norm = 0
	for _, x := range l.load {
		l.norm += pow8(x)
	}
}

// copyTokens returns the tokens of each copy of the expert.
func (l *layer) copyTokens(e int) float64 { return l.tokens[e] / float64(len(l.ranks[e])) }

// maxLoad returns the load of the most loaded rank.
func (l *layer) maxLoad() float64 { return slices.Max(l.load) }

// unevenness returns a smooth approximation of the load of the hottest rank: the eighth
// norm. It also falls when the load of one of several equally hot ranks does.
func (l *layer) unevenness() float64 { return root8(l.norm) }

func pow8(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

func root8(x float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(x))) }

// change adds a copy of an expert to a rank. It may evict another expert there, to free
// a slot, and may remove the expert from a third rank.
type change struct {
	expert, to int
	evict      int     // expert that is evicted from the rank; none if a slot is free
	from       int     // rank that the expert is removed from; none if it is only copied
	gain       float64 // reduction of the layer's unevenness
}

const none = -1

// maxReceivers bounds the ranks that are considered for a new copy, the least loaded first:
// a more loaded rank is seldom the best receiver, and in groups of more ranks the bound
// reduces the planning time to a fraction.
const maxReceivers = 32

// bestChange returns the change that reduces the layer's unevenness the most, among ranks
// that may still copy; its gain is zero if no change reduces it.
func (l *layer) bestChange(mayCopy func(rank int) bool) change {
	best := change{}
	before := l.unevenness()
	hot := l.hottestRank()
	for _, to := range l.receivers(hot, mayCopy) {
		evict := l.evictable(to)
		if evict == none && len(l.experts[to]) >= l.slots {
			continue
		}
		for _, e := range l.experts[hot] {
			if slices.Contains(l.ranks[e], to) {
				continue
			}
			for _, from := range []int{none, hot} {
				c := change{expert: e, to: to, evict: evict, from: from}
				if c.gain = before - l.unevennessAfter(c); c.gain > best.gain {
					best = c
				}
			}
		}
	}
	return best
}

// receivers returns the ranks to consider for a copy of an expert of the hottest rank.
func (l *layer) receivers(hot int, mayCopy func(rank int) bool) []int {
	var list []int
	for to := range l.experts {
		if to != hot && mayCopy(to) {
			list = append(list, to)
		}
	}
	if len(list) <= maxReceivers {
		return list
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(l.load[a], l.load[b]) })
	return list[:maxReceivers]
}

func (l *layer) hottestRank() int {
	hot := 0
	for r, x := range l.load {
		if x > l.load[hot] {
			hot = r
		}
	}
	return hot
}

// evictable returns the expert whose copy on the rank has the fewest tokens, among those
// with copies on other ranks; none if there is no such expert or the rank has a free slot.
func (l *layer) evictable(r int) int {
	if len(l.experts[r]) < l.slots {
		return none
	}
	least := none
	for _, e := range l.experts[r] {
		if len(l.ranks[e]) > 1 && (least == none || l.copyTokens(e) < l.copyTokens(least)) {
			least = e
		}
	}
	return least
}

// unevennessAfter returns the unevenness of the layer after the change. It only computes the
// loads of the affected ranks: a handful out of dozens.
func (l *layer) unevennessAfter(c change) float64 {
	l.evaluate(c)
	sum := l.norm
	for _, r := range l.affected {
		sum += pow8(l.load[r]+l.delta[r]) - pow8(l.load[r])
		l.delta[r] = 0
	}
	return root8(max(sum, 0))
}

// evaluate computes the load that the change adds to each rank.
func (l *layer) evaluate(c change) {
	l.affected = l.affected[:0]
	e, t := c.expert, l.tokens[c.expert]
	n := float64(len(l.ranks[e]))
	m := n + 1
	if c.from != none {
		m = n
	}
	for _, r := range l.ranks[e] {
		l.addDelta(r, -t/n)
		if r != c.from {
			l.addDelta(r, t/m)
		}
	}
	l.addDelta(c.to, t/m)
	if c.evict == none {
		return
	}
	k, u := float64(len(l.ranks[c.evict])), l.tokens[c.evict]
	for _, r := range l.ranks[c.evict] {
		l.addDelta(r, -u/k)
		if r != c.to {
			l.addDelta(r, u/(k-1))
		}
	}
}

// addDelta adds tokens to the evaluated change of a rank's load. It may list the rank as
// affected twice: the second entry adds nothing, since the delta is cleared with the first.
func (l *layer) addDelta(r int, tokens float64) {
	l.affected = append(l.affected, r)
	l.delta[r] += tokens * l.slowdowns[r]
}

func (l *layer) apply(c change) {
	l.evaluate(c)
	for _, r := range l.affected {
		l.load[r] += l.delta[r]
		l.delta[r] = 0
	}
	l.recomputeNorm()
	if c.evict != none {
		l.remove(c.evict, c.to)
	}
	if c.from != none {
		l.remove(c.expert, c.from)
	}
	l.experts[c.to] = append(l.experts[c.to], c.expert)
	l.ranks[c.expert] = append(l.ranks[c.expert], c.to)
	l.copies[c.to]++
}

func (l *layer) remove(e, r int) {
	i := slices.Index(l.experts[r], e)
	l.experts[r] = slices.Delete(l.experts[r], i, i+1)
	i = slices.Index(l.ranks[e], r)
	l.ranks[e] = slices.Delete(l.ranks[e], i, i+1)
}
