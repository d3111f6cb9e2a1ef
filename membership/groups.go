package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// progress is how far a rank reports that its group has stepped.
type progress struct {
	step    uint64
	at      time.Time // since when it has stood at the step with work to do
	movedAt time.Time // when it was last seen to step
}

// stalled reports that the group has not stepped for longer than a step takes.
func (p progress) stalled(now time.Time, after time.Duration) bool {
	return !p.at.IsZero() && now.Sub(p.at) > after
}

func (p *progress) take(now time.Time, step uint64, working bool) {
	if step > p.step {
		p.movedAt = now
	}
	switch {
	case !working:
		p.at = time.Time{}
	case step != p.step || p.at.IsZero():
		p.at = now
	}
	p.step = step
}

// groupView is what the ranks of a group report about it together.
type groupView struct {
	formed    uint64    // the latest epoch in which a rank says, or is listed, to be
	broken    bool      // a rank in that epoch reports that the group is not open
	stalled   bool      // a rank has stood at one step, or has not been heard, for long
	epoch     uint64    // the latest of which a rank spoke
	step      uint64    // the farthest in it
	movedAt   time.Time // when a rank was first seen to have begun that step
	missingAt time.Time // a rank was last found out of reach
}

// standing: a group of which a rank is out of reach may have lost that rank, until
// it is seen to go on without a pause. Ranks step together, so a group of which any
// rank was lately seen to step does not stand still, however old the news of another.
func (g *groupView) standing(now time.Time, p RosterPolicy) Standing {
	switch {
	case g == nil:
		return Good
	case g.broken:
		return Unfit
	case g.stalled && now.Sub(g.movedAt) > p.StallAfter || g.missingAt.After(g.movedAt):
		return Suspect
	default:
		return Good
	}
}

// groups puts together what is known of the groups of the service.
func (r *Roster) groups(now time.Time, svc domain.ServiceName) map[domain.GroupName]*groupView {
	views := map[domain.GroupName]*groupView{}
	for _, e := range r.entries {
		g, ok := e.target.Rank()
		if !ok || e.target.Service() != svc || !e.goneAt.IsZero() {
			continue
		}
		v, ok := views[g.Group]
		if !ok {
			v = &groupView{}
			views[g.Group] = v
		}
		v.formedAs(r.place(now, e, g))
		v.stalled = v.stalled || e.progress.stalled(now, r.policy.StallAfter)
		v.moved(e)
		if at := e.health.missingAt(now); at.After(v.missingAt) {
			v.missingAt = at
		}
	}
	return views
}

// moved takes how far a rank reports that the group is. What a rank reported of an earlier
// formation does not count.
func (g *groupView) moved(e *entry) {
	p := e.progress
	switch {
	case e.own.Epoch < g.epoch:
	case e.own.Epoch > g.epoch || p.step > g.step:
		g.epoch, g.step, g.movedAt = e.own.Epoch, p.step, p.movedAt
	case p.step == g.step && p.movedAt.Before(g.movedAt):
		g.movedAt = p.movedAt
	}
}

// place is that of the rank by its own report where that is fresh and not of an earlier
// formation than the list knows of, else by the list.
func (r *Roster) place(now time.Time, e *entry, listed domain.Rank) domain.Rank {
	if !e.ownAt.IsZero() && now.Sub(e.ownAt) < r.policy.ReportFresh && e.own.Epoch >= listed.Epoch {
		return e.own
	}
	return listed
}

// formedAs takes the place of a rank. A group opens with all of its ranks, so what a rank
// last reported about an earlier formation does not count against the present one: a box receives
// reports of the ranks of other halls seldom, and would refuse its callers until it had the last.
func (g *groupView) formedAs(p domain.Rank) {
	switch {
	case p.Epoch > g.formed:
		g.formed, g.broken = p.Epoch, !p.Open
	case p.Epoch == g.formed:
		g.broken = g.broken || !p.Open
	}
}
