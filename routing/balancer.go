package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// Option is a target that a request may be sent to.
type Option struct {
	ID    domain.InstanceID
	Hall  domain.HallName
	Group domain.GroupName // empty for a target that stands alone
	Slots int
	// Tier is how little the target is trusted; only the lowest tier is drawn from.
	Tier int
	// Limited reports that each request to it needs a permit.
	Limited bool
}

// Report is what a target says of its load.
type Report struct {
	Running, Waiting int
	// Slowdown is how many times longer than usual its steps take; 1 is usual.
	Slowdown float64
}

const (
	meanSmoothing = 0.1                    // weight of a new sample in a mean time
	firstUse      = time.Second            // time of a request before any sample
	firstBegin    = 100 * time.Millisecond // time until an answer begins before any sample
	leastFade     = 200 * time.Millisecond
	// nearShare is how much more load a target of the same data hall may have and
	// still be taken: less than one request of the smallest target in use.
	nearShare = 0.05
)

// Balancer chooses targets by load that is known late. It corrects what a target
// last reported by what this box itself has sent and ended since; the rest of the
// report fades with the time that requests usually take.
//
// Targets of a group step together, so what counts is the load of the whole group:
// the least loaded group is chosen first, and in it the least loaded rank. It is
// not safe for concurrent use.
type Balancer struct {
	rand    *rand.Rand
	targets map[domain.InstanceID]*load
	steps   map[domain.GroupName]*steps
	boxes   int // that choose among the same targets
}

// NewBalancer returns a balancer that breaks ties with rnd.
func NewBalancer(rnd *rand.Rand) *Balancer {
	return &Balancer{rand: rnd, targets: map[domain.InstanceID]*load{}, steps: map[domain.GroupName]*steps{}, boxes: 1}
}

// SetBoxes sets how many boxes choose among the same targets.
func (b *Balancer) SetBoxes(boxes int) { b.boxes = max(boxes, 1) }

const (
	// boxesUsual is how many boxes may each take the target that looks least loaded.
	// Where there are more, all would send to the same few between two reports, so each
	// looks only at a share of the targets, drawn anew for each request: every target
	// is looked at by as many boxes as here.
	boxesUsual = 8
	// lookLeast is how many targets are looked at in any case.
	lookLeast = 2
)

// look draws the options that this box looks at.
func (b *Balancer) look(options []Option) []Option {
	n := max(lookLeast, len(options)*boxesUsual/max(b.boxes, boxesUsual))
	if n >= len(options) {
		return options
	}
	drawn := slices.Clone(options)
	b.rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:n]
}

// load is what is known of one target's load.
type load struct {
	open   int     // requests of this box
	others float64 // requests of other boxes when last reported
	at     time.Time
	pace   float64
	use    time.Duration // mean time of a request of this box
	first  time.Duration // mean time until its answer begins, once it has a slot
}

// Ticket is one request of this box at a target. Its methods belong to the
// balancer's owner, as the balancer's own do.
type Ticket struct {
	load  *load
	at    time.Time
	wait  time.Duration // that was expected
	began bool
}

func (b *Balancer) load(id domain.InstanceID) *load {
	l, ok := b.targets[id]
	if !ok {
		l = &load{pace: 1, use: firstUse, first: firstBegin}
		b.targets[id] = l
	}
	return l
}

// Report takes what a target says of its load.
func (b *Balancer) Report(now time.Time, id domain.InstanceID, r Report) {
	l := b.load(id)
	l.at = now
	l.others = float64(max(0, r.Running+r.Waiting-l.open))
	if r.Slowdown > 0 {
		l.pace = r.Slowdown
	}
}

// Sent counts a request that is sent to the option now.
func (b *Balancer) Sent(now time.Time, o Option) *Ticket {
	_, wait := b.EstimateFirstByte(now, o)
	l := b.load(o.ID)
	l.open++
	return &Ticket{load: l, at: now, wait: wait}
}

// Began records that the answer to the request of the ticket has begun.
func (b *Balancer) Began(now time.Time, t *Ticket) {
	if t.load == nil || t.began {
		return
	}
	t.began = true
	served := max(now.Sub(t.at)-t.wait, 0)
	t.load.first += time.Duration(meanSmoothing * float64(served-t.load.first))
}

// Ended records that the request of the ticket is over. It is counted once.
func (b *Balancer) Ended(now time.Time, t *Ticket) {
	if t.load == nil {
		return
	}
	t.load.open--
	t.load.use += time.Duration(meanSmoothing * float64(now.Sub(t.at)-t.load.use))
	t.load = nil
}

// EstimateFirstByte is after how long an answer from the option is expected to begin, and how
// much of that the request would wait for a slot.
func (b *Balancer) EstimateFirstByte(now time.Time, o Option) (total, wait time.Duration) {
	l := b.load(o.ID)
	over := l.work(now) + 1 - float64(o.Slots)
	if over > 0 && o.Slots > 0 {
		wait = time.Duration(over / float64(o.Slots) * float64(l.use))
	}
	return wait + l.first, wait
}

// InFlight is how many requests of this box are at the target.
func (b *Balancer) InFlight(id domain.InstanceID) int { return b.load(id).open }

// Forget drops what is known of targets that are not in keep and owe no answer, and of
// groups that have been idle for long.
func (b *Balancer) Forget(now time.Time, keep func(domain.InstanceID) bool) {
	b.forgetSteps(now)
	for id, l := range b.targets {
		if l.open == 0 && !keep(id) {
			delete(b.targets, id)
		}
	}
}

// work is how many requests the target is expected to have now.
func (l *load) work(now time.Time) float64 {
	fade := max(l.use, leastFade)
	return float64(l.open) + l.others*math.Exp(-float64(now.Sub(l.at))/float64(fade))
}

// Pick chooses among the options for a request from the data hall; false only
// where there is none.
func (b *Balancer) Pick(now time.Time, hall domain.HallName, options []Option) (Option, bool) {
	options = b.brisk(lowestTier(options))
	if len(options) == 0 {
		return Option{}, false
	}
	return b.least(now, hall, b.look(b.group(now, hall, options))), true
}

// Utilisation is the load of the options as a share of their slots.
func (b *Balancer) Utilisation(now time.Time, options []Option) float64 {
	return b.fill(now, options, 0)
}

// fill is the load with so much more work, as a share of the slots.
func (b *Balancer) fill(now time.Time, options []Option, more float64) float64 {
	work, slots := more, 0
	for _, o := range options {
		work += b.load(o.ID).work(now)
		slots += o.Slots
	}
	if slots == 0 {
		return 0
	}
	return work / float64(slots)
}

func lowestTier(options []Option) []Option {
	var best []Option
	for _, o := range options {
		switch {
		case len(best) == 0 || o.Tier < best[0].Tier:
			best = append(best[:0:0], o)
		case o.Tier == best[0].Tier:
			best = append(best, o)
		}
	}
	return best
}

// pace is that of the slowest of the options.
func (b *Balancer) pace(options []Option) float64 {
	slowest := 1.0
	for _, o := range options {
		slowest = max(slowest, b.load(o.ID).pace)
	}
	return slowest
}

// least is the option with the least load for its slots. One of the same data hall
// wins if it is nearly as free; else chance breaks ties.
func (b *Balancer) least(now time.Time, hall domain.HallName, options []Option) Option {
	var best Option
	least, ties := math.Inf(1), 0
	for _, o := range options {
		fill := (b.load(o.ID).work(now) + 1) / float64(o.Slots) * b.load(o.ID).pace
		if o.Hall != hall {
			fill += nearShare
		}
		switch {
		case fill < least:
			best, least, ties = o, fill, 1
		case fill == least:
			ties++
			if b.rand.IntN(ties) == 0 {
				best = o
			}
		}
	}
	return best
}
