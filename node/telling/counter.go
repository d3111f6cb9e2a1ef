package telling

import (
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mesh"
)

// Counter adds up what the ranks of a group chose since the last take.
type Counter struct {
	shape rebalance.Shape
	fresh map[int]bool // ranks that reported since the last take
	sum   rebalance.Load
}

// NewCounter returns a counter for a group of the shape.
func NewCounter(s rebalance.Shape) *Counter {
	c := &Counter{shape: s, fresh: map[int]bool{}}
	c.clear()
	return c
}

func (c *Counter) clear() {
	c.sum = make(rebalance.Load, c.shape.Layers)
	for l := range c.sum {
		c.sum[l] = make([]float64, c.shape.Experts)
	}
	clear(c.fresh)
}

// Add takes what a rank chose, or nil if that could not be had, and reports whether
// all ranks have reported since the last take.
func (c *Counter) Add(rank int, p *mesh.ExpertCounts) bool { return c.AddSum([]int{rank}, p) }

// AddSum takes what several ranks chose together, as Add does for one.
func (c *Counter) AddSum(ranks []int, p *mesh.ExpertCounts) bool {
	for _, r := range ranks {
		c.fresh[r] = true
	}
	if p != nil && len(p.Quantized) == c.shape.Layers*c.shape.Experts {
		for i := range p.Quantized {
			c.sum[i/c.shape.Experts][i%c.shape.Experts] += p.Count(i)
		}
	}
	return len(c.fresh) == c.shape.Ranks
}

// Take returns what was chosen, by layer and expert, and starts over.
func (c *Counter) Take() rebalance.Load {
	sum := c.sum
	c.clear()
	return sum
}
