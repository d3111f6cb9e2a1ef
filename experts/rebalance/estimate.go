package rebalance

import "math"

// Estimate smooths the numbers of tokens per expert, layer by layer, and follows a shift
// at once: when a report differs from the mean by more than noise explains, the mean is
// reset to the report. A shift that is expected, since a step was long, is recognised by all
// layers together, from a smaller difference.
type Estimate struct {
	layers []layerEstimate
	// expected is the number of further reports in which an expected shift is looked for.
	expected int
}

type layerEstimate struct {
	mean   []float64 // by expert: its share of the layer's tokens
	noise  float64   // mean distance of a report from the mean
	usual  float64   // mean tokens of a report
	count  int       // reports since the mean was reset
	tokens float64   // tokens of these reports
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
	// expectedShiftThreshold is the same for an expected shift, as a multiple of the mean over the
	// layers of both distances: their errors cancel over the layers.
	expectedShiftThreshold = 1.25
	// expectedReports is the number of reports in which an expected shift is looked for: an
	// engine may count the choices of a step only as the step ends, and the first report may be
	// requested during the long step.
	expectedReports = 3
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

// ExpectShift looks for a shift in the next reports, since a step was long.
func (e *Estimate) ExpectShift() { e.expected = expectedReports }

// AddExpected adds a report as Add does if no shift is expected. If one is, the expected demand of
// the part of the report from before the long step, a share of 0 to 1, is subtracted, and the mean
// is reset to what remains if that differs from it by more than noise explains. The smaller the
// remaining part is, the larger is its noise.
func (e *Estimate) AddExpected(report Load, before float64) {
	if e.expected == 0 {
		e.Add(report)
		return
	}
	e.expected--
	after := make(Load, len(e.layers))
	distance, noise := 0.0, 0.0
	for l := range e.layers {
		after[l] = e.layers[l].subtract(report[l], before)
		distance += e.layers[l].distance(after[l])
		noise += e.layers[l].noiseOf(sum(report[l])) / (1 - before)
	}
	if distance <= expectedShiftThreshold*noise {
		e.Add(report)
		return
	}
	e.expected = 0
	for l := range e.layers {
		e.layers[l].count = 0
		e.layers[l].add(after[l])
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
	total := sum(tokens)
	if total == 0 {
		return
	}
	distance := l.distance(tokens)
	l.stable = l.count == 0 || distance <= shiftThreshold*l.noise
	if !l.stable {
		l.count = 0
	} else if l.count > 0 {
		l.noise += noiseWeight * (distance - l.noise)
	}
	if l.count == 0 {
		l.tokens = 0
	}
	if l.usual == 0 {
		l.usual = total
	}
	l.usual += noiseWeight * (total - l.usual)
	l.count++
	l.tokens += total
	weight := max(meanWeight, total/l.tokens)
	for e, t := range tokens {
		l.mean[e] += weight * (t/total - l.mean[e])
	}
}

// distance returns the distance of a report from the mean: half of the sum of the differences of
// the shares; 0 for a report without tokens.
func (l *layerEstimate) distance(tokens []float64) float64 {
	total, distance := sum(tokens), 0.0
	if total == 0 {
		return 0
	}
	for e, t := range tokens {
		distance += math.Abs(t/total-l.mean[e]) / 2
	}
	return distance
}

// noiseOf returns the mean distance from the mean of a report with the number of tokens: the fewer
// they are, the more the report differs by chance.
func (l *layerEstimate) noiseOf(tokens float64) float64 {
	if tokens <= 0 || l.usual == 0 {
		return l.noise
	}
	return l.noise * math.Sqrt(max(l.usual/tokens, 1))
}

// subtract returns a report without the share of it that the mean explains.
func (l *layerEstimate) subtract(tokens []float64, share float64) []float64 {
	total := sum(tokens)
	out := make([]float64, len(tokens))
	for e, t := range tokens {
		out[e] = max(t-share*total*l.mean[e], 0)
	}
	return out
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}
