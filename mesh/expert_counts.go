package mesh

import (
	"math"
	"slices"
)

// ExpertCounts are the numbers of tokens for which each expert was selected, layer by layer, quantized
// to one byte each. Planning needs no higher precision.
type ExpertCounts struct {
	// Unit is the number of tokens that one quantization step stands for.
	Unit float64 `json:"unit"`
	// Quantized are the counts in multiples of Unit.
	Quantized []byte `json:"steps"`
}

// NewExpertCounts quantizes the counts.
func NewExpertCounts(counts []uint64) *ExpertCounts {
	c := &ExpertCounts{Unit: 1, Quantized: make([]byte, len(counts))}
	if len(counts) == 0 {
		return c
	}
	if highest := slices.Max(counts); highest > math.MaxUint8 {
		c.Unit = float64(highest) / math.MaxUint8
	}
	for i, n := range counts {
		c.Quantized[i] = byte(math.Round(float64(n) / c.Unit))
	}
	return c
}

// Count returns the count at index i, with the error of quantization.
func (c *ExpertCounts) Count(i int) float64 { return float64(c.Quantized[i]) * c.Unit }

// SumExpertCounts adds up the counts of several ranks; nil if the list contains none. Counts of a
// length other than that of the first are skipped.
func SumExpertCounts(list []*ExpertCounts) *ExpertCounts {
	var sum []float64
	for _, c := range list {
		if c == nil || sum != nil && len(c.Quantized) != len(sum) {
			continue
		}
		if sum == nil {
			sum = make([]float64, len(c.Quantized))
		}
		for i := range sum {
			sum[i] += c.Count(i)
		}
	}
	if sum == nil {
		return nil
	}
	counts := make([]uint64, len(sum))
	for i, x := range sum {
		counts[i] = uint64(math.Round(x))
	}
	return NewExpertCounts(counts)
}
