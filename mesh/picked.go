package mesh

import (
	"math"
	"slices"
)

// Picked are numbers of chosen experts, layer by layer, as one byte each: what is
// planned from them needs no more.
type Picked struct {
	// Unit is how many tokens one step of a byte stands for.
	Unit float64 `json:"unit"`
	// Steps are the numbers in that unit.
	Steps []byte `json:"steps"`
}

// Pack rounds the numbers to bytes.
func Pack(numbers []uint64) *Picked {
	p := &Picked{Unit: 1, Steps: make([]byte, len(numbers))}
	if len(numbers) == 0 {
		return p
	}
	if most := slices.Max(numbers); most > math.MaxUint8 {
		p.Unit = float64(most) / math.MaxUint8
	}
	for i, n := range numbers {
		p.Steps[i] = byte(math.Round(float64(n) / p.Unit))
	}
	return p
}

// Number is the number at the place i.
func (p *Picked) Number(i int) float64 { return float64(p.Steps[i]) * p.Unit }

// Sum adds up what several ranks chose; nil if none of them knows. All must be of
// one length.
func Sum(list []*Picked) *Picked {
	var sum []float64
	for _, p := range list {
		if p == nil || sum != nil && len(p.Steps) != len(sum) {
			continue
		}
		if sum == nil {
			sum = make([]float64, len(p.Steps))
		}
		for i := range sum {
			sum[i] += p.Number(i)
		}
	}
	if sum == nil {
		return nil
	}
	numbers := make([]uint64, len(sum))
	for i, x := range sum {
		numbers[i] = uint64(math.Round(x))
	}
	return Pack(numbers)
}
