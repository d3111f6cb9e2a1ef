package rebalance

import (
	"math"
	"slices"
	"time"
)

// Shape describes the size of a group's maps and the cost of copying and running experts.
type Shape struct {
	Ranks  int `json:"ranks"`
	Layers int `json:"layers"`
	// Experts is the number of experts in each layer.
	Experts int `json:"experts"`
	// Slots bounds the experts of a layer that a rank holds.
	Slots int `json:"places"`
	// Staging bounds the experts of a layer that a rank copies for one map.
	Staging int `json:"staging"`
	// CopyTime is the time to copy one expert to a rank.
	CopyTime time.Duration `json:"copy"`
	// ExpertShare is the share of a step's work that experts do.
	ExpertShare float64 `json:"share"`
}

// Load contains the numbers of tokens, or their shares, by layer and expert.
type Load [][]float64

// Map states which experts each rank holds: by layer, then by rank.
type Map [][][]int

// Planner plans the next map of a group.
type Planner struct {
	Shape Shape
	// Slowdowns states by rank how many times longer than usual its work takes. A rank
	// beyond its end, or with a value below 1, infinite or not a number, counts as 1. Slow ranks
	// are assigned less.
	Slowdowns []float64
	// Horizon is how long the load is assumed to stay unchanged.
	Horizon time.Duration
	// CopySlowdown is the increase of the step time while a rank copies, as a share.
	CopySlowdown float64
	// MaxCopies bounds the copies of one rank in one plan.
	MaxCopies int
	// Overhead is the time of a map change in addition to the copies: to distribute the
	// map, hold and arm. While the skew exceeds steepSkew, a plan copies no longer than the
	// overhead.
	Overhead time.Duration
	// MinSaving is the time that a plan must save within the horizon, as a share of it.
	MinSaving float64
}

// steepSkew is the skew above which a plan copies no longer than the overhead of its map
// change, except that each rank may always copy one expert. Each further copy slows down
// steps that are long already, and takes effect only with the whole plan; the first copies
// remove most of the skew, and the next plan does the rest. Where distributing a map takes
// much longer than a copy, one copy per rank would need many map changes in place of one.
const steepSkew = 2

// copyLimit returns the highest number of copies of one rank in a plan made at the skew.
func (p Planner) copyLimit(skew float64) int {
	if skew <= steepSkew {
		return p.MaxCopies
	}
	return min(p.MaxCopies, max(1, int(p.Overhead/max(p.Shape.CopyTime, 1))))
}

// Plan is a map with its expected effect.
type Plan struct {
	Map Map
	// SkewBefore and SkewAfter are the skews of the map passed to Plan and of its result: the
	// load of the hottest rank of each layer, summed over the layers, divided by the same sum
	// for evenly loaded ranks.
	SkewBefore, SkewAfter float64
	// CopyTime is the time until all ranks have copied their experts.
	CopyTime time.Duration
	// Copies is the number of copies to all ranks together.
	Copies    int
	saving    float64 // as a share of the horizon
	minSaving float64
}

// Worthwhile reports whether the plan saves enough to change to its map.
func (p Plan) Worthwhile() bool { return p.Copies > 0 && p.saving > p.minSaving }

// Saving returns the share of the horizon that the plan saves.
func (p Plan) Saving() float64 { return p.saving }

// Plan returns the next map. The load must have the planner's shape, and every expert must
// be held by a rank of the map m.
func (p Planner) Plan(m Map, load Load) Plan {
	s := p.newSearch(m, load)
	if s.evenLoad == 0 {
		return Plan{Map: m, SkewBefore: 1, SkewAfter: 1}
	}
	best := Plan{Map: m, SkewBefore: s.skew(), SkewAfter: s.skew(), minSaving: p.MinSaving}
	p.MaxCopies = p.copyLimit(best.SkewBefore)
	var applied []layerChange
	keep := 0
	for {
		lc, ok := s.next(p)
		if !ok {
			break
		}
		applied = append(applied, lc)
		copyTime := time.Duration(slices.Max(s.copies)) * p.Shape.CopyTime
		if saving := p.savingOf(best.SkewBefore, s.skew(), copyTime); saving > best.saving {
			best.saving, best.SkewAfter, best.CopyTime, best.Copies = saving, s.skew(), copyTime, len(applied)
			keep = len(applied)
		}
	}
	if keep > 0 {
		best.Map = p.replay(m, load, applied[:keep])
	}
	return best
}

// savingOf returns the share of the horizon that a map change saves: steps are shorter once
// all ranks have copied, and longer until then.
func (p Planner) savingOf(skewBefore, skewAfter float64, copyTime time.Duration) float64 {
	if p.Horizon <= 0 {
		return 0
	}
	c := min(copyTime.Seconds()/p.Horizon.Seconds(), 1)
	before := p.stepTime(skewBefore)
	gain := (before - p.stepTime(skewAfter)) / before
	return gain*(1-c) - p.CopySlowdown*c
}

// stepTime returns the time of a step relative to a step with evenly loaded ranks.
func (p Planner) stepTime(skew float64) float64 {
	return 1 - p.Shape.ExpertShare + p.Shape.ExpertShare*skew
}

// layerChange is a change of one layer.
type layerChange struct {
	layer  int
	change change
}

// search is the state of a search for a plan.
type search struct {
	layers []*layer
	best   []change // by layer
	// stale states by layer whether best must be computed again, after a change of the layer
	// or of the ranks that may still copy.
	stale    []bool
	copies   []int   // by rank
	evenLoad float64 // load of a rank if all ranks had the same load, summed over the layers
}

func (p Planner) newSearch(m Map, load Load) *search {
	s := &search{best: make([]change, len(m)), stale: make([]bool, len(m)), copies: make([]int, p.Shape.Ranks)}
	slowdowns, speed := p.allSlowdowns(), 0.0
	for _, x := range slowdowns {
		speed += 1 / x
	}
	for i := range m {
		l := newLayer(m[i], load[i], slowdowns, p.Shape.Slots)
		s.layers = append(s.layers, l)
		s.stale[i] = true
		for _, t := range load[i] {
			s.evenLoad += t / speed
		}
	}
	return s
}

// allSlowdowns returns the slowdowns of all ranks, with a value of at least 1 for each.
func (p Planner) allSlowdowns() []float64 {
	all := make([]float64, p.Shape.Ranks)
	for r := range all {
		all[r] = 1
		if r < len(p.Slowdowns) && p.Slowdowns[r] > 1 && !math.IsInf(p.Slowdowns[r], 1) {
			all[r] = p.Slowdowns[r]
		}
	}
	return all
}

// skew returns the load of the hottest rank of each layer, summed over the layers, divided
// by the same sum for evenly loaded ranks.
func (s *search) skew() float64 {
	hot := 0.0
	for _, l := range s.layers {
		hot += l.maxLoad()
	}
	return hot / s.evenLoad
}

// minGainShare is the least gain of a change, as a share of the load of an even rank in one
// layer, divided by the number of ranks: a change relieves one rank of one layer, and where
// several ranks are equally hot, the gain is lower the more of them there are. A bound
// relative to the load of all layers together would end the plans of large groups before
// their ranks are evenly loaded. Gains below the bound are noise in the token counts.
const minGainShare = 0.05

// minGain returns the least gain of a change, in tokens.
func (s *search) minGain() float64 {
	return minGainShare * s.evenLoad / float64(len(s.layers)*len(s.copies))
}

// next applies the change with the highest gain over all layers and returns it; false if no
// change gains enough.
func (s *search) next(p Planner) (layerChange, bool) {
	at := none
	for i, l := range s.layers {
		if s.stale[i] {
			s.best[i] = l.bestChange(func(r int) bool {
				return s.copies[r] < p.MaxCopies && l.copies[r] < p.Shape.Staging
			})
			s.stale[i] = false
		}
		if at == none || s.best[i].gain > s.best[at].gain {
			at = i
		}
	}
	if at == none || s.best[at].gain <= s.minGain() {
		return layerChange{}, false
	}
	lc := layerChange{layer: at, change: s.best[at]}
	s.layers[at].apply(lc.change)
	s.stale[at] = true
	to := lc.change.to
	if s.copies[to]++; s.copies[to] >= p.MaxCopies {
		for i := range s.stale {
			s.stale[i] = s.stale[i] || s.best[i].to == to
		}
	}
	return lc, true
}

// replay applies the changes to m from the beginning and returns the resulting map.
func (p Planner) replay(m Map, load Load, changes []layerChange) Map {
	s := p.newSearch(m, load)
	for _, lc := range changes {
		s.layers[lc.layer].apply(lc.change)
	}
	out := make(Map, len(m))
	for i, l := range s.layers {
		out[i] = l.experts
		for r := range out[i] {
			slices.Sort(out[i][r])
		}
	}
	return out
}
