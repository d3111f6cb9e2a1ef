package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// roomFill and roomStep are up to which share of its slots, and of the longest pause in
// time, a group has room: below them a request more makes no stream late.
const roomFill, roomStep = 0.6, 0.6

// groupLoad is a group of options with what it has to do.
type groupLoad struct {
	options []Option
	fill    float64 // of its slots, with the request that is to be placed
	step    float64 // length of its steps, as a share of the longest pause in time
}

func (g groupLoad) room() bool { return g.fill <= roomFill && g.step <= roomStep }

// free is a weight for a draw: slots that are free.
func (g groupLoad) free() float64 { return (1 - g.fill) * float64(len(g.options)) }

// allIn reports whether the whole group stands in the data hall.
func (g groupLoad) allIn(hall domain.HallName) bool {
	return !slices.ContainsFunc(g.options, func(o Option) bool { return o.Hall != hall })
}

// group keeps the options of the group that a request goes to. Targets that stand alone
// are one group.
//
// A group of the own data hall is taken while it has room. Else one is drawn among those
// that have room: boxes see loads late, and if all took the one that looks least loaded,
// groups would get more and less by turns. Else it is the one with the least to do for its
// size and the length of its steps. docs/POLICY.md has what each rule buys near overload.
func (b *Balancer) group(now time.Time, hall domain.HallName, options []Option) []Option {
	all := b.groupLoads(now, options)
	if len(all) == 1 {
		return options
	}
	roomy := slices.DeleteFunc(slices.Clone(all), func(g groupLoad) bool { return !g.room() })
	near := slices.DeleteFunc(slices.Clone(roomy), func(g groupLoad) bool { return !g.allIn(hall) })
	switch {
	case len(near) > 0:
		return leastOf(near)
	case len(roomy) > 0:
		return b.drawGroup(roomy)
	default:
		return leastOf(all)
	}
}

// groupLoads are the groups of the options in order of their names.
func (b *Balancer) groupLoads(now time.Time, options []Option) []groupLoad {
	groups := map[domain.GroupName][]Option{}
	for _, o := range options {
		groups[o.Group] = append(groups[o.Group], o)
	}
	usual := b.usualStep(now, groups)
	var all []groupLoad
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		all = append(all, groupLoad{options: g, fill: b.fill(now, g, 1), step: b.step(now, g, usual)})
	}
	return all
}

// leastOf is the group with the least to do.
func leastOf(list []groupLoad) []Option {
	return slices.MinFunc(list, func(x, y groupLoad) int { return cmp.Compare(x.fill*x.step, y.fill*y.step) }).options
}

// drawGroup takes one by chance, the more often the more free slots it has.
func (b *Balancer) drawGroup(list []groupLoad) []Option {
	total := 0.0
	for _, g := range list {
		total += g.free()
	}
	at := b.rand.Float64() * total
	for _, g := range list {
		if at -= g.free(); at < 0 {
			return g.options
		}
	}
	return list[0].options // rounding
}
