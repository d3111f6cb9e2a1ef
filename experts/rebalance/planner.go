package rebalance

import (
	"slices"
	"time"
)

// Shape is the size of a group's maps.
type Shape struct {
	Ranks       int           `json:"ranks"`
	Layers      int           `json:"layers"`
	Experts     int           `json:"experts"` // of a layer
	Slots       int           `json:"places"`  // experts of a layer that a rank holds at the most
	Staging     int           `json:"staging"` // experts of a layer that a rank copies in for one map
	CopyTime    time.Duration `json:"copy"`    // of one expert
	ExpertShare float64       `json:"share"`   // of a step's work that goes to experts
}

// Load is tokens by layer and expert.
type Load [][]float64

// Map is the experts that each rank holds: by layer, then by rank.
type Map [][][]int

// Planner plans maps.
type Planner struct {
	Shape Shape
	// Slowdowns is by rank how many times longer than usual its work takes; a rank that is
	// not in it, or has less than 1, works at the usual pace. A slow rank is given less.
	Slowdowns []float64
	// Horizon is for how long the load is taken to stay as it is.
	Horizon time.Duration
	// CopySlowdown is how much longer steps are while a rank copies, as a share.
	CopySlowdown float64
	// MaxCopies bounds the copies of one rank in one plan.
	MaxCopies int
	// Overhead is what a change of maps takes beside the copies: telling it, holding,
	// arming. While the skew is steep a plan copies no longer than that.
	Overhead time.Duration
	// MinSaving is the time that a plan must save within the horizon, as a share of it.
	MinSaving float64
}

// steepSkew is the skew from which a plan copies no longer than its change takes anyway,
// though one expert a rank in any case. Each copied makes the steps longer that are long
// already, and waits for the whole plan; the first copies take most of the skew away, and
// the next plan does the rest. Where telling a map takes much longer than a copy, one copy a rank
// would need many changes in place of one.
const steepSkew = 2

// mostCopies is MaxCopies, or what a steep skew allows of it.
func (p Planner) mostCopies(skew float64) int {
	if skew <= steepSkew {
		return p.MaxCopies
	}
	return min(p.MaxCopies, max(1, int(p.Overhead/max(p.Shape.CopyTime, 1))))
}

// Plan is a map and what is expected of it.
type Plan struct {
	Map                   Map
	SkewBefore, SkewAfter float64       // load of the hottest ranks over that of even ranks
	CopyTime              time.Duration // until all ranks are ready
	Copies                int           // copies over all ranks
	saved                 float64       // of the horizon
	least                 float64
}

// Worthwhile reports whether to go over to the plan's map.
func (p Plan) Worthwhile() bool { return p.Copies > 0 && p.saved > p.least }

// Saving is the share of the horizon that the plan saves.
func (p Plan) Saving() float64 { return p.saved }

// Plan finds the next map. The load must be of the planner's shape, and every
// expert held by a rank of the map.
func (p Planner) Plan(m Map, load Load) Plan {
	s := p.start(m, load)
	if s.even == 0 {
		return Plan{Map: m, SkewBefore: 1, SkewAfter: 1}
	}
	best := Plan{Map: m, SkewBefore: s.skew(), SkewAfter: s.skew(), least: p.MinSaving}
	p.MaxCopies = p.mostCopies(best.SkewBefore)
	var taken []step
	keep := 0
	for {
		st, ok := s.next(p)
		if !ok {
			break
		}
		taken = append(taken, st)
		copying := time.Duration(slices.Max(s.copies)) * p.Shape.CopyTime
		if saved := p.saves(best.SkewBefore, s.skew(), copying); saved > best.saved {
			best.saved, best.SkewAfter, best.CopyTime, best.Copies = saved, s.skew(), copying, len(taken)
			keep = len(taken)
		}
	}
	if keep > 0 {
		best.Map = p.replay(m, load, taken[:keep])
	}
	return best
}

// saves is the share of the horizon that going over saves: steps are shorter once
// all ranks have copied, and longer until then.
func (p Planner) saves(before, after float64, copying time.Duration) float64 {
	if p.Horizon <= 0 {
		return 0
	}
	c := min(copying.Seconds()/p.Horizon.Seconds(), 1)
	was := p.stepTime(before)
	gain := (was - p.stepTime(after)) / was
	return gain*(1-c) - p.CopySlowdown*c
}

// stepTime is the time of a step relative to one with even ranks.
func (p Planner) stepTime(skew float64) float64 {
	return 1 - p.Shape.ExpertShare + p.Shape.ExpertShare*skew
}

// step is a change of one layer.
type step struct {
	layer  int
	change change
}

// search is the state of a plan.
type search struct {
	layers []*layer
	best   []change // by layer; found anew when the layer or the ranks change
	stale  []bool
	copies []int // by rank
	even   float64
}

func (p Planner) start(m Map, load Load) *search {
	s := &search{best: make([]change, len(m)), stale: make([]bool, len(m)), copies: make([]int, p.Shape.Ranks)}
	pace, speed := p.paces(), 0.0
	for _, x := range pace {
		speed += 1 / x
	}
	for i := range m {
		l := newLayer(m[i], load[i], pace, p.Shape.Slots)
		s.layers = append(s.layers, l)
		s.stale[i] = true
		for _, t := range load[i] {
			s.even += t / speed
		}
	}
	return s
}

// paces are those of all ranks.
func (p Planner) paces() []float64 {
	all := make([]float64, p.Shape.Ranks)
	for r := range all {
		all[r] = 1
		if r < len(p.Slowdowns) {
			all[r] = max(p.Slowdowns[r], 1)
		}
	}
	return all
}

// skew is the load of the hottest ranks, layer by layer, over that of even ranks.
func (s *search) skew() float64 {
	hot := 0.0
	for _, l := range s.layers {
		hot += l.hottest()
	}
	return hot / s.even
}

// progress is the least gain of a change, as a share of the load of an even rank in one
// layer, over the number of ranks: a change relieves one rank of one layer, and where many
// are equally hot that shows the less the more there are, and as a share of all layers together
// it would end the plans of large groups before they are even. Smaller ones are noise of the
// counts.
const progress = 0.05

// least is progress in tokens.
func (s *search) least() float64 {
	return progress * s.even / float64(len(s.layers)*len(s.copies))
}

// next makes the best change of all layers.
func (s *search) next(p Planner) (step, bool) {
	at := none
	for i, l := range s.layers {
		if s.stale[i] {
			s.best[i] = l.best(func(r int) bool {
				return s.copies[r] < p.MaxCopies && l.fresh[r] < p.Shape.Staging
			})
			s.stale[i] = false
		}
		if at == none || s.best[i].gain > s.best[at].gain {
			at = i
		}
	}
	if at == none || s.best[at].gain <= s.least() {
		return step{}, false
	}
	st := step{layer: at, change: s.best[at]}
	s.layers[at].apply(st.change)
	s.stale[at] = true
	to := st.change.to
	if s.copies[to]++; s.copies[to] >= p.MaxCopies {
		for i := range s.stale {
			s.stale[i] = s.stale[i] || s.best[i].to == to
		}
	}
	return st, true
}

// replay makes the steps again from the beginning.
func (p Planner) replay(m Map, load Load, steps []step) Map {
	s := p.start(m, load)
	for _, st := range steps {
		s.layers[st.layer].apply(st.change)
	}
	out := make(Map, len(m))
	for i, l := range s.layers {
		out[i] = l.holds
		for r := range out[i] {
			slices.Sort(out[i][r])
		}
	}
	return out
}
