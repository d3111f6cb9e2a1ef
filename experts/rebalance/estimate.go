package rebalance

import "math"

// Estimate smooths counts of chosen experts, layer by layer, and follows a shift at
// once: when a report is farther from the mean than noise explains, the mean starts
// over with it.
type Estimate struct {
	layers []layerEstimate
}

type layerEstimate struct {
	mean  []float64 // shares of the layer's tokens
	noise float64   // usual distance of a report from the mean
	count int       // reports since the mean started over
	calm  bool      // the last report was no jump
}

const (
	// meanWeight is the weight of one more report in a settled mean.
	meanWeight = 0.2
	// noiseWeight is the weight of one more report in the usual distance.
	noiseWeight = 0.1
	// firstNoise is the distance taken to be usual before any is known: what a few
	// dozen requests of mixed topics show between two reports.
	firstNoise = 0.12
	// jump is how many times the usual distance a report must be away to be a shift.
	jump = 2.5
)

// NewEstimate returns an estimate that has seen nothing.
func NewEstimate(s Shape) *Estimate {
	e := &Estimate{layers: make([]layerEstimate, s.Layers)}
	for l := range e.layers {
		e.layers[l] = layerEstimate{mean: make([]float64, s.Experts), noise: firstNoise}
	}
	return e
}

// Add takes what was chosen since the last report, by layer and expert.
func (e *Estimate) Add(report Load) {
	for l := range e.layers {
		e.layers[l].add(report[l])
	}
}

// Load is the shares to plan with. They must not be changed.
func (e *Estimate) Load() Load {
	load := make(Load, len(e.layers))
	for l := range e.layers {
		load[l] = e.layers[l].mean
	}
	return load
}

// Stable reports that the last report was no jump in any layer, so that the shares
// are not a mixture of before and after a shift.
func (e *Estimate) Stable() bool {
	for _, l := range e.layers {
		if !l.calm {
			return false
		}
	}
	return true
}

func (l *layerEstimate) add(tokens []float64) {
	total := 0.0
	for _, t := range tokens {
		total += t
	}
	if total == 0 {
		return
	}
	apart := 0.0
	for e, t := range tokens {
		apart += math.Abs(t/total-l.mean[e]) / 2
	}
	l.calm = l.count == 0 || apart <= jump*l.noise
	if !l.calm {
		l.count = 0
	} else if l.count > 0 {
		l.noise += noiseWeight * (apart - l.noise)
	}
	l.count++
	weight := max(meanWeight, 1/float64(l.count))
	for e, t := range tokens {
		l.mean[e] += weight * (t/total - l.mean[e])
	}
}
