package rebalance

import (
	"math"
	"slices"
)

// layer is the placement of one layer while it is being changed.
type layer struct {
	tokens []float64 // by expert
	holds  [][]int   // by rank: the experts that it holds
	ranks  [][]int   // by expert: the ranks that hold it
	load   []float64 // by rank, as a rank at the usual pace would have it
	pace   []float64 // by rank: how many times longer than usual its work takes
	fresh  []int     // by rank: experts that it has to copy in
	places int
}

func newLayer(holds [][]int, tokens, pace []float64, places int) *layer {
	l := &layer{
		tokens: tokens, pace: pace, places: places,
		holds: make([][]int, len(holds)), ranks: make([][]int, len(tokens)),
		load: make([]float64, len(holds)), fresh: make([]int, len(holds)),
	}
	for r, list := range holds {
		l.holds[r] = slices.Clone(list)
		for _, e := range list {
			l.ranks[e] = append(l.ranks[e], r)
		}
	}
	for r := range l.load {
		for _, e := range l.holds[r] {
			l.load[r] += l.share(e) * pace[r]
		}
	}
	return l
}

// share is what each holder of the expert has to do for it.
func (l *layer) share(e int) float64 { return l.tokens[e] / float64(len(l.ranks[e])) }

// hottest is the load of the most loaded rank.
func (l *layer) hottest() float64 { return slices.Max(l.load) }

// uneven is a smooth stand-in for the load of the hottest rank: the eighth norm. It
// also falls when one of several equally hot ranks gets less to do.
func (l *layer) uneven() float64 {
	sum := 0.0
	for _, x := range l.load {
		sum += eighth(x)
	}
	return root(sum)
}

func eighth(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

func root(x float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(x))) }

// change adds a copy of an expert to a rank. It may take away the copy of another
// expert there, to make room, and the expert's own copy on a third rank.
type change struct {
	expert, to int
	evict      int // expert that makes room; none if there is room
	from       int // rank that gives its copy up; none if it keeps it
	gain       float64
}

const none = -1

// best finds the change that evens the layer out the most, among ranks that may
// still copy; its gain is not positive if there is none.
func (l *layer) best(mayCopy func(rank int) bool) change {
	best := change{}
	before := l.uneven()
	hot := l.argmax()
	for _, e := range l.holds[hot] {
		for to := range l.holds {
			if to == hot || !mayCopy(to) || slices.Contains(l.ranks[e], to) {
				continue
			}
			for _, from := range []int{none, hot} {
				c := change{expert: e, to: to, evict: l.toEvict(to), from: from}
				if c.evict == none && len(l.holds[to]) >= l.places {
					continue
				}
				if c.gain = before - l.after(c); c.gain > best.gain {
					best = c
				}
			}
		}
	}
	return best
}

func (l *layer) argmax() int {
	hot := 0
	for r, x := range l.load {
		if x > l.load[hot] {
			hot = r
		}
	}
	return hot
}

// toEvict is the expert whose copy on the rank is missed the least, if the rank is
// full; none if it is not, or if all its experts are held by it alone.
func (l *layer) toEvict(r int) int {
	if len(l.holds[r]) < l.places {
		return none
	}
	least := none
	for _, e := range l.holds[r] {
		if len(l.ranks[e]) > 1 && (least == none || l.share(e) < l.share(least)) {
			least = e
		}
	}
	return least
}

// after is how uneven the layer would be after the change.
func (l *layer) after(c change) float64 {
	load := append(make([]float64, 0, maxRanks), l.load...)
	l.addTo(load, c)
	sum := 0.0
	for _, x := range load {
		sum += eighth(x)
	}
	return root(sum)
}

// maxRanks keeps the scratch of after on the stack for groups of usual size.
const maxRanks = 64

// addTo puts the effect of the change on the loads of ranks.
func (l *layer) addTo(load []float64, c change) {
	e, t := c.expert, l.tokens[c.expert]
	n := float64(len(l.ranks[e]))
	m := n + 1
	if c.from != none {
		m = n
	}
	for _, r := range l.ranks[e] {
		load[r] -= t / n * l.pace[r]
		if r != c.from {
			load[r] += t / m * l.pace[r]
		}
	}
	load[c.to] += t / m * l.pace[c.to]
	if c.evict != none {
		k := float64(len(l.ranks[c.evict]))
		for _, r := range l.ranks[c.evict] {
			load[r] -= l.tokens[c.evict] / k * l.pace[r]
			if r != c.to {
				load[r] += l.tokens[c.evict] / (k - 1) * l.pace[r]
			}
		}
	}
}

// apply makes the change.
func (l *layer) apply(c change) {
	l.addTo(l.load, c)
	if c.evict != none {
		l.drop(c.evict, c.to)
	}
	if c.from != none {
		l.drop(c.expert, c.from)
	}
	l.holds[c.to] = append(l.holds[c.to], c.expert)
	l.ranks[c.expert] = append(l.ranks[c.expert], c.to)
	l.fresh[c.to]++
}

func (l *layer) drop(e, r int) {
	i := slices.Index(l.holds[r], e)
	l.holds[r] = slices.Delete(l.holds[r], i, i+1)
	i = slices.Index(l.ranks[e], r)
	l.ranks[e] = slices.Delete(l.ranks[e], i, i+1)
}
