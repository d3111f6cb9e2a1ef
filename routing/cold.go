package routing

import (
	"slices"
	"time"
)

// WithoutCold returns the options that are not cold while these have spare capacity, and all options
// otherwise. Cold targets take only a few requests and each needs a permit, but they are better than a
// wait.
func (b *Balancer) WithoutCold(now time.Time, options []Option) []Option {
	warm := slices.DeleteFunc(slices.Clone(options), func(o Option) bool { return o.Cold })
	best := lowestTier(warm)
	switch {
	case len(warm) == len(options), len(warm) == 0:
		return options
	case best[0].Tier > lowestTier(options)[0].Tier:
		return options
	case b.utilisationWith(now, best, 1) > maxSpareUtilisation:
		return options
	default:
		return warm
	}
}
