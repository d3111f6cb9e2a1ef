package mesh

import (
	"math"
	"slices"
)

// ExpertCounts are numbers of chosen experts, layer by layer, as one byte each: what is
// planned from them needs no more.
type ExpertCounts struct {
	// Unit is how many tokens one step of a byte stands for.
	Unit float64 `json:"unit"`
	// Quantized are the numbers in that unit.
	Quantized []byte `json:"steps"`
}

// NewExpertCounts rounds the numbers to bytes.
func NewExpertCounts(numbers []uint64) *ExpertCounts {
	p := &ExpertCounts{Unit: 1, Quantized: make([]byte, len(numbers))}
	if len(numbers) == 0 {
		return p
	}
	if most := slices.Max(numbers); most > math.MaxUint8 {
		p.Unit = float64(most) / math.MaxUint8
	}
	for i, n := range numbers {
		p.Quantized[i] = byte(math.Round(float64(n) / p.Unit))
	}
	return p
}

// Count is the number at the place i.
func (p *ExpertCounts) Count(i int) float64 { return float64(p.Quantized[i]) * p.Unit }

// SumExpertCounts adds up what several ranks chose; nil if none of them knows. All must be of
// one length.
func SumExpertCounts(list []*ExpertCounts) *ExpertCounts {
	var sum []float64
	for _, p := range list {
		if p == nil || sum != nil && len(p.Quantized) != len(sum) {
			continue
		}
		if sum == nil {
			sum = make([]float64, len(p.Quantized))
		}
		for i := range sum {
			sum[i] += p.Count(i)
		}
	}
	if sum == nil {
		return nil
	}
	numbers := make([]uint64, len(sum))
	for i, x := range sum {
		numbers[i] = uint64(math.Round(x))
	}
	return NewExpertCounts(numbers)
}
