package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// recentLoss is the longest time from when a target was first found unreachable in which it may have ended together with one
// that has just ended.
const recentLoss = time.Second

// Siblings returns the other listed targets of the target's service, without those that have been unreachable for
// longer; none if the target is not listed.
func (r *Roster) Siblings(now time.Time, id domain.InstanceID) []domain.Target {
	t, ok := r.Get(id)
	if !ok {
		return nil
	}
	var list []domain.Target
	for _, e := range r.ofService(t.Service()) {
		if e.target.ID() != id && !e.health.unreachableFor(now, recentLoss) {
			list = append(list, e.target)
		}
	}
	return list
}
