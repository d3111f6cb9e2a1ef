package shiftmodel_test

import (
	"slices"

	"clovertrail.dev/experts/rebalance"
)

func newLoad(s rebalance.Shape) rebalance.Load {
	l := make(rebalance.Load, s.Layers)
	for i := range l {
		l[i] = make([]float64, s.Experts)
	}
	return l
}

func clone(l rebalance.Load) rebalance.Load {
	out := make(rebalance.Load, len(l))
	for i := range l {
		out[i] = slices.Clone(l[i])
	}
	return out
}

func addLoad(to, from rebalance.Load) {
	for l := range to {
		for e := range to[l] {
			to[l][e] += from[l][e]
		}
	}
}

func clearLoad(l rebalance.Load) {
	for i := range l {
		clear(l[i])
	}
}
