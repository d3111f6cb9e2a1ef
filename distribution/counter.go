package distribution

import (
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mesh"
)

// Counter sums the counts of selected experts over the ranks of a group. It is not safe for
// concurrent use.
type Counter struct {
	shape    rebalance.Shape
	reported map[int]bool // ranks that reported since the last reset
	sum      rebalance.Load
}

// NewCounter returns a counter for a group of the shape.
func NewCounter(s rebalance.Shape) *Counter {
	c := &Counter{shape: s, reported: map[int]bool{}}
	c.clear()
	return c
}

func (c *Counter) clear() {
	c.sum = make(rebalance.Load, c.shape.Layers)
	for l := range c.sum {
		c.sum[l] = make([]float64, c.shape.Experts)
	}
	clear(c.reported)
}

// Add adds the counts of a rank, or nil if the rank has none to report, and reports whether all
// ranks have reported since the last reset. Counts of another shape are not added.
func (c *Counter) Add(rank int, p *mesh.ExpertCounts) bool { return c.AddSum([]int{rank}, p) }

// AddSum adds the summed counts of several ranks, as Add does for one.
func (c *Counter) AddSum(ranks []int, p *mesh.ExpertCounts) bool {
	for _, r := range ranks {
		c.reported[r] = true
	}
	if p != nil && len(p.Quantized) == c.shape.Layers*c.shape.Experts {
		for i := range p.Quantized {
			c.sum[i/c.shape.Experts][i%c.shape.Experts] += p.Count(i)
		}
	}
	return len(c.reported) == c.shape.Ranks
}

// SumAndReset returns the sum of the counts, by layer and expert, and resets the counter.
func (c *Counter) SumAndReset() rebalance.Load {
	sum := c.sum
	c.clear()
	return sum
}
