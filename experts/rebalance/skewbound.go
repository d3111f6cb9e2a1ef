package rebalance

// SkewLowerBound returns the lowest skew that any map of the shape can have under the load.
// The skew is the load of the hottest rank of each layer, summed over the layers, divided
// by the same sum for evenly loaded ranks. It cannot reach 1 under every load, since an
// expert's tokens are split evenly over its copies, and the number of slots is limited.
func SkewLowerBound(s Shape, load Load) float64 {
	hot, even := 0.0, 0.0
	for _, tokens := range load {
		total := 0.0
		for _, t := range tokens {
			total += t
		}
		even += total / float64(s.Ranks)
		hot += max(total/float64(s.Ranks), largestCopy(s, tokens))
	}
	if even == 0 {
		return 1
	}
	return hot / even
}

// largestCopy returns the tokens of the most loaded copy of an expert, if each free slot
// goes to the expert whose copies have the most.
func largestCopy(s Shape, tokens []float64) float64 {
	copies := make([]int, len(tokens))
	for e := range copies {
		copies[e] = 1
	}
	for free := s.Ranks*s.Slots - len(tokens); ; free-- {
		hot := -1
		for e, t := range tokens {
			if hot < 0 || t/float64(copies[e]) > tokens[hot]/float64(copies[hot]) {
				hot = e
			}
		}
		if free <= 0 || copies[hot] >= s.Ranks {
			return tokens[hot] / float64(copies[hot])
		}
		copies[hot]++
	}
}
