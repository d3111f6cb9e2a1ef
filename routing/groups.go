package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// A group has spare capacity, so that one more request delays no stream, up to both of these limits.
// maxSpareUtilisation is a share of the group's slots. maxSpareStep is the length of the group's steps,
// as a share of the longest pause that the route counts as in time.
const maxSpareUtilisation, maxSpareStep = 0.6, 0.6

// groupLoad is the load of a group of options.
type groupLoad struct {
	options     []Option
	utilisation float64 // share of the slots, including the request to be placed
	step        float64 // length of the group's steps, as a share of the longest pause that is in time
}

func (g groupLoad) hasCapacity() bool {
	return g.utilisation <= maxSpareUtilisation && g.step <= maxSpareStep
}

// weight is the weight of the group in a random draw: its free slots.
func (g groupLoad) weight() float64 { return (1 - g.utilisation) * float64(len(g.options)) }

// allIn reports whether all ranks of the group are in the data hall.
func (g groupLoad) allIn(hall domain.HallName) bool {
	return !slices.ContainsFunc(g.options, func(o Option) bool { return o.Hall != hall })
}

// chooseGroup returns the options of the group to send a request to. Targets without a group count
// as one group.
//
// A group within the given data hall is taken while it has spare capacity. Otherwise one of the
// groups with spare capacity is drawn at random: boxes receive loads late, and if all of them took
// the group that looks least loaded, the load of the groups would oscillate. If no group has spare
// capacity, the one with the lowest product of utilisation and step length is taken. docs/POLICY.md
// states the effect of each rule near overload.
func (b *Balancer) chooseGroup(now time.Time, hall domain.HallName, options []Option) []Option {
	if !slices.ContainsFunc(options, func(o Option) bool { return o.Group != options[0].Group }) {
		return options
	}
	all := b.groupLoads(now, options)
	spare := slices.DeleteFunc(slices.Clone(all), func(g groupLoad) bool { return !g.hasCapacity() })
	sameHall := slices.DeleteFunc(slices.Clone(spare), func(g groupLoad) bool { return !g.allIn(hall) })
	switch {
	case len(sameHall) > 0:
		return leastLoadedGroup(sameHall)
	case len(spare) > 0:
		return b.drawGroup(spare)
	default:
		return leastLoadedGroup(all)
	}
}

// groupLoads returns the loads of the groups of the options, sorted by name.
func (b *Balancer) groupLoads(now time.Time, options []Option) []groupLoad {
	groups := map[domain.GroupName][]Option{}
	for _, o := range options {
		groups[o.Group] = append(groups[o.Group], o)
	}
	usual := b.meanStep(now, groups)
	var all []groupLoad
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		all = append(all, groupLoad{options: g, utilisation: b.utilisationWith(now, g, 1), step: b.stepLength(now, g, usual)})
	}
	return all
}

// leastLoadedGroup returns the group with the lowest product of utilisation and step length.
func leastLoadedGroup(list []groupLoad) []Option {
	return slices.MinFunc(list, func(x, y groupLoad) int { return cmp.Compare(x.utilisation*x.step, y.utilisation*y.step) }).options
}

// drawGroup returns a random group, with a probability in proportion to its free slots.
func (b *Balancer) drawGroup(list []groupLoad) []Option {
	total := 0.0
	for _, g := range list {
		total += g.weight()
	}
	at := b.rand.Float64() * total
	for _, g := range list {
		if at -= g.weight(); at < 0 {
			return g.options
		}
	}
	return list[0].options // only reached by rounding errors
}
