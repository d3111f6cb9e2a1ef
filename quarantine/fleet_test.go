package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/quarantine"
)

// modelStep is the resolution of the model's time.
const modelStep = 250 * time.Millisecond

// modelBox is a box of a model of a fleet.
type modelBox struct {
	name     domain.BoxID
	register *quarantine.Register
	dead     bool
	part     int // boxes of different parts are cut from each other
	trialEnd time.Time
}

// message is the part of an advert that is about quarantines.
type message struct {
	to           *modelBox
	from         *modelBox
	sent, due    time.Time
	observations []quarantine.Observation
	cleared      []quarantine.Observation
	claims       []quarantine.Claim
	lifts        []quarantine.Lift
}

// model is a fleet of boxes that exchange observations of one work, which each request reaches at a random
// box. Messages take up to 750 ms, and are lost between boxes that are cut from each other.
type model struct {
	rand     *rand.Rand
	now      time.Time
	boxes    []*modelBox
	messages []message
	harmless bool
	lasts    time.Duration                // duration of an attempt
	onTrial  func(*model, *modelBox) bool // called as a trial begins; returns whether its box gets the result
	ended    int                          // targets that ended in trials
}

func newModel(seed uint64, boxes int) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 1)), now: begin, lasts: modelStep}
	for i := range boxes {
		b := &modelBox{name: domain.BoxID(fmt.Sprint("b-", i)), register: quarantine.NewRegister()}
		observe(b.register, ended(fatal, "a", 0), ended(fatal, "b", 0))
		b.register.NoteBoxes(fatal, boxes)
		m.boxes = append(m.boxes, b)
	}
	return m
}

// fleet returns the boxes as the box sees them. Dead boxes are forgotten, and so are those cut off for long.
func (m *model) fleet(b *modelBox) quarantine.Fleet {
	f := quarantine.Fleet{Self: b.name}
	for _, x := range m.boxes {
		if !x.dead && x.part == b.part {
			f.Reached = append(f.Reached, x.name)
		}
	}
	f.Known = len(f.Reached)
	return f
}

// request has the box handle a request of the work.
func (m *model) request(b *modelBox) {
	if _, quarantined := b.register.QuarantinedUntil(m.now, fatal); b.dead || !quarantined || !b.register.BeginTrial(m.now, fatal, m.fleet(b)) {
		return
	}
	b.trialEnd = m.now.Add(m.lasts)
	if m.onTrial != nil && !m.onTrial(m, b) {
		b.trialEnd = time.Time{}
	}
	if !m.harmless {
		m.ended++
	}
}

func (m *model) step(requestChance float64) {
	m.now = m.now.Add(modelStep)
	for _, b := range m.boxes {
		if b.dead || b.trialEnd.IsZero() || m.now.Before(b.trialEnd) {
			continue
		}
		o := quarantine.Observation{Digest: fatal, At: m.now}
		if !m.harmless {
			o.Target = domain.InstanceID(fmt.Sprint("t-", m.ended))
		}
		b.register.Observe(m.now, o)
		b.register.EndTrial(m.now, fatal, true)
		b.trialEnd = time.Time{}
	}
	m.deliver()
	for i, b := range m.boxes {
		if turn := int(m.now.Sub(begin)/modelStep) + i; !b.dead && turn%2 == 0 {
			m.send(b, turn%12 < 2)
		}
		if m.rand.Float64() < requestChance {
			m.request(b)
		}
	}
}

// deliver has the boxes receive the messages that are due.
func (m *model) deliver() {
	var waiting []message
	for _, x := range m.messages {
		switch {
		case m.now.Before(x.due):
			waiting = append(waiting, x)
		case x.from.part == x.to.part && !x.to.dead:
			x.receive(m.now)
		}
	}
	m.messages = waiting
}

// send sends messages to three other boxes.
func (m *model) send(b *modelBox, all bool) {
	for range 3 {
		x := message{to: m.boxes[m.rand.IntN(len(m.boxes))], from: b, sent: m.now, due: m.now.Add(time.Duration(m.rand.IntN(4)) * modelStep)}
		x.observations, x.claims, x.lifts = b.register.Latest(m.now, all), b.register.Claims(m.now), b.register.Lifts(m.now)
		x.cleared = b.register.Cleared(m.now)
		m.messages = append(m.messages, x)
	}
}

// receive adds the message to the receiver's register. It states ages, so that the receiver takes its
// contents for later by the delay of the message.
func (x message) receive(now time.Time) {
	for _, l := range x.lifts {
		x.to.register.ObserveLift(now, quarantine.ReceivedLift(now, l.Digest, x.sent.Sub(l.At)))
	}
	for _, o := range x.observations {
		x.to.register.Observe(now, quarantine.ReceivedObservation(now, o.Digest, o.Target, x.sent.Sub(o.At)))
	}
	for _, o := range x.cleared {
		x.to.register.ObserveCleared(now, o)
	}
	for _, c := range x.claims {
		x.to.register.ObserveClaim(now, c)
	}
}

// quarantined returns the number of living boxes of the part at which the work is in quarantine.
func (m *model) quarantined(part int) int {
	n := 0
	for _, b := range m.boxes {
		if _, q := b.register.QuarantinedUntil(m.now, fatal); q && !b.dead && b.part == part {
			n++
		}
	}
	return n
}

// dies and isCutOff end a box, or cut it off, as it begins its first trial.
func dies(m *model, b *modelBox) bool {
	first := m.onTrial != nil
	m.onTrial, b.dead = nil, first
	return !first
}

func isCutOff(m *model, b *modelBox) bool {
	b.part, m.onTrial = 1, nil
	return true
}

// TestTrialReleasesHarmlessWork guards against harmless work that all boxes refuse for a whole quarantine
// of two minutes, also if the first trial has no result.
func TestTrialReleasesHarmlessWork(t *testing.T) {
	for _, tc := range []struct {
		name    string
		boxes   int
		onTrial func(*model, *modelBox) bool
		lasts   time.Duration
		within  time.Duration
	}{
		{"four boxes", 4, nil, modelStep, 80 * time.Second},
		{"40 boxes", 40, nil, modelStep, 80 * time.Second},
		{"attempts take long", 12, nil, 25 * time.Second, 110 * time.Second},
		{"the first box dies in its trial", 12, dies, modelStep, 100 * time.Second},
		{"the first box is cut off in its trial", 12, isCutOff, modelStep, 100 * time.Second},
		{"the caller leaves the first trial", 12, func(m *model, b *modelBox) bool {
			m.onTrial = nil
			b.register.EndTrial(m.now, fatal, true)
			return false
		}, modelStep, 100 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var after []time.Duration
			for seed := range uint64(10) {
				m := newModel(seed, tc.boxes)
				m.harmless, m.onTrial, m.lasts = true, tc.onTrial, tc.lasts
				for m.quarantined(0) > 0 {
					m.step(0.1)
				}
				after = append(after, m.now.Sub(begin))
			}
			slices.Sort(after)
			t.Logf("released at all boxes after %v to %v, median %v", after[0], after[9], after[5])
			if after[9] > tc.within {
				t.Errorf("released after %v, want %v", after, tc.within)
			}
		})
	}
}

// TestTrialsOfFatalWork guards against trials that cost more than the quarantine spares: work that crashes
// its targets ends at most one in each quarantine, or two if a box is lost in its trial, at however many
// boxes it is requested.
func TestTrialsOfFatalWork(t *testing.T) {
	parts := func(n int) func(*model, *modelBox) bool {
		return func(m *model, _ *modelBox) bool {
			for i, b := range m.boxes {
				b.part = i % n
			}
			return true
		}
	}
	for _, tc := range []struct {
		name     string
		onTrial  func(*model, *modelBox) bool
		cutFirst bool // onTrial is called at the beginning
		lasts    time.Duration
		chance   float64 // that a request reaches a box in a step
		maxEnded int     // in a first quarantine and its successor
	}{
		{"each box is asked all the time", nil, false, modelStep, 1, 1},
		{"a box is asked once in ten seconds", nil, false, modelStep, 0.025, 1},
		{"targets end late", nil, false, 20 * time.Second, 0.5, 1},
		{"the first box dies in its trial", dies, false, modelStep, 0.5, 2},
		{"the first box is cut off in its trial", isCutOff, false, modelStep, 0.5, 2},
		{"the fleet is in two halves", parts(2), true, modelStep, 1, 0},
		{"the fleet is in four parts", parts(4), true, modelStep, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			total := 0
			for seed := range uint64(3) {
				m := newModel(seed, 12)
				m.lasts, m.onTrial = tc.lasts, tc.onTrial
				if tc.cutFirst {
					m.onTrial = nil
					tc.onTrial(m, nil)
				}
				for m.now.Sub(begin) < 2*time.Minute-modelStep {
					m.step(tc.chance)
				}
				total += m.ended
				if m.ended > tc.maxEnded {
					t.Errorf("seed %d: %d targets ended in the first quarantine, want at most %d", seed, m.ended, tc.maxEnded)
				}
				if tc.cutFirst {
					continue
				}
				for m.now.Sub(begin) < 14*time.Minute {
					m.step(tc.chance)
				}
				if m.ended > tc.maxEnded+1 {
					t.Errorf("seed %d: %d targets ended within 14 minutes, want at most %d", seed, m.ended, tc.maxEnded+1)
				}
			}
			if total < tc.maxEnded {
				t.Error("no trial began: the run tests nothing")
			}
		})
	}
}

// TestReportOfServiceClearsNoLaterEnds guards against work that goes on crashing its targets because it was served before: reports of that
// take time, and a box that took the time of their arrival for that of the service would drop ends that came after
// it, and pass an even later time on.
func TestReportOfServiceClearsNoLaterEnds(t *testing.T) {
	for seed := range uint64(10) {
		m := newModel(seed, 7)
		for i, b := range m.boxes {
			b.register = quarantine.NewRegister()
			if i < 4 {
				b.register.Observe(m.now, quarantine.Observation{Digest: fatal, At: m.now})
			}
		}
		for n := range 4 {
			for range 8 { // two seconds
				m.step(0)
			}
			m.boxes[m.rand.IntN(len(m.boxes))].register.Observe(m.now, quarantine.Observation{Digest: fatal, Target: domain.InstanceID(fmt.Sprint("t-", n)), At: m.now})
		}
		for range 12 {
			m.step(0)
		}
		if n := m.quarantined(0); n != len(m.boxes) {
			t.Errorf("seed %d: in quarantine at %d of %d boxes after four targets had ended, want all", seed, n, len(m.boxes))
		}
	}
}
