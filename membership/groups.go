package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// progress holds the steps of a group as reported by one of its ranks.
type progress struct {
	step         uint64
	waitingSince time.Time // first report of the present step with work to do; zero without work
	steppedAt    time.Time // last report of a new step
}

// stalled reports whether the rank has reported the same step with work to do for longer than
// the given time.
func (p progress) stalled(now time.Time, after time.Duration) bool {
	return !p.waitingSince.IsZero() && now.Sub(p.waitingSince) > after
}

func (p *progress) update(now time.Time, step uint64, working bool) {
	if step > p.step {
		p.steppedAt = now
	}
	switch {
	case !working:
		p.waitingSince = time.Time{}
	case step != p.step || p.waitingSince.IsZero():
		p.waitingSince = now
	}
	p.step = step
}

// groupView combines the reports of the ranks of a group.
type groupView struct {
	formedEpoch   uint64    // the latest epoch in which a rank is reported or listed
	broken        bool      // a rank is reported or listed as not open in formedEpoch
	stalled       bool      // a rank has not reported a new step for StallAfter although it had work
	epoch         uint64    // the latest epoch that a rank reported
	step          uint64    // the last step reported in epoch
	steppedAt     time.Time // when a rank first reported step
	unreachableAt time.Time // when a rank was last found unreachable
	stopped       groupStop // the last observation that the group has stopped
}

// standing returns the standing of the group's ranks. If a rank is unreachable, it may be lost, so
// the group is suspect until a rank reports a later step. Ranks step together, so a
// group of which any rank has recently reported a new step does not stall, however old the
// reports of the other ranks are.
func (g *groupView) standing(now time.Time, p RosterPolicy) Standing {
	switch {
	case g == nil:
		return Good
	case g.broken, g.stopped.inForce(now, g, p):
		return Unfit
	case g.stalled && now.Sub(g.steppedAt) > p.StallAfter || g.unreachableAt.After(g.steppedAt):
		return Suspect
	default:
		return Good
	}
}

// groups combines the entries of the service's targets by group.
func (r *Roster) groups(now time.Time, svc domain.ServiceName) map[domain.GroupName]*groupView {
	views := map[domain.GroupName]*groupView{}
	for _, e := range r.entries {
		g, ok := e.target.Rank()
		if !ok || e.target.Service() != svc || !e.removedAt.IsZero() {
			continue
		}
		v, ok := views[g.Group]
		if !ok {
			v = &groupView{}
			views[g.Group] = v
		}
		v.addRank(r.freshestRank(now, e, g))
		v.stalled = v.stalled || e.progress.stalled(now, r.policy.StallAfter)
		v.addProgress(e)
		v.stopped = v.stopped.later(e.stopped)
		if at := e.health.unreachableSince(now); at.After(v.unreachableAt) {
			v.unreachableAt = at
		}
	}
	return views
}

// addProgress adds the step that a rank reported. A report from an earlier formation of the group
// does not count.
func (g *groupView) addProgress(e *entry) {
	p := e.progress
	switch {
	case e.reportedRank.Epoch < g.epoch:
	case e.reportedRank.Epoch > g.epoch || p.step > g.step:
		g.epoch, g.step, g.steppedAt = e.reportedRank.Epoch, p.step, p.steppedAt
	case p.step == g.step && p.steppedAt.Before(g.steppedAt):
		g.steppedAt = p.steppedAt
	}
}

// freshestRank returns the rank as the target reports it, if the report is fresh and not of an
// earlier formation than the listed one, else as listed.
func (r *Roster) freshestRank(now time.Time, e *entry, listed domain.Rank) domain.Rank {
	if !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < r.policy.ReportFresh && e.reportedRank.Epoch >= listed.Epoch {
		return e.reportedRank
	}
	return listed
}

// addRank adds the formation and state of one rank. A group opens with all of its ranks, so a
// rank's last report about an earlier formation does not count against the present one. A box
// seldom receives reports of the ranks of other halls, and would otherwise refuse its callers until
// every rank had reported the present formation.
func (g *groupView) addRank(p domain.Rank) {
	switch {
	case p.Epoch > g.formedEpoch:
		g.formedEpoch, g.broken = p.Epoch, !p.Open
	case p.Epoch == g.formedEpoch:
		g.broken = g.broken || !p.Open
	}
}
