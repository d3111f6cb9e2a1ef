package routing

import (
	"slices"

	"clovertrail.dev/core/domain"
)

// Untried returns the options without the tried targets of a request. If that leaves none, a request that waited
// for a stopped group may use the tried ones again: its attempts ended because the group stopped, not because of these
// targets, and ranks are not known to be open again at the same time.
func Untried(options []Option, tried []domain.InstanceID, waited bool) []Option {
	if len(tried) == 0 {
		return options
	}
	untried := make([]Option, 0, len(options))
	for _, o := range options {
		if !slices.Contains(tried, o.ID) {
			untried = append(untried, o)
		}
	}
	if len(untried) == 0 && waited {
		return options
	}
	return untried
}
