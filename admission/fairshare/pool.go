package fairshare

import (
	"math"
	"time"

	"clovertrail.dev/core/domain"
)

// poolKey identifies a pool: the requests of one class of a service.
type poolKey struct {
	service domain.ServiceName
	class   int
}

// member is an organisation with requests in a pool, or the rest of the organisations, which other boxes
// do not name.
type member struct {
	organisation domain.OrganisationName
	rest         bool
}

// tally holds the requests of one member of a pool.
type tally struct {
	member member
	index  int // in pool.tallies
	counts [sources]windows
}

// pool holds the requests of one class of a service in the last minute.
type pool struct {
	tallies   []*tally
	byMember  map[member]*tally
	histories [sources]history
	loads     []load // reused by refusal
}

func newPool() *pool {
	p := &pool{byMember: map[member]*tally{}}
	for i := range p.histories {
		p.histories[i].source = i
	}
	return p
}

// add records requests of the member.
func (p *pool) add(now time.Time, source int, m member, requests int) {
	t, ok := p.byMember[m]
	if !ok {
		t = &tally{member: m, index: len(p.tallies)}
		p.byMember[m] = t
		p.tallies = append(p.tallies, t)
	}
	p.histories[source].add(now, t, requests)
}

// advance drops what is too old.
func (p *pool) advance(now time.Time) {
	for i := range p.histories {
		p.histories[i].advance(now)
	}
}

// forgetIdle drops the members without requests in the last minute, and reports whether none is left.
func (p *pool) forgetIdle() bool {
	for i := len(p.tallies) - 1; i >= 0; i-- {
		t := p.tallies[i]
		if t.counts != ([sources]windows{}) {
			continue
		}
		last := p.tallies[len(p.tallies)-1]
		p.tallies[i], last.index = last, i
		p.tallies = p.tallies[:len(p.tallies)-1]
		delete(p.byMember, t.member)
	}
	return len(p.tallies) == 0
}

// spread is the number of standard deviations within which a number of requests counts as the usual one.
// Of organisations at their usual rate, one in twenty seems to be outside at a time.
const spread = 2

// load is the recent demand of a member.
type load struct {
	requests float64
	excess   float64 // how many times its weight the demand is; 1 within the spread of chance
}

// newLoad compares the recent requests of a member with the number that is usual.
func newLoad(requests, usual float64) load {
	// The weight is one more than usual. That gives a new organisation a share. It is also what the
	// organisation of a request has on average at its usual rate, since the request itself is counted.
	weight := usual + 1
	above := requests - weight
	if above*above <= spread*spread*weight {
		return load{requests: requests, excess: 1}
	}
	within := math.Copysign(spread*math.Sqrt(weight), above)
	return load{requests: requests, excess: (requests - within) / weight}
}

// refusal returns the probability with which a request of the member is refused, if the share refuse of
// the requests of the pool must be.
func (p *pool) refusal(now time.Time, m member, refuse float64) float64 {
	var scales scales
	for i := range p.histories {
		if h := &p.histories[i]; h.comparable(now) {
			scales[i] = float64(h.recent) / float64(h.usual)
		}
	}
	if scales == ([sources]float64{}) {
		return refuse
	}
	scales = p.withoutOutliers(scales)
	p.loads = append(p.loads[:0], load{excess: 1}) // the members at their usual demand
	for _, t := range p.tallies {
		if l := scales.load(t); l.excess == 1 {
			p.loads[0].requests += l.requests
		} else if l.requests > 0 {
			p.loads = append(p.loads, l)
		}
	}
	asking := load{requests: 1, excess: 1}
	if t, ok := p.byMember[m]; ok {
		asking = scales.load(t)
	}
	return max(0, 1-levelFor(p.loads, refuse)/asking.excess)
}

// scales are, by source, how many recent requests of a member there are for each of its usual ones. It is
// 0 for a source that is not used. Each source has its own: the number of boxes that a box receives counts
// from may change, and all organisations together may send more than usual.
type scales [sources]float64

// load returns the recent demand of a member.
func (s scales) load(t *tally) load {
	recent, usual := 0.0, 0.0
	for i, scale := range s {
		if scale > 0 {
			recent += float64(t.counts[i].recent)
			usual += float64(t.counts[i].usual) * scale
		}
	}
	return newLoad(recent, usual)
}

// withoutOutliers returns the scales of the members whose demand is the usual one by the given scales. A
// large organisation that bursts, or that sends nothing any more, would otherwise make the demand of all
// others seem unusual.
func (p *pool) withoutOutliers(s scales) scales {
	var sums [sources]windows
	for _, t := range p.tallies {
		if s.load(t).excess != 1 {
			continue
		}
		for i := range sums {
			sums[i].recent += t.counts[i].recent
			sums[i].usual += t.counts[i].usual
		}
	}
	for i := range s {
		if s[i] > 0 && sums[i].recent > 0 && sums[i].usual > 0 {
			s[i] = float64(sums[i].recent) / float64(sums[i].usual)
		}
	}
	return s
}

// precision is the relative error of a level, which is far below what one request changes.
const precision = 1e-9

// levelFor returns the level for which the share refuse of all requests is refused, if of each member so
// many are admitted that its excess is at most the level.
//
// The requests admitted by level are a concave, piecewise linear function. Newton's method approaches the
// level from below, and finds it once the same members are limited in two steps.
func levelFor(loads []load, refuse float64) float64 {
	total := 0.0
	for _, l := range loads {
		total += l.requests
	}
	level := 0.0
	for range len(loads) + 1 {
		rest, weights := total*(1-refuse), 0.0 // rest: to be admitted of the members that are limited
		for _, l := range loads {
			if l.excess <= level {
				rest -= l.requests
			} else {
				weights += l.requests / l.excess
			}
		}
		if weights == 0 || rest/weights <= level*(1+precision) {
			break
		}
		level = rest / weights
	}
	return level
}
