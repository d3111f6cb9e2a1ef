package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/urgency"
)

// The model of a group whose ranks step together, and of the callers of its streams.
const (
	ranks, slots, boxes = 63, 10, 37
	meanEvents          = 23 // of a stream, one a step
	reportInterval      = 600 * time.Millisecond
	callerTime          = 8 * time.Second
	patience            = 2 * time.Second // until a caller without an event leaves
	latencyObjective    = 500 * time.Millisecond
	gapObjective        = 120 * time.Millisecond
	arrivalTime         = 15 * time.Second
	plays               = 6 // of a load, each with its own seed and time of the first shift
)

// policy decides at one box which requests are sent to the group.
type policy interface {
	ObserveGap(now time.Time, gap time.Duration)
	Admit(now time.Time, c admission.Caller, l admission.Load, random float64) (retryAfter time.Duration, ok bool)
}

// load is what the group is asked for.
type load struct {
	classes   int
	perSecond func(t time.Duration) [3]float64 // requests of each class
	interval  func(*rand.Rand) float64         // seconds from one shift of demand to the next; nil for 4.2
	hopeless  bool                             // steps are too long at any load, from second 6 to 9
	deaf      int                              // one of so many boxes receives no reports; 0 for none
}

// outcome counts streams by class, and has the times at which the policy refused callers.
type outcome struct {
	requested, inTime [3]int
	shed              []time.Duration
	shedReturning     int
}

func (o *outcome) share(class int) float64 {
	return float64(o.inTime[class]) / float64(o.requested[class])
}
func (o *outcome) total() int { return o.inTime[0] + o.inTime[1] + o.inTime[2] }

type stream struct {
	box                        *box
	class                      urgency.Class
	arrived, sentAt, lastEvent time.Time // sentAt is the time of the last try
	left                       int       // events
	late, returned             bool
}

type box struct {
	policy
	gate     *admission.Gate
	requests [ranks]int // as reported, with those sent since
	reportAt time.Time
	deaf     bool
}

type group struct {
	load
	outcome
	rand             *rand.Rand
	shifts           []time.Duration
	now              time.Time
	running, waiting [ranks][]*stream
	callers          []*stream // those that try, or try again, later
	boxes            []*box
}

// play returns the sum of the outcomes of all plays.
func play(l load, newPolicy func() policy) *outcome {
	g := &group{load: l}
	for seed := range uint64(plays) {
		g = &group{load: l, outcome: g.outcome, rand: rand.New(rand.NewPCG(seed, 1)), now: start}
		for i := range boxes {
			age := time.Duration(g.rand.Float64() * float64(reportInterval))
			g.boxes = append(g.boxes, &box{policy: newPolicy(), gate: admission.NewGate(), reportAt: start.Add(-age), deaf: l.deaf > 0 && i%l.deaf == 0})
		}
		g.newCallers(rand.New(rand.NewPCG(seed, 2)))
		g.newShifts(rand.New(rand.NewPCG(seed, 3)), time.Duration(seed)*700*time.Millisecond)
		for g.now.Sub(start) < arrivalTime+2*callerTime {
			g.step(g.now.Sub(start))
		}
	}
	return &g.outcome
}

// newShifts draws the times at which demand shifts.
func (g *group) newShifts(rnd *rand.Rand, first time.Duration) {
	for t := first; t < arrivalTime+2*callerTime; {
		g.shifts = append(g.shifts, t)
		seconds := 4.2
		if g.interval != nil {
			seconds = g.interval(rnd)
		}
		t += time.Duration(seconds * float64(time.Second))
	}
}

// skew returns the skew at the time, which is higher until the map follows a shift of demand.
func (g *group) skew(t time.Duration) float64 {
	if g.hopeless && t > 6*time.Second && t < 9*time.Second {
		return 4
	}
	for _, at := range g.shifts {
		if t >= at && t < at+400*time.Millisecond {
			return 2.3
		}
	}
	return 1.25
}

// step runs a step of all ranks, with the callers that try during it.
func (g *group) step(t time.Duration) {
	running := 0
	for _, list := range g.running {
		running += len(list)
	}
	length := (0.035 + 0.0026*float64(running)/ranks) * (0.15 + 0.85*g.skew(t))
	end := g.now.Add(time.Duration(length * float64(time.Second)))
	callers := g.callers
	g.callers = nil
	for _, s := range callers {
		if s.sentAt.Before(end) {
			g.try(s)
		} else {
			g.callers = append(g.callers, s)
		}
	}
	g.now = end
	for r := range ranks {
		g.endStep(r)
	}
}

// newCallers draws all callers, independently of what is decided about them.
func (g *group) newCallers(rnd *rand.Rand) {
	for i := range g.classes {
		for t := time.Duration(0); ; {
			t += time.Duration(rnd.ExpFloat64() / g.perSecond(t)[i] * float64(time.Second))
			if t >= arrivalTime {
				break
			}
			events := 1 + int(math.Log(rnd.Float64())/math.Log(1-1.0/meanEvents))
			g.callers = append(g.callers, &stream{class: class(i, g.classes), arrived: start.Add(t), sentAt: start.Add(t), left: events})
			g.requested[i]++
		}
	}
}

// try lets a box decide about a request. A refused caller tries once more.
func (g *group) try(s *stream) {
	b, now := g.boxes[g.rand.IntN(boxes)], s.sentAt
	if !b.deaf && now.Sub(b.reportAt) >= reportInterval {
		b.reportAt = now
		for r := range ranks {
			b.requests[r] = len(g.running[r]) + len(g.waiting[r])
		}
	}
	rank, sum := g.rand.IntN(ranks), 0
	for range 3 {
		if r := g.rand.IntN(ranks); b.requests[r] < b.requests[rank] {
			rank = r
		}
	}
	for _, n := range b.requests {
		sum += n
	}
	remaining := callerTime - now.Sub(s.arrived)
	c := admission.Caller{Class: s.class, Remaining: remaining, Returning: s.returned}
	after, ok := b.Admit(now, c, admission.Load{Requests: sum, Slots: ranks * slots, Age: now.Sub(b.reportAt)}, g.rand.Float64())
	if !ok {
		g.shed = append(g.shed, now.Sub(start))
		if s.returned {
			g.shedReturning++
		}
	} else if ok, after = b.gate.Admit(now, gateRequest(b.requests[rank], remaining), g.rand.Float64()); ok {
		b.requests[rank]++
		s.box, g.waiting[rank] = b, append(g.waiting[rank], s)
		return
	}
	if !s.returned && after <= remaining/3 {
		s.returned, s.sentAt = true, now.Add(after)
		g.callers = append(g.callers, s)
	}
}

func gateRequest(requests int, remaining time.Duration) admission.Request {
	wait := time.Duration(max(requests+1-slots, 0)) * 1600 * time.Millisecond / slots
	return admission.Request{Route: "r", Remaining: remaining, LatencyObjective: latencyObjective, FirstByte: 100*time.Millisecond + wait, Wait: wait}
}

// endStep gives each stream of a rank an event, and the free slots to those that wait, the most urgent first.
func (g *group) endStep(r int) {
	g.running[r] = slices.DeleteFunc(g.running[r], func(s *stream) bool {
		if s.lastEvent.IsZero() {
			s.late = g.now.Sub(s.arrived) > latencyObjective
		} else {
			gap := g.now.Sub(s.lastEvent)
			s.late = s.late || gap > gapObjective
			s.box.ObserveGap(g.now, gap)
		}
		s.lastEvent = g.now
		if s.left--; s.left == 0 && !s.late {
			g.inTime[s.class.Rank()]++
		}
		return s.left == 0
	})
	g.waiting[r] = slices.DeleteFunc(g.waiting[r], func(s *stream) bool { return g.now.Sub(s.sentAt) > patience })
	slices.SortStableFunc(g.waiting[r], func(x, y *stream) int { return x.class.Compare(y.class) })
	n := min(slots-len(g.running[r]), len(g.waiting[r]))
	g.running[r] = append(g.running[r], g.waiting[r][:n]...)
	g.waiting[r] = slices.Delete(g.waiting[r], 0, n)
}
