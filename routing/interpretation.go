package routing

import (
	"math"
	"time"

	"clovertrail.dev/core/domain"
)

// interpretation distributes requests over options whose reports are old (load interpretation: Dahlin,
// "Interpreting Stale Load Information", 1999). All boxes receive nearly the same reports, so that all
// of them would send to the options that look idle. Instead, each box expects the arrivals from all
// boxes until the reports are renewed, and draws an option with the share of these arrivals that makes
// the loads equal. Its methods are pure functions.
type interpretation struct {
	places   []place
	arrivals float64 // expected requests of all boxes, at least minArrivals
}

// place is an option as its load is interpreted.
type place struct {
	load     float64 // requests as a share of the slots, times the slowdown, with the penalty for other data halls
	capacity float64 // number of requests that raise the load by 1; above 0
}

// level returns the load to which the arrivals raise all options that are below it (water filling). It
// starts with the level of all options together and excludes those above it until there are none.
// Excluding one lowers the level, so that an option below the final level is never excluded.
func (i interpretation) level() float64 {
	level, included := math.Inf(1), len(i.places)+1
	for {
		requests, capacity, n := i.arrivals, 0.0, 0
		for _, p := range i.places {
			if p.load < level {
				requests += p.load * p.capacity
				capacity += p.capacity
				n++
			}
		}
		// Rounding may include an option again whose load equals the level, or exclude all options if the
		// arrivals are small beside the loads.
		if n >= included || n == 0 {
			return level
		}
		level, included = requests/capacity, n
	}
}

// draw returns the index of the place for a random number in [0, 1). Places are drawn in proportion to the
// arrivals that raise them to the level, so that one at the level or above it is not drawn.
func (i interpretation) draw(random float64) int {
	level := i.level()
	at := random * i.arrivals
	last := int(random * float64(len(i.places))) // if rounding leaves no place below the level
	for n, p := range i.places {
		share := (level - p.load) * p.capacity
		if share <= 0 {
			continue
		}
		if at < share {
			return n
		}
		at -= share
		last = n // if rounding leaves a rest after the last place
	}
	return last
}

// interpret returns the interpretation of the options' loads for a request that arrived in the data hall.
// A load consists of the requests of this box and the last reported requests of other boxes. The latter do
// not decay: while they end, others arrive. An option without a recent report is assumed to have as many
// of them for each slot as the others.
func (b *Balancer) interpret(now time.Time, hall domain.HallName, options []Option) interpretation {
	loads := make([]*load, len(options))
	var all loadSummary
	for n, o := range options {
		loads[n] = b.load(o.ID)
		all.add(now, o, loads[n])
	}
	places := make([]place, len(options))
	for n, o := range options {
		l, slots := loads[n], slotsOf(o)
		others := l.others
		if !l.hasRecentReport(now) {
			others = all.othersPerSlot() * slots
		}
		places[n] = place{load: (float64(l.inFlight) + others) / slots * l.slowdown, capacity: slots / l.slowdown}
		if o.Hall != hall {
			places[n].load += otherHallPenalty
		}
	}
	return interpretation{places: places, arrivals: all.arrivals()}
}

// slotsOf returns the slots of the option. An option without slots counts as having one, as in the list
// of targets.
func slotsOf(o Option) float64 { return float64(max(o.Slots, 1)) }
