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
	Group domain.GroupName // empty for a target without a group
	Slots int
	// Tier ranks targets by health, 0 being the best; Pick considers only the lowest tier among
	// its options.
	Tier int
	// Limited reports that each request to the target needs a permit.
	Limited bool
	// Cold reports that the target takes fewer requests than usual for a while.
	Cold bool
}

// Report is the load that a target reports.
type Report struct {
	Running, Waiting int
	// Slowdown is how many times longer than usual the target's steps take; 1 is usual.
	Slowdown float64
}

const (
	meanSmoothing    = 0.1                    // weight of a new sample in a moving average
	initialDuration  = time.Second            // assumed duration of a request before any sample
	initialFirstByte = 100 * time.Millisecond // assumed time to the first byte before any sample
	minFade          = 200 * time.Millisecond // shortest time constant with which reported load decays
	// otherHallPenalty is added to the score of targets in other data halls, so that a target of the
	// same hall with a slightly higher load is preferred. It is less than the utilisation that one
	// request adds to the smallest target in use.
	otherHallPenalty = 0.05
)

// Balancer chooses targets by load reports that arrive late. It corrects the last report of a target
// by the requests that this box has sent and finished since. The load from other boxes in that report
// decays over the mean duration of a request.
//
// Targets of a group run their steps together, so the load of the whole group counts: the least
// loaded group is chosen first, and then the least loaded rank in it, or one by interpretation of the
// reports if many boxes choose (SetInterpretReports). A Balancer is not safe for concurrent use.
type Balancer struct {
	rand    *rand.Rand
	targets map[domain.InstanceID]*load
	steps   map[domain.GroupName]*steps
	boxes   int // number of boxes that choose among the same targets
	// interpretReports enables load interpretation if other boxes choose among the same targets.
	interpretReports bool
}

// NewBalancer returns a balancer that breaks ties with rnd.
func NewBalancer(rnd *rand.Rand) *Balancer {
	return &Balancer{rand: rnd, targets: map[domain.InstanceID]*load{}, steps: map[domain.GroupName]*steps{}, boxes: 1}
}

// SetBoxes sets the number of boxes that choose among the same targets.
func (b *Balancer) SetBoxes(boxes int) { b.boxes = max(boxes, 1) }

// SetInterpretReports sets whether boxes distribute requests by what all of them are expected to send until
// reports are renewed, instead of choosing the least loaded option of a sample. A single box knows the load. It is
// off in a new Balancer.
func (b *Balancer) SetInterpretReports(on bool) { b.interpretReports = on }

const (
	// maxBoxesPerTarget is the number of boxes that may all consider the same target. With more
	// boxes, all would send to the same few least loaded targets between two reports. They therefore
	// interpret the reports (interpretation). If that is disabled, each box considers a random sample
	// of the targets, drawn for each request, so that each target is considered by this number of boxes.
	maxBoxesPerTarget = 8
	// minSample is the least number of targets in a sample.
	minSample = 2
)

// sample draws the options that this box considers for one request.
func (b *Balancer) sample(options []Option) []Option {
	n := max(minSample, len(options)*maxBoxesPerTarget/max(b.boxes, maxBoxesPerTarget))
	if n >= len(options) {
		return options
	}
	drawn := slices.Clone(options)
	b.rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:n]
}

// load is the known load of one target.
type load struct {
	inFlight   int     // requests of this box
	others     float64 // requests of other boxes at the last report
	reportedAt time.Time
	interval   time.Duration // mean time between two reports; 0 before the second
	slowdown   float64
	duration   time.Duration // mean duration of a request of this box
	firstByte  time.Duration // mean time to the first byte, without the wait for a slot
	ended      recentMean    // of the durations of requests of this box that have ended
	begun      recentMean    // of the times to the first byte of requests of this box, without the wait for a slot
	answered   recentMean    // of the durations of requests of this box that were answered to their end
}

// Ticket is one request of this box at a target. Like the Balancer that returned it, it is not
// safe for concurrent use.
type Ticket struct {
	load   *load // load of the target; nil once the request has ended
	sentAt time.Time
	wait   time.Duration // expected wait for a slot
	began  bool
	pause  time.Duration // longest time between two events of the answer so far
}

func (b *Balancer) load(id domain.InstanceID) *load {
	l, ok := b.targets[id]
	if !ok {
		l = &load{slowdown: 1, duration: initialDuration, firstByte: initialFirstByte}
		b.targets[id] = l
	}
	return l
}

// Report records the load that a target reports. A slowdown that is not above 0 or not finite is ignored; the
// last valid one stays in use, and is 1 before the first.
func (b *Balancer) Report(now time.Time, id domain.InstanceID, r Report) {
	l := b.load(id)
	l.recordInterval(now)
	l.reportedAt = now
	l.others = float64(max(0, r.Running+r.Waiting-l.inFlight))
	if r.Slowdown > 0 && !math.IsInf(r.Slowdown, 1) {
		l.slowdown = r.Slowdown
	}
}

// Sent records that a request is sent to the option now.
func (b *Balancer) Sent(now time.Time, o Option) *Ticket {
	_, wait := b.EstimateFirstByte(now, o)
	l := b.load(o.ID)
	l.inFlight++
	return &Ticket{load: l, sentAt: now, wait: wait}
}

// Began records that the first byte of the answer has arrived. Only the first call for a ticket counts.
func (b *Balancer) Began(now time.Time, t *Ticket) {
	if t.load == nil || t.began {
		return
	}
	t.began = true
	served := max(now.Sub(t.sentAt)-t.wait, 0)
	t.load.firstByte += time.Duration(meanSmoothing * float64(served-t.load.firstByte))
	t.load.begun.add(served)
}

// Paused records the time between two events of the answer.
func (b *Balancer) Paused(t *Ticket, pause time.Duration) { t.pause = max(t.pause, pause) }

// Ended records that the request of the ticket is over. Only the first call for a ticket counts.
func (b *Balancer) Ended(now time.Time, t *Ticket) {
	if t.load == nil {
		return
	}
	t.load.inFlight--
	t.load.recordEnd(now.Sub(t.sentAt))
	t.load = nil
}

// Answered records that the request of the ticket is over and its whole answer has arrived. It takes the place
// of Ended.
func (b *Balancer) Answered(now time.Time, t *Ticket) {
	if t.load != nil {
		t.load.answered.add(now.Sub(t.sentAt) - t.pause)
	}
	b.Ended(now, t)
}

// recordEnd records that a request of this box has ended after the duration.
func (l *load) recordEnd(d time.Duration) {
	l.duration += time.Duration(meanSmoothing * float64(d-l.duration))
	l.ended.add(d)
}

// recordInterval records that a report is received now. Intervals count up to maxReportAge, so that one
// long outage does not outweigh the usual ones.
func (l *load) recordInterval(now time.Time) {
	if l.reportedAt.IsZero() {
		return
	}
	passed := min(max(now.Sub(l.reportedAt), 0), maxReportAge)
	if l.interval == 0 {
		l.interval = passed
		return
	}
	l.interval += time.Duration(meanSmoothing * float64(passed-l.interval))
}

// EstimateFirstByte returns the expected time to the first byte of an answer from the option, and
// the part of it that the request would wait for a slot.
func (b *Balancer) EstimateFirstByte(now time.Time, o Option) (total, wait time.Duration) {
	l := b.load(o.ID)
	over := l.expectedRequests(now) + 1 - float64(o.Slots)
	if over > 0 && o.Slots > 0 {
		wait = time.Duration(over / float64(o.Slots) * float64(l.duration))
	}
	return wait + l.firstByte, wait
}

// MeanFirstByte returns the mean time to the first byte of the requests of this box at the options, without the
// wait for a slot; 0 before there is one.
func (b *Balancer) MeanFirstByte(options []Option) time.Duration {
	var all recentMean
	for _, o := range options {
		all.join(b.load(o.ID).begun)
	}
	return all.value()
}

// MeanAnswer returns the mean duration of the requests of this box that the options answered to their end, each
// without its longest pause; 0 before there is one. Neither the requests that an outage of their group cut off count
// nor the time for which it interrupted others.
func (b *Balancer) MeanAnswer(options []Option) time.Duration {
	var all recentMean
	for _, o := range options {
		all.join(b.load(o.ID).answered)
	}
	return all.value()
}

// InFlight returns the number of requests of this box that are running at the target.
func (b *Balancer) InFlight(id domain.InstanceID) int { return b.load(id).inFlight }

// Forget drops targets that are not in keep and have no requests of this box in flight, and groups
// without a pause for stepsRetention.
func (b *Balancer) Forget(now time.Time, keep func(domain.InstanceID) bool) {
	b.forgetSteps(now)
	for id, l := range b.targets {
		if l.inFlight == 0 && !keep(id) {
			delete(b.targets, id)
		}
	}
}

// expectedRequests estimates how many requests the target has now.
func (l *load) expectedRequests(now time.Time) float64 {
	fade := max(l.duration, minFade)
	return float64(l.inFlight) + l.others*math.Exp(-float64(now.Sub(l.reportedAt))/float64(fade))
}

// Pick chooses an option for a request that arrived in the data hall. It returns false only if
// there are no options.
func (b *Balancer) Pick(now time.Time, hall domain.HallName, options []Option) (Option, bool) {
	options = b.withoutSlowRanks(lowestTier(options))
	if len(options) == 0 {
		return Option{}, false
	}
	options = b.chooseGroup(now, hall, options)
	if b.interpretReports && b.boxes > 1 {
		return options[b.interpret(now, hall, options).draw(b.rand.Float64())], true
	}
	return b.leastLoaded(now, hall, b.sample(options)), true
}

// Utilisation returns the load of the options as a share of their slots.
func (b *Balancer) Utilisation(now time.Time, options []Option) float64 {
	return b.utilisationWith(now, options, 0)
}

// utilisationWith returns the utilisation of the options with a number of additional requests.
func (b *Balancer) utilisationWith(now time.Time, options []Option, additional float64) float64 {
	requests, slots := additional, 0
	for _, o := range options {
		requests += b.load(o.ID).expectedRequests(now)
		slots += o.Slots
	}
	if slots == 0 {
		return 0
	}
	return requests / float64(slots)
}

// lowestTier returns the options with the lowest tier; the given slice if all have the same tier.
func lowestTier(options []Option) []Option {
	if len(options) == 0 {
		return nil
	}
	lowest, same := options[0].Tier, true
	for _, o := range options {
		same = same && o.Tier == lowest
		lowest = min(lowest, o.Tier)
	}
	if same {
		return options
	}
	var best []Option
	for _, o := range options {
		if o.Tier == lowest {
			best = append(best, o)
		}
	}
	return best
}

// maxSlowdown returns the slowdown of the slowest option, and at least 1.
func (b *Balancer) maxSlowdown(options []Option) float64 {
	slowest := 1.0
	for _, o := range options {
		slowest = max(slowest, b.load(o.ID).slowdown)
	}
	return slowest
}

// leastLoaded returns the option with the lowest utilisation, weighted by slowdown. An option of the
// same data hall is preferred if its utilisation is nearly as low; other ties are broken at random.
func (b *Balancer) leastLoaded(now time.Time, hall domain.HallName, options []Option) Option {
	var best Option
	least, ties := math.Inf(1), 0
	for _, o := range options {
		score := (b.load(o.ID).expectedRequests(now) + 1) / float64(o.Slots) * b.load(o.ID).slowdown
		if o.Hall != hall {
			score += otherHallPenalty
		}
		switch {
		case score < least:
			best, least, ties = o, score, 1
		case score == least:
			ties++
			if b.rand.IntN(ties) == 0 {
				best = o
			}
		}
	}
	return best
}
