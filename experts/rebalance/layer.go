package rebalance

import (
	"cmp"
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

	norm    float64   // sum of the eighth powers of load
	shifted []float64 // by rank: what a change that is tried adds to load; zero between tries
	touched []int     // ranks that the change touches
}

func newLayer(holds [][]int, tokens, pace []float64, places int) *layer {
	l := &layer{
		tokens: tokens, pace: pace, places: places,
		holds: make([][]int, len(holds)), ranks: make([][]int, len(tokens)),
		load: make([]float64, len(holds)), fresh: make([]int, len(holds)),
		shifted: make([]float64, len(holds)),
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
	l.addUp()
	return l
}

// addUp sets norm anew, so that rounding does not gather in it.
func (l *layer) addUp() {
	l.norm = 0
	for _, x := range l.load {
		l.norm += eighth(x)
	}
}

// share is what each holder of the expert has to do for it.
func (l *layer) share(e int) float64 { return l.tokens[e] / float64(len(l.ranks[e])) }

// hottest is the load of the most loaded rank.
func (l *layer) hottest() float64 { return slices.Max(l.load) }

// uneven is a smooth stand-in for the load of the hottest rank: the eighth norm. It
// also falls when one of several equally hot ranks gets less to do.
func (l *layer) uneven() float64 { return root(l.norm) }

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

// lookMost is how many ranks are looked at for a new copy, the least loaded first: a
// copy seldom goes to another, and in groups of more ranks a plan takes a fraction of the time.
const lookMost = 32

// best finds the change that evens the layer out the most, among ranks that may
// still copy; its gain is not positive if there is none.
func (l *layer) best(mayCopy func(rank int) bool) change {
	best := change{}
	before := l.uneven()
	hot := l.argmax()
	for _, to := range l.receivers(hot, mayCopy) {
		evict := l.toEvict(to)
		if evict == none && len(l.holds[to]) >= l.places {
			continue
		}
		for _, e := range l.holds[hot] {
			if slices.Contains(l.ranks[e], to) {
				continue
			}
			for _, from := range []int{none, hot} {
				c := change{expert: e, to: to, evict: evict, from: from}
				if c.gain = before - l.after(c); c.gain > best.gain {
					best = c
				}
			}
		}
	}
	return best
}

// receivers are the ranks that may take a copy from the hot one.
func (l *layer) receivers(hot int, mayCopy func(rank int) bool) []int {
	var list []int
	for to := range l.holds {
		if to != hot && mayCopy(to) {
			list = append(list, to)
		}
	}
	if len(list) <= lookMost {
		return list
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(l.load[a], l.load[b]) })
	return list[:lookMost]
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

// after is how uneven the layer would be after the change. Only the ranks that it touches
// are worked out: a handful, of dozens.
func (l *layer) after(c change) float64 {
	l.try(c)
	sum := l.norm
	for _, r := range l.touched {
		sum += eighth(l.load[r]+l.shifted[r]) - eighth(l.load[r])
		l.shifted[r] = 0
	}
	return root(max(sum, 0))
}

// try works out what the change adds to the loads of ranks.
func (l *layer) try(c change) {
	l.touched = l.touched[:0]
	e, t := c.expert, l.tokens[c.expert]
	n := float64(len(l.ranks[e]))
	m := n + 1
	if c.from != none {
		m = n
	}
	for _, r := range l.ranks[e] {
		l.shift(r, -t/n)
		if r != c.from {
			l.shift(r, t/m)
		}
	}
	l.shift(c.to, t/m)
	if c.evict == none {
		return
	}
	k, u := float64(len(l.ranks[c.evict])), l.tokens[c.evict]
	for _, r := range l.ranks[c.evict] {
		l.shift(r, -u/k)
		if r != c.to {
			l.shift(r, u/(k-1))
		}
	}
}

// shift notes that a rank gets so many tokens more. A rank may be noted twice: the second
// time adds nothing, since its shift is cleared with the first.
func (l *layer) shift(r int, tokens float64) {
	l.touched = append(l.touched, r)
	l.shifted[r] += tokens * l.pace[r]
}

// apply makes the change.
func (l *layer) apply(c change) {
	l.try(c)
	for _, r := range l.touched {
		l.load[r] += l.shifted[r]
		l.shifted[r] = 0
	}
	l.addUp()
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
