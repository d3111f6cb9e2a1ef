package admission

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/urgency"
)

// Limiters are the limiters of the groups that a box sends requests to.
type Limiters struct {
	groups       map[domain.GroupName]*limited
	appointments *Appointments
}

// limited is a group with its limiter and its refusals.
type limited struct {
	Limiter
	shedding Shedding
	reported bool // Changes has returned that shedding began
}

// Caller is a caller whose request is to be sent to a group.
type Caller struct {
	Class     urgency.Class
	Remaining time.Duration // time to the caller's deadline
	Returning bool          // it has been refused before
	// Share returns the likelihood with which a caller of this organisation is refused, given that of its
	// class; nil if all organisations are treated alike.
	Share func(refused float64) float64
}

// Refusal states why a caller is refused, and when it should retry.
type Refusal struct {
	State
	Group      domain.GroupName
	Class      urgency.Class
	RetryAfter time.Duration
}

// String implements fmt.Stringer.
func (r Refusal) String() string {
	return fmt.Sprintf("group %s has a load of %.3f of its slots and a limit of %.3f; callers of class %s are refused from %.3f on; steps take %v, at peaks %v, the objective is %v",
		r.Group, r.Load, r.Thresholds.Limit(), r.Class, r.Thresholds.Start(r.Class), r.Usual.Round(time.Millisecond), r.Peak.Round(time.Millisecond), r.Objective)
}

// Shedding is a time in which a group refuses callers. It ends when none has been refused for sheddingEnd.
type Shedding struct {
	Began, Last time.Time     // first and last refusal
	From        urgency.Class // the most urgent class of which a caller was refused
	Refused     int
	State       State // at the first refusal; once shedding has ended, at the last
}

// sheddingEnd is longer than the time between two shifts of demand, after each of which nobody is refused for a
// while.
const sheddingEnd = peakHold

// limiterRetention is how long the limiter of a group without gaps is stored: much longer than it takes to
// form a group again.
const limiterRetention = time.Minute

// NewLimiters returns limiters of no groups.
func NewLimiters() *Limiters {
	return &Limiters{groups: map[domain.GroupName]*limited{}, appointments: NewAppointments()}
}

// ObserveGap records the time between two events of a stream of the group, and the longest such time that
// its route allows. Targets without a group and routes without an objective are not limited.
func (l *Limiters) ObserveGap(now time.Time, group domain.GroupName, gap, longest time.Duration) {
	if group == "" || longest <= 0 {
		return
	}
	g, ok := l.groups[group]
	if !ok {
		g = &limited{}
		l.groups[group] = g
	}
	g.ObserveGap(now, gap, longest)
}

// ObserveLoad records the epoch and the load of the group.
func (l *Limiters) ObserveLoad(now time.Time, group domain.GroupName, epoch uint64, load Load) {
	if g, ok := l.groups[group]; ok {
		g.Formed(epoch)
		g.ObserveLoad(now, load)
	}
}

// Admit reports whether the caller's request may be sent to the group; if not, it also returns why and when
// the caller should retry. random is in [0, 1).
func (l *Limiters) Admit(now time.Time, group domain.GroupName, c Caller, random float64) (Refusal, bool) {
	g, ok := l.groups[group]
	if !ok || c.Returning {
		return Refusal{}, true
	}
	s, limits := g.State(now)
	if !limits {
		return Refusal{}, true
	}
	share := s.Thresholds.RefusedShare(c.Class, s.Load)
	if c.Share != nil {
		share = c.Share(share)
	}
	if random >= share {
		return Refusal{}, true
	}
	g.refused(now, s, c.Class)
	after := l.appointments.Assign(now, c.Remaining, c.Class, random/share)
	return Refusal{State: s, Group: group, Class: c.Class, RetryAfter: after}, false
}

// refused records a refusal.
func (g *limited) refused(now time.Time, s State, c urgency.Class) {
	if g.shedding.Refused == 0 {
		g.shedding = Shedding{Began: now, From: c, State: s}
	}
	x := &g.shedding
	x.Refused++
	if x.Last = now; c.Compare(x.From) < 0 {
		x.From = c
	}
	if g.reported {
		x.State = s
	}
}

// Change is the begin or the end of shedding at a group.
type Change struct {
	Group    domain.GroupName
	Ended    bool
	Shedding Shedding
}

// Changes returns where shedding began or ended since the last call. It drops groups without recent gaps.
func (l *Limiters) Changes(now time.Time) []Change {
	var list []Change
	for _, name := range slices.Sorted(maps.Keys(l.groups)) {
		g := l.groups[name]
		if g.shedding.Refused > 0 && !g.reported {
			g.reported = true
			list = append(list, Change{Group: name, Shedding: g.shedding})
		}
		if g.reported && now.Sub(g.shedding.Last) > sheddingEnd {
			list = append(list, Change{Group: name, Ended: true, Shedding: g.shedding})
			g.shedding, g.reported = Shedding{}, false
		}
		if !g.reported && now.Sub(g.lastGap) > limiterRetention {
			delete(l.groups, name)
		}
	}
	return list
}

// Limits returns the limit of each group as a share of its slots; 1 if nothing is limited.
func (l *Limiters) Limits(now time.Time) map[domain.GroupName]float64 {
	all := make(map[domain.GroupName]float64, len(l.groups))
	for name, g := range l.groups {
		all[name] = 1
		if s, limits := g.State(now); limits {
			all[name] = s.Thresholds.Limit()
		}
	}
	return all
}
