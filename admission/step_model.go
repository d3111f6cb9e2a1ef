package admission

import "math"

// stepModel is the usual length of a group's steps as a function of the load: base * (1 + growth * load),
// with the load as a share of the group's slots. It fits the line to the lengths seen at different loads. The
// fit leans on a prior, since a constant load carries no information on the growth.
type stepModel struct {
	// Moments of the observations, each weighted by how recent it is.
	weight, loads, lengths, squares, products float64

	unusual int // number of observations in a row that were too far from the line
}

const (
	// priorGrowth is the growth without observations. Running requests then make up 0.4 of a step with all slots
	// in use: the rest is work that a step has however few requests run.
	priorGrowth = 2.0 / 3
	// minGrowth and maxGrowth bound the growth: from a tenth to 0.6 of a step with all slots in use.
	minGrowth, maxGrowth = 1.0 / 9, 1.5
	// priorSpread is the standard deviation of the load at which observations and the prior have equal weight.
	// Reports that are late by some hundred milliseconds scatter the load by a few hundredths.
	priorSpread = 0.05
	// modelMemory is the number of observations after which the weight of one has fallen to 1/e: about half a
	// minute of them, in which the load usually varies, while ranks and maps change less often.
	modelMemory = 300
	// maxDeviation is the largest ratio of a length and the line. Steps that a shift of demand lengthens
	// also raise the load, since streams then take longer, and would feign a growth.
	maxDeviation = 1.2
	// relearnAfter is the number of observations in a row beyond maxDeviation after which the model starts
	// anew: more than a shift of demand takes.
	relearnAfter = 100
)

// observe adds the length of a step that ran at the load.
func (m *stepModel) observe(load, length float64) {
	if m.weight > 0 {
		if ratio := m.base(load, length) / m.base(m.loads/m.weight, m.lengths/m.weight); ratio > maxDeviation || ratio < 1/maxDeviation {
			if m.unusual++; m.unusual > relearnAfter {
				*m = stepModel{}
			}
			return
		}
	}
	m.unusual = 0
	keep := math.Exp(-1.0 / modelMemory)
	m.weight = m.weight*keep + 1
	m.loads = m.loads*keep + load
	m.lengths = m.lengths*keep + length
	m.squares = m.squares*keep + load*load
	m.products = m.products*keep + load*length
}

// growth returns by how much a step lengthens from no load to all slots in use, relative to one without load.
func (m *stepModel) growth() float64 {
	if m.weight == 0 {
		return priorGrowth
	}
	load, length := m.loads/m.weight, m.lengths/m.weight
	variance := max(m.squares/m.weight-load*load, 0)
	covariance := m.products/m.weight - load*length
	prior := length * priorGrowth / (1 + priorGrowth*load)
	slope := (covariance + priorSpread*priorSpread*prior) / (variance + priorSpread*priorSpread)
	base := length - slope*load
	if base <= 0 {
		return maxGrowth
	}
	return min(max(slope/base, minGrowth), maxGrowth)
}

// base returns the length without load of a step that has the length at the load.
func (m *stepModel) base(load, length float64) float64 { return length / (1 + m.growth()*load) }

// loadAt returns the load at which a step with the base has the length.
func (m *stepModel) loadAt(base, length float64) float64 { return (length/base - 1) / m.growth() }
