package rebalance

import "math"

// Estimate smooths the numbers of tokens per expert, layer by layer, and follows a shift
// at once: when a report differs from the mean by more than noise explains, the mean is
// reset to the report.
type Estimate struct {
	layers []layerEstimate
}

type layerEstimate struct {
	mean  []float64 // by expert: its share of the layer's tokens
	noise float64   // mean distance of a report from the mean
	count int       // reports since the mean was reset
	// stable reports whether the last report was not a shift.
	stable bool
}

const (
	// meanWeight is the weight of one more report in a settled mean.
	meanWeight = 0.2
	// noiseWeight is the weight of one more report in the mean distance.
	noiseWeight = 0.1
	// initialNoise is the mean distance assumed before the first reports: the distance
	// between two reports of a few dozen requests of mixed topics.
	initialNoise = 0.12
	// shiftThreshold is the distance of a report that counts as a shift, as a multiple of
	// the mean distance.
	shiftThreshold = 2.5
)

// NewEstimate returns an estimate without reports.
func NewEstimate(s Shape) *Estimate {
	e := &Estimate{layers: make([]layerEstimate, s.Layers)}
	for l := range e.layers {
		e.layers[l] = layerEstimate{mean: make([]float64, s.Experts), noise: initialNoise}
	}
	return e
}

// Add adds a report: the tokens since the last one, by layer and expert.
func (e *Estimate) Add(report Load) {
	for l := range e.layers {
		e.layers[l].add(report[l])
	}
}

// Load returns the shares to plan with. They must not be modified.
func (e *Estimate) Load() Load {
	load := make(Load, len(e.layers))
	for l := range e.layers {
		load[l] = e.layers[l].mean
	}
	return load
}

// Stable reports whether the last report was a shift in no layer, so that the shares are
// not a mixture of the loads before and after a shift.
func (e *Estimate) Stable() bool {
	for _, l := range e.layers {
		if !l.stable {
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
	distance := 0.0
	for e, t := range tokens {
		distance += math.Abs(t/total-l.mean[e]) / 2
	}
	l.stable = l.count == 0 || distance <= shiftThreshold*l.noise
	if !l.stable {
		l.count = 0
	} else if l.count > 0 {
		l.noise += noiseWeight * (distance - l.noise)
	}
	l.count++
	weight := max(meanWeight, 1/float64(l.count))
	for e, t := range tokens {
		l.mean[e] += weight * (t/total - l.mean[e])
	}
}
