package routing

import "clovertrail.dev/core/domain"

// minInSubset is the number of options of a subset, among those of the best tier, with which a box chooses
// from the subset only. With fewer it takes the others too, at once.
const minInSubset = 8

// InSubset returns the options that belong to the subset of this box, or all options if too few of the
// best tier do. Options without a group always belong to it: no reports are sent about them.
func InSubset(options []Option, has func(domain.InstanceID) bool) []Option {
	if len(options) == 0 {
		return options
	}
	best := lowestTier(options)[0].Tier
	subset, bestInSubset := make([]Option, 0, len(options)), 0
	for _, o := range options {
		if o.Group != "" && !has(o.ID) {
			continue
		}
		subset = append(subset, o)
		if o.Tier == best {
			bestInSubset++
		}
	}
	if bestInSubset < minInSubset {
		return options
	}
	return subset
}
