package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// Formation is what a box knows about the group of a target at one time. Its zero value is that of a target without a
// group, or of one that is not known.
type Formation struct {
	epoch    uint64
	standing Standing
}

// Epoch returns the latest epoch in which the target is listed or has reported itself; 0 without a group.
func (f Formation) Epoch() uint64 { return f.epoch }

// Interrupted reports whether the group stands still or may have lost a rank, or has formed anew since the target was in the
// earlier epoch. A group that stands still cuts the requests of all its ranks, whose processes live on.
func (f Formation) Interrupted(earlier uint64) bool { return f.standing != Good || f.epoch > earlier }

// Formation returns what is known about the group of the target now.
func (r *Roster) Formation(now time.Time, id domain.InstanceID) Formation {
	e, ok := r.lookup(id)
	if !ok {
		return Formation{}
	}
	listed, grouped := e.target.Rank()
	if !grouped {
		return Formation{}
	}
	return Formation{epoch: e.epoch(listed), standing: r.groups(now, e.target.Service())[listed.Group].standing(now, r.policy)}
}

// Epoch returns the latest epoch of the target's group in which the target is listed or has reported itself; 0 if it has no
// group or is not known.
func (r *Roster) Epoch(id domain.InstanceID) uint64 {
	e, ok := r.lookup(id)
	if !ok {
		return 0
	}
	listed, _ := e.target.Rank()
	return e.epoch(listed)
}

// epoch returns the later one of the listed and the reported epoch, however old the report is.
func (e *entry) epoch(listed domain.Rank) uint64 { return max(listed.Epoch, e.reportedRank.Epoch) }
