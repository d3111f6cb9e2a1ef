package membership

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// Standing is a Roster's rating of a target.
type Standing int

// The standings, from the best to the worst.
const (
	// Good: the target has no recent failures.
	Good Standing = iota
	// Suspect: the target, or a rank of its group, has recently failed, or the target has no
	// capacity.
	Suspect
	// Lapsed: the target's entry was removed while the store was unavailable; it may still run.
	Lapsed
	// Resting: the target asked this box for no requests for a time.
	Resting
	// Unreachable: a recent attempt to connect to the target failed.
	Unreachable
	// Unfit: the target's group does not step.
	Unfit
	// Evacuated: an operator has the target's data hall evacuated.
	Evacuated
	// Leaving: the target is leaving or has left, and gets no requests.
	Leaving
)

// String returns the name of the standing.
func (s Standing) String() string {
	return [...]string{"good", "suspect", "lapsed", "resting", "unreachable", "unfit", "evacuated", "leaving"}[s]
}

// Usable reports whether a target of the standing may get new work.
func (s Standing) Usable() bool { return s < Resting }

// Ranked is a target with its standing.
type Ranked struct {
	Target   domain.Target
	Standing Standing
}

// Ranked returns the targets of the service that are not leaving, the best standing
// first, and within one standing in order of their ids.
func (r *Roster) Ranked(now time.Time, svc domain.ServiceName) []Ranked {
	entries := r.ofService(svc)
	list := make([]Ranked, 0, len(entries))
	for _, e := range entries {
		if s := r.standing(now, e); s < Leaving {
			list = append(list, Ranked{Target: e.target, Standing: s})
		}
	}
	r.keepMinInUse(list)
	groups, halls := r.groups(now, svc), r.halls(now)
	for i := range list {
		list[i].applyGroupAndHall(now, r.policy, groups, halls)
	}
	return sortByStanding(list)
}

// sortByStanding returns the list ordered by standing, and the targets of one standing in their order in
// the list.
func sortByStanding(list []Ranked) []Ranked {
	var counts [Leaving + 2]int // at s+1: number of targets of standing s, then the index after them
	for _, x := range list {
		counts[x.Standing+1]++
	}
	for s := range Leaving + 1 {
		counts[s+1] += counts[s]
	}
	sorted := make([]Ranked, len(list))
	for _, x := range list {
		sorted[counts[x.Standing]] = x
		counts[x.Standing]++
	}
	return sorted
}

// ofService returns the entries of the service, ordered by the ids of their targets.
func (r *Roster) ofService(svc domain.ServiceName) []*entry {
	if list, ok := r.byService[svc]; ok {
		return list
	}
	var list []*entry
	for _, e := range r.entries {
		if e.target.Service() == svc {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(x, y *entry) int { return cmp.Compare(x.target.ID(), y.target.ID()) })
	r.byService[svc] = list
	return list
}

// applyGroupAndHall lowers the target's standing to those of its group and of its data hall.
func (x *Ranked) applyGroupAndHall(now time.Time, p RosterPolicy, groups map[domain.GroupName]*groupView, halls map[domain.HallName]*hallView) {
	if g, ok := x.Target.Rank(); ok {
		x.Standing = max(x.Standing, groups[g.Group].standing(now, p))
	}
	x.Standing = max(x.Standing, halls[x.Target.Hall()].standing())
}

// standing returns the standing of the target regardless of its group and hall.
func (r *Roster) standing(now time.Time, e *entry) Standing {
	switch {
	case e.replaced, !e.leavingAt.IsZero(), e.target.State() != domain.TargetReady, e.expired(now):
		return Leaving
	case r.evacuations.Active(e.target.Hall()):
		return Evacuated
	case now.Before(e.restUntil):
		return Resting
	case !e.removedAt.IsZero():
		return Lapsed
	case e.health.unreachable(now):
		return Unreachable
	case e.health.ejected(now), e.health.full(now), r.unresponsive(now, e):
		return Suspect
	default:
		return Good
	}
}

// expired reports whether the target is no longer listed and its grace has ended.
func (e *entry) expired(now time.Time) bool {
	return !e.removedAt.IsZero() && !now.Before(e.graceUntil)
}

// unresponsive reports whether the target used to report itself and stopped while others go on,
// as on a box that hangs: requests to such a target would be accepted and never answered.
func (r *Roster) unresponsive(now time.Time, e *entry) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) > r.policy.UnresponsiveAfter && r.lastReportAt.Sub(e.reportedAt) > r.policy.UnresponsiveAfter
}

// keepMinInUse marks suspect targets as good again until the share MinInUse of the good and
// suspect targets is good: if many fail at once, the cause is more likely a common one on the
// network path.
func (r *Roster) keepMinInUse(list []Ranked) {
	good, known := 0, 0
	for _, x := range list {
		switch x.Standing {
		case Good:
			good++
			known++
		case Suspect:
			known++
		}
	}
	need := int(float64(known)*r.policy.MinInUse + 0.5)
	for i := range list {
		if good < need && list[i].Standing == Suspect {
			list[i].Standing = Good
			good++
		}
	}
}
