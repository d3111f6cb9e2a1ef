package membership

import (
	"sort"
	"time"

	"clovertrail.dev/core/domain"
)

// Standing is what a Roster makes of a target.
type Standing int

// The standings, from the best to the worst.
const (
	// Good: nothing speaks against it.
	Good Standing = iota
	// Suspect: it, or a rank of its group, has lately failed, or it has no room.
	Suspect
	// Lapsed: its entry vanished while the store was in trouble; it may live.
	Lapsed
	// Resting: it asked this box to be sent nothing for a while.
	Resting
	// Unreachable: no connection to it could be made a moment ago.
	Unreachable
	// Unfit: its group does not step.
	Unfit
	// Leaving: it is leaving or gone, and gets nothing.
	Leaving
)

// String gives the name of the standing.
func (s Standing) String() string {
	return [...]string{"good", "suspect", "lapsed", "resting", "unreachable", "unfit", "leaving"}[s]
}

// Usable reports whether a target of the standing may get new work.
func (s Standing) Usable() bool { return s < Resting }

// Ranked is a target with its standing.
type Ranked struct {
	Target   domain.Target
	Standing Standing
}

// Ranked returns the targets of the service that are not leaving, the best standing
// first, and within one in order of id.
func (r *Roster) Ranked(now time.Time, svc domain.ServiceName) []Ranked {
	var list []Ranked
	for _, e := range r.entries {
		if e.target.Service() != svc {
			continue
		}
		if s := r.standing(now, e); s < Leaving {
			list = append(list, Ranked{Target: e.target, Standing: s})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	r.restore(list)
	groups, halls := r.groups(now, svc), r.halls(now)
	for i := range list {
		list[i].worsen(now, r.policy, groups, halls)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].before(list[j]) })
	return list
}

func (x Ranked) before(y Ranked) bool {
	if x.Standing != y.Standing {
		return x.Standing < y.Standing
	}
	return x.Target.ID() < y.Target.ID()
}

// worsen lets what is known of the target's group and data hall speak against it.
func (x *Ranked) worsen(now time.Time, p RosterPolicy, groups map[domain.GroupName]*groupView, halls map[domain.HallName]*hallView) {
	if g, ok := x.Target.Rank(); ok {
		x.Standing = max(x.Standing, groups[g.Group].standing(now, p))
	}
	x.Standing = max(x.Standing, halls[x.Target.Hall()].standing())
}

// standing is that of the target by itself.
func (r *Roster) standing(now time.Time, e *entry) Standing {
	switch {
	case e.replaced, !e.leftAt.IsZero(), e.target.State() != domain.TargetReady, e.gone(now):
		return Leaving
	case now.Before(e.restTo):
		return Resting
	case !e.goneAt.IsZero():
		return Lapsed
	case e.health.unreachable(now):
		return Unreachable
	case e.health.ejected(now), e.health.full(now), r.muted(now, e):
		return Suspect
	default:
		return Good
	}
}

// gone reports that the target is not listed, and is not to be used any more either.
func (e *entry) gone(now time.Time) bool { return !e.goneAt.IsZero() && !now.Before(e.grace) }

// muted reports whether the target used to report about itself and does no more, as on a box
// that stands still: requests to it would be accepted and not answered.
func (r *Roster) muted(now time.Time, e *entry) bool {
	return !e.ownAt.IsZero() && now.Sub(e.ownAt) > r.policy.UnresponsiveAfter && r.heardAt.Sub(e.ownAt) > r.policy.UnresponsiveAfter
}

// restore lets enough targets that failed attempts count as good that ejections leave
// a set share in use: many that fail at once are more likely one trouble on the way.
func (r *Roster) restore(list []Ranked) {
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
