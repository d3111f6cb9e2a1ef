package waitqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/waitqueue"
)

// outage is a group that is stopped while callers arrive, seen by boxes that receive reports late. Times
// count from the stop of the group.
type outage struct {
	down        time.Duration    // the group opens after this time
	again       [2]time.Duration // it is stopped a second time in between; zero if not
	blind       float64          // share of the boxes that notice the opening blindDelay late
	stopsAt     time.Duration    // the boxes with even numbers begin a planned stop; 0 if not
	queued      waitqueue.Stage  // requests of this stage and the later ones may wait
	waitsForAll bool             // first tries wait too
}

const (
	boxes      = 37
	perSecond  = 220 // callers
	slots      = 630
	callerTime = 8 * time.Second
	patience   = 2 * time.Second // a caller leaves after this time without an event
	blindDelay = 3 * time.Second
	tick       = 20 * ms
	runTime    = 2 * time.Second // of a request
	firstByte  = 200 * ms
	arrivals   = 6400 * ms // callers that arrive in this time are counted; others arrive until arrivals+3 s
)

// try is one try of a caller.
type try struct {
	at       time.Duration
	deadline time.Duration
	second   bool
	counted  bool
	attempts int
	held     bool // the request waited in the queue
}

func (c *try) leavesAt() time.Duration { return min(c.at+patience, c.deadline) }

// result counts callers by what became of them.
type result struct {
	served, refused, left int
	leftAsHeld            int           // of those that left, the ones that had waited in the queue and then got a slot at once
	waited, longest       time.Duration // in the queue, over all callers; the longest wait of a try
}

// fleet is the state of the model.
type fleet struct {
	outage
	result
	rnd     *rand.Rand
	now     time.Duration
	due     map[time.Duration][]*try // tries by the tick at which they arrive
	ends    map[time.Duration]int    // requests by the tick at which they end
	load    []int                    // running and waiting requests at each tick so far
	running int
	waiting []*try // requests that wait for a slot at the group, the first one first
	boxes   []*modelBox
}

type modelBox struct {
	q         *waitqueue.Queue
	lag       time.Duration // age of the reports that the box has
	tries     map[waitqueue.Ticket]*try
	queuedAt  map[waitqueue.Ticket]time.Duration
	declined  time.Duration // when a target last declined a request since its group was stopped
	isStopped bool
}

func (f *fleet) open(at time.Duration) bool {
	return at >= f.down && (at < f.again[0] || at >= f.again[1])
}

// seesOpen reports whether the box takes the group for open.
func (f *fleet) seesOpen(b *modelBox) bool {
	return f.open(f.now-b.lag) && (b.declined == 0 || f.now-b.declined >= time.Second)
}

func at(d time.Duration) time.Time { return begin.Add(d) }

// play runs the outage until every caller is served, refused or gone.
func (o outage) play(seed uint64) result {
	f := &fleet{outage: o, rnd: rand.New(rand.NewPCG(seed, 1)), due: map[time.Duration][]*try{}, ends: map[time.Duration]int{}}
	for i := range boxes {
		b := &modelBox{q: waitqueue.New(256), tries: map[waitqueue.Ticket]*try{}, queuedAt: map[waitqueue.Ticket]time.Duration{}, lag: 200*ms + time.Duration(f.rnd.IntN(800))*ms}
		if float64(i) < o.blind*boxes {
			b.lag = blindDelay
		}
		f.boxes = append(f.boxes, b)
	}
	for n := range int((arrivals + 3*time.Second).Seconds() * perSecond) {
		start := time.Duration(n) * time.Second / perSecond
		f.schedule(&try{at: start, deadline: start + callerTime, counted: start < arrivals})
	}
	for ; f.now < arrivals+callerTime; f.now += tick {
		f.step()
	}
	return f.result
}

// total returns the sum of the results of some runs.
func (o outage) total(seeds uint64) (sum result) {
	for seed := range seeds {
		r := o.play(seed)
		sum.served, sum.refused, sum.left, sum.leftAsHeld = sum.served+r.served, sum.refused+r.refused, sum.left+r.left, sum.leftAsHeld+r.leftAsHeld
		sum.waited, sum.longest = sum.waited+r.waited, max(sum.longest, r.longest)
	}
	return sum
}

func (r result) all() int { return r.served + r.refused + r.left }

func (r result) String() string {
	return fmt.Sprintf("%d served, %d refused for good, %d left before a slot was free; held %.2f s a caller, %v at most",
		r.served, r.refused, r.left, r.waited.Seconds()/float64(r.all()), r.longest)
}

func (f *fleet) schedule(c *try) {
	t := c.at.Truncate(tick)
	f.due[t] = append(f.due[t], c)
}

func (f *fleet) step() {
	f.running -= f.ends[f.now]
	f.startWaiting()
	f.load = append(f.load, f.running+len(f.waiting))
	for i, b := range f.boxes {
		if f.stopsAt > 0 && f.now >= f.stopsAt && !b.isStopped && i%2 == 0 {
			b.isStopped = true
			f.settle(b, b.q.Stop(at(f.now)))
		}
		f.settle(b, b.q.Expire(at(f.now)))
		if f.seesOpen(b) {
			reported := f.load[max(0, int((f.now-b.lag)/tick))]
			f.settle(b, b.q.Usable(at(f.now), "s", waitqueue.Room{Free: slots - reported, ReportedAt: at(f.now - b.lag), Boxes: boxes}))
		}
	}
	for _, c := range f.due[f.now] {
		b := f.boxes[f.rnd.IntN(boxes)]
		if f.seesOpen(b) {
			f.attempt(b, c)
		} else {
			f.wait(b, c)
		}
	}
}

// attempt sends the request to the group.
func (f *fleet) attempt(b *modelBox, c *try) {
	c.attempts++
	switch {
	case !f.open(f.now):
		b.declined = f.now
		f.wait(b, c)
	case f.running >= slots:
		f.waiting = append(f.waiting, c)
	default:
		if c.held && f.now+firstByte > c.leavesAt() {
			f.leftAsHeld++
		}
		f.start(c)
	}
}

// start runs the request in a slot of the group.
func (f *fleet) start(c *try) {
	if f.now+firstByte > c.leavesAt() {
		f.count(c, &f.left)
		return
	}
	f.running++
	f.ends[f.now+runTime]++
	f.count(c, &f.served)
}

// startWaiting starts requests that wait for a slot at the group.
func (f *fleet) startWaiting() {
	for len(f.waiting) > 0 && f.running < slots {
		f.start(f.waiting[0])
		f.waiting = f.waiting[1:]
	}
}

// wait offers the request to the queue of the box, or refuses it.
func (f *fleet) wait(b *modelBox, c *try) {
	r := waitqueue.Request{Service: "s", LeavesAt: at(c.leavesAt()), Deadline: at(c.deadline), FirstByte: firstByte}
	if c.second {
		r.Stage = waitqueue.Returning
	}
	if f.waitsForAll {
		r.OpensAt = at(f.now)
	}
	const allowed = 2 // attempts
	if r.Stage < f.queued || c.attempts >= allowed {
		f.refuse(c)
		return
	}
	ticket, decisions := b.q.Add(at(f.now), r)
	b.tries[ticket], b.queuedAt[ticket] = c, f.now
	f.settle(b, decisions)
}

func (f *fleet) settle(b *modelBox, decisions []waitqueue.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case waitqueue.Released:
			f.hold(f.now - b.queuedAt[d.Ticket])
			b.tries[d.Ticket].held = true
			f.attempt(b, b.tries[d.Ticket])
		case waitqueue.Refused:
			f.hold(f.now - b.queuedAt[d.Ticket])
			f.refuse(b.tries[d.Ticket])
		}
	}
}

func (f *fleet) hold(d time.Duration) { f.waited, f.longest = f.waited+d, max(f.longest, d) }

// refuse lets the caller return once.
func (f *fleet) refuse(c *try) {
	if c.second {
		f.count(c, &f.refused)
		return
	}
	after := f.now + admission.RetryAfterOutage(c.deadline-f.now, f.rnd.Float64())
	f.schedule(&try{at: after, deadline: c.deadline, second: true, counted: c.counted})
}

func (f *fleet) count(c *try, n *int) {
	if c.counted {
		*n++
	}
}

// TestQueueOfReturningCallersOutlastsOutage compares what becomes of the callers that arrive while a group is
// stopped for 6.4 s: refused both times, queued on their second try, and queued both times. It guards
// against refusing a caller for good that could still have been served, and against callers that leave
// while they are held.
func TestQueueOfReturningCallersOutlastsOutage(t *testing.T) {
	const seeds = 5
	queueReturning := outage{down: arrivals, queued: waitqueue.Returning}
	queueAll := outage{down: arrivals, queued: waitqueue.FirstTry, waitsForAll: true}
	blind, broken, stopped := queueReturning, queueReturning, queueReturning
	blind.blind = 1.0 / 3
	broken.again = [2]time.Duration{6600 * ms, 7600 * ms}
	stopped.stopsAt = 5 * time.Second
	for _, tc := range []struct {
		name string
		outage
	}{
		{"queue returning callers", queueReturning}, {"queue all", queueAll},
		{"a third of the boxes notice the opening late", blind}, {"the group opens and stops again", broken}, {"half of the boxes stop", stopped},
	} {
		t.Run(tc.name, func(t *testing.T) {
			refuseBoth := tc.outage
			refuseBoth.queued = waitqueue.Started // which no request of the model is
			without, with := refuseBoth.total(seeds), tc.total(seeds)
			t.Logf("of %d callers in %d runs, refused both times: %v", without.all(), seeds, without)
			t.Logf("of %d callers in %d runs, with the queue:     %v", with.all(), seeds, with)
			if want := seeds * int(arrivals.Seconds()*perSecond); without.all() != want || with.all() != want {
				t.Errorf("%d and %d callers ended, want each of %d to end once", without.all(), with.all(), want)
			}
			if limit := patience - margin + tick; with.longest > limit {
				t.Errorf("a caller was held for %v, want at most %v", with.longest, limit)
			}
			if with.leftAsHeld > 0 {
				t.Errorf("%d callers left since they were held for too long", with.leftAsHeld)
			}
			if with.served <= without.served {
				t.Errorf("%d callers are served, and %d if nobody waits", with.served, without.served)
			}
		})
	}
	// The callers that leave before their boxes notice the opening, which takes a second at most, cannot be
	// served: they return close to a third of their time after they arrive, 5/16 of it at the earliest.
	hopeless := int(perSecond * (arrivals + time.Second - callerTime*5/16 - (patience - margin)).Seconds() * seeds)
	if got := queueReturning.total(seeds).refused; got > hopeless {
		t.Errorf("%d returning callers are refused, want at most the %d that leave before the opening is noticed", got, hopeless)
	}
}
