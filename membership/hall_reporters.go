package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// HallReporters decides from which boxes or targets this box requests the status of targets. It
// queries the targets of its own data hall directly. For another hall it queries one entry box
// there, the reporter, which reports on all targets of that hall at once; only a target of which
// the reporter has no fresh report is queried directly. So the bytes between halls do not grow
// with boxes times targets.
//
// It does no I/O and is not safe for concurrent use.
type HallReporters struct {
	own      domain.HallName
	role     Role
	subset   Subset    // targets that a follower uses
	share    *HubShare // targets of its hall that a hub queries; nil for all, and for other roles
	halls    map[domain.HallName]*hallReporter
	received map[domain.InstanceID]time.Time // when another box last received a report of a target
}

// hallReporter holds the entry box that reports on a hall.
type hallReporter struct {
	box        domain.BoxID // the box that reported last; empty after a failure
	failed     domain.BoxID // the box that failed to report last; empty after a report
	receivedAt time.Time    // when another box last received a report of a target of the hall
}

// NewHallReporters returns the reporters for a box in the hall own.
func NewHallReporters(own domain.HallName) *HallReporters {
	return &HallReporters{own: own, subset: NewSubset("", 1), halls: map[domain.HallName]*hallReporter{}, received: map[domain.InstanceID]time.Time{}}
}

func (r *HallReporters) reporter(h domain.HallName) *hallReporter {
	p, ok := r.halls[h]
	if !ok {
		p = &hallReporter{}
		r.halls[h] = p
	}
	return p
}

// Choose returns the box to query about the hall, of the reachable boxes in the hall: the one that
// reported last, or else preferably one that has not just failed. It returns false if there is no
// box.
func (r *HallReporters) Choose(h domain.HallName, reachable []Contact) (Contact, bool) {
	p := r.reporter(h)
	var other Contact
	for _, c := range reachable {
		if c.Box == p.box {
			return c, true
		}
		if other.Box == "" || other.Box == p.failed {
			other = c
		}
	}
	return other, other.Box != ""
}

// Answered records that the box reported on the hall. It returns true if the reporter changed.
func (r *HallReporters) Answered(h domain.HallName, by domain.BoxID) bool {
	p := r.reporter(h)
	changed := p.box != by
	p.box, p.failed = by, ""
	return changed
}

// Failed records that the box did not report on the hall. It returns true if the hall had a
// reporter until now.
func (r *HallReporters) Failed(h domain.HallName, box domain.BoxID) bool {
	p := r.reporter(h)
	lost := p.box != ""
	p.box, p.failed = "", box
	return lost
}

// Received records that another box received a report of a target of the hall at the given time.
func (r *HallReporters) Received(h domain.HallName, id domain.InstanceID, at time.Time) {
	if at.After(r.received[id]) {
		r.received[id] = at
	}
	if p := r.reporter(h); at.After(p.receivedAt) {
		p.receivedAt = at
	}
}

// SetRole sets the role of this box in its hall, and the targets there that it queries as a hub; nil for
// all.
func (r *HallReporters) SetRole(role Role, share *HubShare) { r.role, r.share = role, share }

// SetSubset sets the targets that this box uses as a follower.
func (r *HallReporters) SetSubset(s Subset) { r.subset = s }

// ShouldQueryTarget reports whether this box should query the target directly: the target is in
// the own hall and no hub queries it, its hall has no reporter, or the last report of the target
// received by another box is older than maxAge. A follower does not query targets at once when its
// hub is lost: another hub reports in the meantime, and otherwise all followers of a hall would
// query all targets.
func (r *HallReporters) ShouldQueryTarget(now time.Time, t domain.Target, maxAge time.Duration) bool {
	h, id := t.Hall(), t.ID()
	age := now.Sub(r.received[id])
	switch {
	case r.role == Follower && !r.subset.Has(t):
		return false
	case r.role == Hub && h == r.own && r.share != nil && !r.share.Queries(id):
		return age > maxAge // other hubs query it
	case r.role != Follower:
		return h == r.own || r.reporter(h).box == "" || age > maxAge
	case h == r.own:
		return age > maxAge
	default:
		return age > 2*maxAge // boxes in that hall are queried first
	}
}

// ShouldQueryPeer reports whether this box should query another one about the targets of the hall.
// A follower queries a hub of its own hall, and boxes of another hall only while the hubs have no
// report of that hall newer than maxAge.
func (r *HallReporters) ShouldQueryPeer(now time.Time, h domain.HallName, maxAge time.Duration) bool {
	switch {
	case h == r.own:
		return r.role == Follower
	case r.role == Follower:
		return now.Sub(r.reporter(h).receivedAt) > maxAge
	default:
		return true
	}
}

// Forget deletes the report times of the targets for which keep returns false.
func (r *HallReporters) Forget(keep func(domain.InstanceID) bool) {
	for id := range r.received {
		if !keep(id) {
			delete(r.received, id)
		}
	}
}
