package shiftmodel_test

import (
	"math"
	"math/rand/v2"

	"clovertrail.dev/experts/rebalance"
)

// hottest are the shares of the hottest experts of a layer; the others share the rest in falling
// amounts. The shape is that of logged loads; the experts at each place change with a shift.
var hottest = []float64{0.036, 0.026, 0.021, 0.018, 0.016, 0.015, 0.015, 0.014}

const (
	// tailExponent makes the coldest expert of a layer of 144 have a third of the mean.
	tailExponent = 0.35
	// streams and promptsPerSecond are the requests of the group: running streams, and prompts
	// that are processed. Each request prefers some experts (see noise).
	streams, promptsPerSecond = 500, 100
	// picksPerStream are the picks of a stream in a layer and step, picksPerPrompt those of a prompt:
	// two for each of its 800 tokens.
	picksPerStream, picksPerPrompt = 16, 1600
)

// demand is the distribution of picks over the experts of each layer.
type demand struct {
	rand       *rand.Rand
	preference float64 // standard deviation of a request's preference for an expert, relative to its mean
	shares     rebalance.Load
}

// shift gives the places of a random half of the experts to others of them, so that the sorted shape
// stays the same; the first call gives all.
func (d *demand) shift(s rebalance.Shape) {
	if d.shares == nil {
		d.shares = newLoad(s)
		for _, shares := range d.shares {
			for place, e := range d.rand.Perm(s.Experts) {
				shares[e] = shapeAt(place, s.Experts)
			}
		}
		return
	}
	for _, shares := range d.shares {
		moved := d.rand.Perm(s.Experts)[:s.Experts/2]
		first := shares[moved[0]]
		for i := range len(moved) - 1 {
			shares[moved[i]] = shares[moved[i+1]]
		}
		shares[moved[len(moved)-1]] = first
	}
}

// shapeAt returns the share of the expert at a place of the sorted shape.
func shapeAt(place, experts int) float64 {
	if place < len(hottest) {
		return hottest[place]
	}
	rest, weights := 1.0, 0.0
	for _, h := range hottest {
		rest -= h
	}
	for p := len(hottest); p < experts; p++ {
		weights += math.Pow(float64(p), -tailExponent)
	}
	return rest * math.Pow(float64(place), -tailExponent) / weights
}

// step adds the picks of a step to the counts.
func (d *demand) step(counts rebalance.Load, prompts float64) {
	for l, shares := range d.shares {
		for e, share := range shares {
			picks := share * (streams*picksPerStream*d.noise(streams) + prompts*picksPerPrompt*d.noise(prompts))
			counts[l][e] += picks
		}
	}
}

// noise returns the mean preference of a number of requests for an expert, relative to that of all.
func (d *demand) noise(requests float64) float64 {
	return max(1+d.preference*d.rand.NormFloat64()/math.Sqrt(max(requests, 1)), 0)
}
