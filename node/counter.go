package node

import "clovertrail.dev/experts/rebalance"

// counter turns the running counts of ranks into what was chosen since the last
// take.
type counter struct {
	shape rebalance.Shape
	last  map[int][]uint64 // by rank
	fresh map[int]bool     // ranks that reported since the last take
	sum   [][]float64
}

func newCounter(s rebalance.Shape) *counter {
	c := &counter{shape: s, last: map[int][]uint64{}, fresh: map[int]bool{}}
	c.clear()
	return c
}

func (c *counter) clear() {
	c.sum = make([][]float64, c.shape.Layers)
	for l := range c.sum {
		c.sum[l] = make([]float64, c.shape.Experts)
	}
	clear(c.fresh)
}

// add takes the counts of a rank, or none if they could not be had, and tells
// whether all ranks have reported since the last take.
func (c *counter) add(rank int, counts []uint64) bool {
	c.fresh[rank] = true
	if len(counts) != c.shape.Layers*c.shape.Experts {
		return len(c.fresh) == c.shape.Ranks
	}
	if last, ok := c.last[rank]; ok {
		for i, n := range counts {
			if n >= last[i] { // else the rank started again
				c.sum[i/c.shape.Experts][i%c.shape.Experts] += float64(n - last[i])
			}
		}
	}
	c.last[rank] = counts
	return len(c.fresh) == c.shape.Ranks
}

// take returns what was chosen, by layer and expert, and starts over.
func (c *counter) take() [][]float64 {
	sum := c.sum
	c.clear()
	return sum
}
