package membership

import "clovertrail.dev/core/domain"

// Siblings returns the other listed targets of the target's service; none if the target is not listed.
func (r *Roster) Siblings(id domain.InstanceID) []domain.Target {
	t, ok := r.Get(id)
	if !ok {
		return nil
	}
	var list []domain.Target
	for _, e := range r.ofService(t.Service()) {
		if e.target.ID() != id {
			list = append(list, e.target)
		}
	}
	return list
}
