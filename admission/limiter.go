package admission

import (
	"time"
)

// Limiter decides which new callers a group of targets that step together takes when it runs nearly as many
// requests as it can run in time. It learns the length of steps as a function of the load, and how long
// steps become for a moment when demand shifts. The limit is the load at which even these steps meet the
// objective for the gaps between events.
//
// A peak that could not be in time with half of the slots does not count. If not even usual steps could,
// there is no limit: refusing would help nobody.
type Limiter struct {
	epoch     uint64
	objective objective
	firstGap  time.Time // since when gaps are seen without a break
	lastGap   time.Time
	load      Load
	loadAt    time.Time
	model     stepModel
	gaps      gapHistory
}

// Load is the load of a group as its targets report it.
type Load struct {
	Requests int // running and waiting
	Slots    int
	Age      time.Duration // mean age of the reports
}

const (
	// MaxReportAge is the greatest age of reports that state the present load: about the duration of a request.
	MaxReportAge = 1500 * time.Millisecond
	// observedFor is how long gaps must have been seen before anybody is refused, and the longest time
	// without one. A group takes many steps in it.
	observedFor = time.Second
)

// share returns the load as a share of the slots; false if it is unknown.
func (l Load) share() (float64, bool) {
	known := l.Slots > 0 && l.Requests >= 0 && l.Age.Abs() <= MaxReportAge
	return float64(l.Requests) / float64(max(l.Slots, 1)), known
}

// runningShare returns the part of the load that runs: requests above the slots wait and lengthen no steps.
func runningShare(load float64) float64 { return min(load, 1) }

// NewLimiter returns a limiter that has seen nothing.
func NewLimiter() *Limiter { return &Limiter{} }

// Formed records the epoch of the group. The limiter forgets what it saw in earlier ones.
func (l *Limiter) Formed(epoch uint64) {
	if epoch > l.epoch {
		*l = Limiter{epoch: epoch}
	}
}

// ObserveLoad records the load of the group.
func (l *Limiter) ObserveLoad(now time.Time, load Load) { l.load, l.loadAt = load, now }

// ObserveGap records the time between two events of a stream, and the longest such time that its route
// allows.
func (l *Limiter) ObserveGap(now time.Time, gap, longest time.Duration) {
	if gap <= 0 || longest <= 0 {
		return
	}
	if now.Sub(l.lastGap) > observedFor {
		l.firstGap = now
	}
	l.lastGap = now
	l.objective.add(now, longest)
	load, known := l.knownLoad(now)
	if !known {
		return
	}
	if s, ok := l.gaps.add(now, gap.Seconds(), runningShare(load)); ok {
		l.learn(s)
	}
}

// learn records a step.
func (l *Limiter) learn(s step) {
	s.base = l.model.base(s.load, s.length)
	l.gaps.keep(s)
	l.model.observe(s.load, s.length)
}

// knownLoad returns the load as a share of the slots; false if it is unknown.
func (l *Limiter) knownLoad(now time.Time) (float64, bool) {
	share, known := l.load.share()
	return share, known && now.Sub(l.loadAt) <= MaxReportAge
}

// State is what a Limiter bases its decisions on.
type State struct {
	Thresholds Thresholds
	Load       float64       // share of the slots
	Usual      time.Duration // length of usual steps at the load
	Peak       time.Duration // length of the longest of the last steps at the load
	Objective  time.Duration // longest gap that is in time
}

// State returns the present state; false if nobody is refused: little is known about the group, or its
// streams would not be in time with half of the load.
func (l *Limiter) State(now time.Time) (State, bool) {
	load, known := l.knownLoad(now)
	usual, seen := l.gaps.usual(now)
	if !known || !seen || now.Sub(l.lastGap) > observedFor || now.Sub(l.firstGap) < observedFor {
		return State{}, false
	}
	longest := l.objective.value.Seconds()
	most := l.model.base(minLimit, longest)
	if usual > most {
		return State{}, false
	}
	peak := l.gaps.peak(now, usual, most)
	at := 1 + l.model.growth()*runningShare(load)
	return State{
		Thresholds: NewThresholds(l.model.loadAt(peak, longest)), Load: load, Objective: l.objective.value,
		Usual: seconds(usual * at), Peak: seconds(peak * at),
	}, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// objective is the shortest of the gaps that the routes of recent streams allow.
type objective struct {
	value  time.Duration
	seenAt time.Time
}

// objectiveRetention is how long an objective counts after the last event of a stream that has it.
const objectiveRetention = 5 * time.Second

func (o *objective) add(now time.Time, value time.Duration) {
	if o.value == 0 || value <= o.value || now.Sub(o.seenAt) > objectiveRetention {
		o.value, o.seenAt = value, now
	}
}
