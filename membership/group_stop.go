package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// groupStop is the observation that a group has stopped: one of its ranks declined a request since another
// rank is lost.
type groupStop struct {
	at    time.Time // zero if there was none
	epoch uint64    // formation of the group at that time
}

// later returns the later one of two observations.
func (s groupStop) later(o groupStop) groupStop {
	if o.at.After(s.at) {
		return o
	}
	return s
}

// inForce reports whether the observation is later than what ranks have reported since: a step or a new
// formation. A group without requests need not report steps, so the observation ends with the time for
// which reports are fresh.
func (s groupStop) inForce(now time.Time, g *groupView, p RosterPolicy) bool {
	return !s.at.IsZero() && now.Sub(s.at) < p.ReportFresh && s.at.After(g.steppedAt) && s.epoch >= g.formedEpoch
}

// GroupStopped records that the target declined a request because another rank of its group is lost. The
// ranks' own reports may be older than that, and other ranks would decline the request too.
func (r *Roster) GroupStopped(now time.Time, id domain.InstanceID) {
	e, ok := r.lookup(id)
	if !ok {
		return
	}
	if listed, grouped := e.target.Rank(); grouped {
		e.stopped = groupStop{at: now, epoch: r.freshestRank(now, e, listed).Epoch}
	}
}
