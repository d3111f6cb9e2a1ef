package rebalance

import "time"

const (
	// maxPaceFactor bounds how much longer than the shortest interval reads of demand are apart.
	maxPaceFactor = 3
	// steadyReads is the number of reads in a row without a worthwhile change after which the interval
	// grows.
	steadyReads = 4
)

// Pace spaces the reads of demand: the shortest interval while the demand moves, and longer ones while
// the map in use suits it, since each read costs a response of every rank. The zero Pace reads at the
// shortest interval.
type Pace struct {
	steady int // reads in a row without a worthwhile change
}

// Interval returns the time between two reads, given the shortest one.
func (p *Pace) Interval(shortest time.Duration) time.Duration {
	return shortest * time.Duration(min(1+p.steady/steadyReads, maxPaceFactor))
}

// Planned records the outcome of a plan: whether a change of the map is worthwhile.
func (p *Pace) Planned(worthwhile bool) {
	if worthwhile {
		p.steady = 0
		return
	}
	p.steady = min(p.steady+1, steadyReads*maxPaceFactor)
}
