package quarantine_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/quarantine"
)

// The load of the model of prompts, in which requests of many callers share parts of their prompts, and ranks run in
// two groups that stop when one of their ranks ends.
const (
	promptStep      = 10 * time.Millisecond
	groupRanks      = 8
	groupOutage     = 4500 * time.Millisecond
	commonParts     = 160 // first parts of prompts, some of them far more frequent than others
	fatalFirst      = 10  // number of the first part of prompts with the fatal part
	perSecond       = 76  // requests
	fatalPerSecond  = 4   // of these, prompts with the fatal part
	eventPause      = 50 * time.Millisecond
	eventsPerAnswer = 26
)

var fatalPart = call.DigestOfPart("s", "fa7a1")

// prompt is a request that a target has.
type prompt struct {
	box      *modelBox
	work     call.Work
	fatal    bool
	related  bool
	attempts int
	beginsAt time.Time // when the target begins to write, or ends if the prompt is fatal
	events   int
	known    bool        // whether its parts were known as the first target ended under it
	tries    call.Digest // work in quarantine that the request tries; empty if it is none
}

// endTrial ends the trial of the request, if it is one.
func (p *prompt) endTrial(now time.Time, ran bool) {
	if p.tries != "" {
		p.box.register.EndTrial(now, p.tries, ran)
		p.tries = ""
	}
}

// rank is a target of the model.
type rank struct {
	start   int // number of starts
	prompts []*prompt
}

// promptModel is a fleet of boxes before two groups.
type promptModel struct {
	*model
	ranks    [2 * groupRanks]rank
	opensAt  [2]time.Time
	requests int
	ends     []time.Time // of targets that the fatal part ended
	fatals   []time.Time // arrivals of prompts with the fatal part at targets
	refused  int         // sound requests that were refused because of a quarantine
	// related is the number of sound requests with the first part of the fatal ones, and relatedRefused that of those that
	// were refused.
	related, relatedRefused int
}

func newPromptModel(seed uint64, boxes int) *promptModel {
	m := &promptModel{model: newModel(seed, boxes)}
	for _, b := range m.boxes {
		b.register = quarantine.NewRegister()
	}
	return m
}

// newPrompt returns a request like those of the fleet: its first part is shared with others, its last is its own.
func (m *promptModel) newPrompt(fatal bool) *prompt {
	m.requests++
	first := int(math.Pow(commonParts, m.rand.Float64())) // Zipf's law
	p := &prompt{box: m.boxes[m.rand.IntN(len(m.boxes))], fatal: fatal}
	prefixes := []call.PromptPrefix{{ID: fmt.Sprint("c", first)}, {ID: "own"}}
	if fatal {
		prefixes = []call.PromptPrefix{{ID: fmt.Sprint("c", fatalFirst)}, {ID: "fa7a1"}, {ID: "own"}}
	} else if p.related = first == fatalFirst; p.related {
		m.related++
	}
	p.work = call.NewWork(call.Digest(fmt.Sprint("r", m.requests)), "s", &call.Prompt{Prefixes: prefixes})
	return p
}

// send sends the request to a rank of an open group, unless it is barred.
func (m *promptModel) send(p *prompt) {
	if p.attempts == 2 {
		return
	}
	if _, barred := p.box.register.BarredUntil(m.now, p.work); barred {
		d, ok := p.box.register.TrialOf(m.now, p.work)
		if !ok || !p.box.register.BeginTrial(m.now, d, m.fleet(p.box)) {
			if !p.fatal {
				m.refused++
			}
			if p.related {
				m.relatedRefused++
			}
			return
		}
		p.tries = d
	}
	r := m.rand.IntN(len(m.ranks))
	if m.now.Before(m.opensAt[r/groupRanks]) {
		r = (r + groupRanks) % len(m.ranks)
	}
	if m.now.Before(m.opensAt[r/groupRanks]) {
		p.endTrial(m.now, false)
		return
	}
	p.attempts++
	p.beginsAt, p.events = m.now.Add(time.Duration(30+m.rand.IntN(150))*time.Millisecond), 0
	m.ranks[r].prompts = append(m.ranks[r].prompts, p)
	if p.fatal {
		m.fatals = append(m.fatals, m.now)
	}
}

// end ends the rank, which stops its group. Requests that the other ranks of the group had are lost without a trace.
func (m *promptModel) end(r int) {
	x := &m.ranks[r]
	target, lost := domain.InstanceID(fmt.Sprintf("t-%d@%d", r, x.start)), x.prompts
	*x = rank{start: x.start + 1}
	first := r / groupRanks * groupRanks
	for i := first; i < first+groupRanks; i++ {
		for _, p := range m.ranks[i].prompts {
			p.endTrial(m.now, true)
		}
		m.ranks[i].prompts = nil
	}
	m.opensAt[r/groupRanks] = m.now.Add(groupOutage)
	for _, p := range lost {
		w, isBegun := p.work, !m.now.Before(p.beginsAt)
		known := p.box.register.KnowsParts(w)
		if p.attempts == 1 {
			p.known = known
		}
		if p.events > 0 || p.attempts > 1 && !p.known {
			w = w.WithoutParts()
		}
		isSuspect := isBegun && p.events == 0 && !known
		m.observe(p.box, p.box.register.EndsUnder(m.now, w, target))
		p.endTrial(m.now, true)
		if !isSuspect {
			m.send(p)
		}
	}
}

// observe adds observations to the register of the box, which sends them on if they are new.
func (m *promptModel) observe(b *modelBox, list []quarantine.Observation) {
	changed := false
	for _, o := range list {
		changed = b.register.Observe(m.now, o) != quarantine.Unchanged || changed
	}
	if changed {
		m.model.send(b, false)
	}
}

// run runs the prompts of a rank for a step.
func (m *promptModel) run(r int) {
	running := m.ranks[r].prompts[:0]
	for _, p := range m.ranks[r].prompts {
		since := m.now.Sub(p.beginsAt)
		switch events := int(since / eventPause); {
		case since < 0:
		case p.fatal:
			m.ends = append(m.ends, m.now)
			m.end(r)
			return
		case events >= eventsPerAnswer:
			m.observe(p.box, quarantine.ServedBy(m.now, p.work))
			p.endTrial(m.now, true)
			continue
		case events >= 2 && p.events < 2:
			m.observe(p.box, quarantine.PartsServedBy(m.now, p.work))
			p.events = events
		default:
			p.events = events
		}
		running = append(running, p)
	}
	m.ranks[r].prompts = running
}

// play runs the model for a time.
func (m *promptModel) play(length time.Duration, fatal bool, trouble func(since time.Duration)) {
	start, chance := m.now, promptStep.Seconds()
	for m.now.Sub(start) < length {
		m.now = m.now.Add(promptStep)
		if trouble != nil {
			trouble(m.now.Sub(start))
		}
		for r := range m.ranks {
			m.run(r)
		}
		m.deliver()
		if m.rand.Float64() < perSecond*chance {
			m.send(m.newPrompt(false))
		}
		if fatal && m.rand.Float64() < fatalPerSecond*chance {
			m.send(m.newPrompt(true))
		}
		for _, b := range m.boxes {
			if m.rand.Float64() < 2*chance {
				m.model.send(b, m.rand.IntN(6) == 0)
			}
		}
	}
}

// lateFatals returns how many prompts with the fatal part arrived more than three seconds after the fifth end.
func (m *promptModel) lateFatals() int {
	n := 0
	for _, at := range m.fatals {
		if len(m.ends) >= 5 && at.Sub(m.ends[4]) > 3*time.Second {
			n++
		}
	}
	return n
}

// TestPromptsThatShareFatalPart guards against requests that differ from each other and crash one target after the other
// because of a part that their prompts share, and against refusing prompts that share the other part, which few others
// have.
func TestPromptsThatShareFatalPart(t *testing.T) {
	const length, maxLate = 40 * time.Second, 3
	for _, tc := range []struct {
		name    string
		warmUp  time.Duration // of sound prompts alone
		served  bool          // whether targets served the part before
		maxEnds int
	}{
		{"other parts were served before", 10 * time.Second, false, 5},
		{"nothing was served before", 0, false, 5},
		{"the part was served before", 10 * time.Second, true, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(8) {
				m := newPromptModel(seed, 7)
				m.play(tc.warmUp, false, nil)
				for _, b := range m.boxes {
					if tc.served {
						b.register.Observe(m.now, quarantine.Observation{Digest: fatalPart, At: m.now})
					}
				}
				m.play(length, true, nil)
				t.Logf("seed %d: %d targets ended, %d prompts with the part arrived late, %d of %d sound requests refused, %d of %d related ones",
					seed, len(m.ends), m.lateFatals(), m.refused, m.requests, m.relatedRefused, m.related)
				if len(m.ends) == 0 || len(m.ends) > tc.maxEnds || m.lateFatals() > maxLate {
					t.Errorf("seed %d: %d targets ended, %d prompts with the part arrived late; want 1 to %d, and at most %d", seed, len(m.ends), m.lateFatals(), tc.maxEnds, maxLate)
				}
				if 50*m.refused > m.requests || 2*m.relatedRefused > m.related {
					t.Errorf("seed %d: %d of %d sound requests were refused, and %d of %d that share the first part; want at most 1 in 50, and half", seed, m.refused, m.requests, m.relatedRefused, m.related)
				}
			}
		})
	}
}

// TestPromptsOfTargetsThatEndTogether guards against parts in quarantine that crash nothing: ranks end by themselves, one after
// the other, or most of them within a moment, as when racks lose power.
func TestPromptsOfTargetsThatEndTogether(t *testing.T) {
	const length, pause = 30 * time.Second, 6 * time.Second
	for _, tc := range []struct {
		name  string
		ranks int // that end at a time
	}{{"groups lose a rank", 1}, {"two ranks end", 2}, {"racks lose power", 10}} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(8) {
				m, next := newPromptModel(seed, 7), pause
				m.play(length, false, func(since time.Duration) {
					if since < next {
						return
					}
					next += pause
					for _, r := range m.rand.Perm(len(m.ranks))[:tc.ranks] {
						m.end(r)
					}
				})
				if m.refused > 0 {
					t.Errorf("seed %d: %d of %d requests were refused because of a quarantine, want none", seed, m.refused, m.requests)
				}
			}
		})
	}
}
