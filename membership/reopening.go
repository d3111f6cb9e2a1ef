package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// returnedRanks are the ranks of a group that report themselves.
type returnedRanks struct {
	size        int       // number of ranks that the group has, or of those that this box follows
	followed    int       // number of listed ranks that this box follows, if it does not follow all
	reporting   int       // ranks that are listed and have reported lately
	first, last time.Time // when the first and the last of them began to report
}

// Reopening returns when a stopped group of the service is expected to open: formTime after its last missing
// rank was reported again. It returns the zero time if that is unknown: a rank is missing or lost, formTime
// is 0, this box began to receive reports of all ranks at the same time, so that it does not know which
// of them was missing, or a group that was expected to open did not. A box of a large fleet receives reports of the
// ranks that it follows only, and takes these for the whole group; followed is nil if it follows all.
func (r *Roster) Reopening(now time.Time, svc domain.ServiceName, formTime time.Duration, followed map[domain.InstanceID]bool) time.Time {
	var earliest time.Time
	if formTime <= 0 {
		return earliest
	}
	for _, g := range r.returnedRanks(now, svc, followed) {
		opensAt, ok := g.opensAt(now, formTime, r.policy)
		if ok && (earliest.IsZero() || opensAt.Before(earliest)) {
			earliest = opensAt
		}
	}
	return earliest
}

// opensAt returns when the group is expected to open; false if that is unknown.
func (g *returnedRanks) opensAt(now time.Time, formTime time.Duration, p RosterPolicy) (time.Time, bool) {
	opensAt := g.last.Add(formTime)
	known := g.reporting == g.size && g.last.Sub(g.first) > p.ReportFresh
	return opensAt, known && now.Sub(opensAt) < p.ReportFresh // reports of the open group are as old as that
}

// returnedRanks returns the reporting ranks of the service by group.
func (r *Roster) returnedRanks(now time.Time, svc domain.ServiceName, followed map[domain.InstanceID]bool) map[domain.GroupName]*returnedRanks {
	groups := map[domain.GroupName]*returnedRanks{}
	for _, e := range r.ofService(svc) {
		rank, grouped := e.target.Rank()
		if !grouped || followed != nil && !followed[e.target.ID()] {
			continue
		}
		g, ok := groups[rank.Group]
		if !ok {
			g = &returnedRanks{}
			groups[rank.Group] = g
		}
		if g.size = rank.Size; followed != nil {
			g.followed++
			g.size = g.followed
		}
		if !r.reportsLately(now, e) {
			continue
		}
		g.reporting++
		if g.first.IsZero() || e.backAt.Before(g.first) {
			g.first = e.backAt
		}
		if e.backAt.After(g.last) {
			g.last = e.backAt
		}
	}
	return groups
}

// reportsLately reports whether the entry is of a listed target that reports itself and is not lost.
func (r *Roster) reportsLately(now time.Time, e *entry) bool {
	fresh := !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= r.policy.UnresponsiveAfter
	return fresh && e.removedAt.IsZero() && r.standing(now, e) < Unreachable
}
