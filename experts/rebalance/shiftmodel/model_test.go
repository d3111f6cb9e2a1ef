// Package shiftmodel_test has a model of a group whose demand shifts, and of the coordinator that reads the
// demand, plans maps and puts them in use, in order to compare ways to respond to a shift. Steps and reads
// have fixed lengths apart from the skew, all orders arrive, and requests prefer experts independently of
// each other.
package shiftmodel_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"clovertrail.dev/experts/rebalance"
)

// Estimator estimates the demand from reports.
type Estimator interface {
	// AddExpected adds a report. The share before of its steps had begun before the long step that caused
	// the read; 0 for other reads.
	AddExpected(report rebalance.Load, before float64)
	// ExpectShift is called as a step is long.
	ExpectShift()
	Load() rebalance.Load
}

// Config describes a run.
type Config struct {
	Planner    rebalance.Planner
	Estimator  Estimator
	Seed       uint64
	Length     time.Duration
	ShiftEvery time.Duration
	// Preference is the standard deviation of how often a request chooses an expert, relative to the
	// mean over all requests: 1 if each request prefers other experts, 0 if all are alike.
	Preference float64
	// LongStepEvery is the time between steps that last twice as long for another reason than a
	// shift; 0 if there are none.
	LongStepEvery time.Duration
	// StepTime is the length of a step at a skew of 1.
	StepTime time.Duration
	// ReadInterval is the shortest time between two reads of the counts, ReadTime that from a read
	// to its reports, ChangeTime that of a map change in addition to its copies.
	ReadInterval, ReadTime, ChangeTime time.Duration
	// Watch states whether a long step causes a read at once, SecondRead after how long another one
	// follows, 0 for the interval.
	Watch      bool
	SecondRead time.Duration
	// CountsAtEnd states whether an engine counts the picks of a step at its end, in place of its begin.
	CountsAtEnd bool
	// Slowdowns returns the slowdowns of the ranks at a time after the start; nil for none.
	Slowdowns func(at time.Duration) []float64
}

// tick is the interval of the coordinator's checks, and the resolution of the model.
const tick = 5 * time.Millisecond

// coordinatorTick is the time between two checks of the coordinator.
const coordinatorTick = 20 * time.Millisecond

// run is the state of a run.
type run struct {
	cfg    Config
	demand demand
	rand   *rand.Rand
	now    time.Duration
	result Result

	placement rebalance.Map
	step      uint64
	stepEnd   time.Duration
	counts    rebalance.Load // picks since the last read
	pending   rebalance.Load // picks of the running step that are counted at its end
	shiftAt   time.Duration
	first     time.Duration // first plan after the shift; 0 if none yet

	watch      rebalance.StepWatch
	pace       rebalance.Pace
	lastRead   time.Duration
	readStep   uint64 // completed steps at the last read
	longStep   uint64 // step that caused the next read; 0 if none did
	secondRead time.Duration
	reports    []report // reads in flight
	planDue    bool
	next       rebalance.Map // map of the change that is under way; nil if none is
	inUseAt    time.Duration
}

type report struct {
	at     time.Duration
	counts rebalance.Load
	before float64
}

// Run simulates the configuration.
func Run(c Config) Result {
	rnd := rand.New(rand.NewPCG(c.Seed, 7))
	r := &run{cfg: c, rand: rnd, demand: demand{rand: rnd, preference: c.Preference}, placement: dealt(c.Planner.Shape), counts: newLoad(c.Planner.Shape), pending: newLoad(c.Planner.Shape)}
	r.demand.shift(c.Planner.Shape)
	for ; r.now < c.Length; r.now += tick {
		if r.now > 0 && r.now%c.ShiftEvery < tick {
			r.demand.shift(c.Planner.Shape)
			r.shiftAt, r.first = r.now, 0
			r.result.Shifts++
		}
		if r.now >= r.stepEnd {
			r.beginStep()
		}
		if r.now%coordinatorTick == 0 {
			r.coordinate()
		}
	}
	r.result.finish()
	return r.result
}

func (r *run) beginStep() {
	addLoad(r.counts, r.pending)
	clearLoad(r.pending)
	r.step++
	if r.next != nil && r.now >= r.inUseAt {
		r.placement, r.next = r.next, nil
		r.result.Changes++
	}
	into := r.counts
	if r.cfg.CountsAtEnd {
		into = r.pending
	}
	skew := Skew(r.cfg.Planner.Shape, r.placement, r.demand.shares, r.slowdowns())
	share := r.cfg.Planner.Shape.ExpertShare
	length := time.Duration(float64(r.cfg.StepTime) * (1 - share + share*skew) * (0.95 + 0.1*r.rand.Float64()))
	if r.cfg.LongStepEvery > 0 && r.now/r.cfg.LongStepEvery > (r.now-length)/r.cfg.LongStepEvery {
		length *= 2
	}
	r.demand.step(into, promptsPerSecond*length.Seconds())
	r.stepEnd = r.now + length
	r.result.add(r.now, r.now-r.shiftAt, length, skew)
}

func (r *run) slowdowns() []float64 {
	if r.cfg.Slowdowns == nil {
		return nil
	}
	return r.cfg.Slowdowns(r.now)
}

// coordinate does what the coordinator of a group does at a tick.
func (r *run) coordinate() {
	at := time.Unix(1_800_000_000, 0).Add(r.now)
	if long, ok := r.watch.Observe(at, rebalance.StepObservation{Step: r.step, Busy: true}); ok && r.cfg.Watch {
		r.result.LongSteps++
		r.longStep = long.Step
		r.pace.Planned(true)
		r.cfg.Estimator.ExpectShift()
		r.read()
		if r.cfg.SecondRead > 0 {
			r.secondRead = r.now + r.cfg.SecondRead
		}
	}
	if r.now-r.lastRead >= r.pace.Interval(r.cfg.ReadInterval) || r.secondRead > 0 && r.now >= r.secondRead {
		r.read()
	}
	for len(r.reports) > 0 && r.now >= r.reports[0].at {
		r.cfg.Estimator.AddExpected(r.reports[0].counts, r.reports[0].before)
		r.planDue = true
		r.reports = r.reports[1:]
	}
	if r.planDue && r.next == nil {
		r.planDue = false
		r.plan()
	}
}

func (r *run) read() {
	r.result.Reads++
	done := r.step
	if r.cfg.CountsAtEnd {
		done--
	}
	rep := report{at: r.now + r.cfg.ReadTime, counts: clone(r.counts)}
	if r.longStep != 0 && done > r.readStep {
		rep.before = min(max(float64(r.longStep)-1-float64(r.readStep), 0)/float64(done-r.readStep), 1)
	}
	r.longStep = 0
	r.reports = append(r.reports, rep)
	clearLoad(r.counts)
	r.lastRead, r.readStep, r.secondRead = r.now, done, 0
}

func (r *run) plan() {
	p := r.cfg.Planner
	p.Slowdowns = r.slowdowns()
	plan := p.Plan(r.placement, r.cfg.Estimator.Load())
	r.pace.Planned(plan.Worthwhile())
	if !plan.Worthwhile() {
		return
	}
	r.next, r.inUseAt = plan.Map, r.now+r.cfg.ChangeTime+plan.CopyTime
	r.result.Copies += plan.Copies
	if r.first == 0 {
		r.first = r.now
		r.result.planned = append(r.result.planned, r.now-r.shiftAt)
		r.result.inUse = append(r.result.inUse, r.inUseAt-r.shiftAt)
		r.result.firstSkews = append(r.result.firstSkews, Skew(p.Shape, plan.Map, r.demand.shares, r.slowdowns()))
	}
}

// Skew returns the load of the hottest rank of each layer, summed over the layers, divided by the
// same sum for evenly loaded ranks.
func Skew(s rebalance.Shape, m rebalance.Map, shares rebalance.Load, slowdowns []float64) float64 {
	hot, speed := 0.0, 0.0
	slow := func(rank int) float64 {
		if rank < len(slowdowns) {
			return max(slowdowns[rank], 1)
		}
		return 1
	}
	for rank := range s.Ranks {
		speed += 1 / slow(rank)
	}
	for l := range m {
		holders := make([]float64, s.Experts)
		for _, list := range m[l] {
			for _, e := range list {
				holders[e]++
			}
		}
		load := make([]float64, s.Ranks)
		for rank, list := range m[l] {
			for _, e := range list {
				load[rank] += shares[l][e] / holders[e] * slow(rank)
			}
		}
		hot += slices.Max(load)
	}
	return hot * speed / float64(len(m))
}

// dealt returns the first map: expert e is held by rank e modulo the ranks.
func dealt(s rebalance.Shape) rebalance.Map {
	m := make(rebalance.Map, s.Layers)
	for l := range m {
		m[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			m[l][e%s.Ranks] = append(m[l][e%s.Ranks], e)
		}
	}
	return m
}
