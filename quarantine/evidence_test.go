package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/quarantine"
)

// twoEnds returns observations that two targets ended under the work, a second after each other.
func twoEnds(d call.Digest) []quarantine.Observation {
	return []quarantine.Observation{ended(d, "a", 0), ended(d, "b", time.Second)}
}

// TestTrialTellsPartsApart guards against a part that nearly all requests share and that is refused for minutes because all
// prompts that crashed targets had it too.
func TestTrialTellsPartsApart(t *testing.T) {
	common := call.DigestOfPart("s", "c")
	work := func(ids ...string) call.Work {
		p := &call.Prompt{}
		for _, id := range append(ids, "own") {
			p.Prefixes = append(p.Prefixes, call.PromptPrefix{ID: id})
		}
		return call.NewWork("request", "s", p)
	}
	r := observe(observe(quarantine.NewRegister(), twoEnds(fatalPart)...), twoEnds(common)...)
	now := begin.Add(3 * time.Second)
	tries := func(w call.Work) bool {
		d, ok := r.TrialOf(now, w)
		return ok && r.BeginTrial(now, d, alone)
	}
	if tries(work("c")) || tries(work("c", "fa7a1")) {
		t.Error("a trial begins before both parts came in one request, or with both")
	}
	now = begin.Add(7 * time.Second)
	if !tries(work("c")) {
		t.Error("no trial of the common part alone")
	}
	for _, o := range quarantine.PartsServedBy(now, work("c")) {
		r.Observe(now, o)
	}
	if _, barred := r.BarredUntil(now, work("c")); barred {
		t.Error("the common part is barred after a target served it")
	}
	if _, barred := r.BarredUntil(now, work("c", "fa7a1")); !barred || tries(work("c", "fa7a1")) {
		t.Error("the fatal part is not barred, or is tried at once")
	}
}

// TestFatalPartIsFoundAnywhereInPrompt guards against a part that ends its targets and is never found since many parts come before it in each
// prompt: sound ones that all prompts share, or ones that no other prompt has.
func TestFatalPartIsFoundAnywhereInPrompt(t *testing.T) {
	const maxParts = 1400 // with ids of eight digits, in a head of 16 KB
	work := func(n int, parts ...string) call.Work {
		p := &call.Prompt{}
		for _, id := range append(parts, fmt.Sprint("own-", n)) {
			p.Prefixes = append(p.Prefixes, call.PromptPrefix{ID: id})
		}
		return call.NewWork(call.Digest(fmt.Sprint("request-", n)), "s", p)
	}
	for _, tc := range []struct {
		name   string
		before int  // parts before the fatal one
		shared bool // whether all prompts share them
		most   int  // targets that end until the part is in quarantine
	}{
		{"few", 4, true, 2},
		{"more than are attributed ends", 16, true, 3},
		{"as many as a head holds", maxParts, true, 3},
		{"parts of one prompt alone", 20, false, 8},
	} {
		r := quarantine.NewRegister()
		n := 0
		for ; n <= tc.most; n++ {
			now := begin.Add(time.Duration(n) * 3 * time.Second)
			var parts []string
			for i := range tc.before {
				id := fmt.Sprint("a", i)
				if !tc.shared {
					id = fmt.Sprint("a", i, "of", n)
				}
				parts = append(parts, id)
			}
			fatal, sound := work(n, append(slices.Clone(parts), "fa7a1")...), work(1000+n, parts...)
			if _, barred := r.BarredUntil(now, fatal); barred {
				break
			}
			observe(r, r.EndsUnder(now, fatal, domain.InstanceID(fmt.Sprint("t", n)))...)
			for _, o := range quarantine.ServedBy(now.Add(time.Second), sound) {
				r.Observe(now.Add(time.Second), o)
			}
			if _, barred := r.BarredUntil(now.Add(time.Second), sound); barred {
				t.Errorf("%s: the sound parts are in quarantine after %d ends", tc.name, n+1)
			}
		}
		if n > tc.most {
			t.Errorf("%s: the fatal part is not in quarantine after %d ends, want %d at most", tc.name, n, tc.most)
		}
	}
}

// TestOutboxWritesSettledQuarantines guards against records of quarantines that further observations end at once, and against
// records that pile up while the store does not answer.
func TestOutboxWritesSettledQuarantines(t *testing.T) {
	const settled = 500 * time.Millisecond
	r := quarantine.NewRegister()
	o := quarantine.NewOutbox(r, func(at time.Time) time.Time { return at })
	observe(r, ended(fatal, "a", 0), ended(fatal, "b", 0), ended("served", "a", 0), ended("served", "b", 0))
	if !o.AddWork(begin, "served") || !o.AddWork(begin, fatal) || !o.AddWork(begin, fatal) {
		t.Fatal("no room for two works")
	}
	if rec, due := o.Next(begin.Add(settled - 1)); due {
		t.Errorf("record %s is due at once", rec.Name())
	}
	observe(r, quarantine.Observation{Digest: "served", At: begin.Add(settled / 2)})
	if rec, due := o.Next(begin.Add(settled)); !due || rec.Digest() != fatal {
		t.Errorf("due = %v, record %s, want that of the work in quarantine", due, rec.Name())
	}
	o.Written()
	if at, ok := o.NextDue(); ok {
		t.Errorf("a record is due at %v, want none", at)
	}
	added := 0
	for i := range 100 {
		if o.AddWork(begin, call.Digest(fmt.Sprint(i))) {
			added++
		}
	}
	if added != 64 {
		t.Errorf("%d records wait, want 64 at most", added)
	}
}

// TestMessagesHaveRoomForSuspects guards against a suspect of which other boxes learn nothing, because the targets ran so many
// requests as they ended that a message has no room for all.
func TestMessagesHaveRoomForSuspects(t *testing.T) {
	r := quarantine.NewRegister()
	observe(r, ended(fatalPart, "a", 0))
	for i := range 200 {
		observe(r, ended(call.Digest(fmt.Sprint("hit ", i)), "a", time.Second))
	}
	is := func(o quarantine.Observation) bool { return o.Digest == fatalPart }
	if !slices.ContainsFunc(r.Latest(begin.Add(time.Second), false), is) {
		t.Error("a message has no room for the part of prompts")
	}
}

// TestQuarantinesAreBounded guards against a register that grows without bound as more works come into quarantine than it has
// room for.
func TestQuarantinesAreBounded(t *testing.T) {
	const maxWorks, works, pause = 1024, 1150, 1010 * time.Millisecond
	r := quarantine.NewRegister()
	for i := range works {
		d, at := call.Digest(fmt.Sprint("work ", i)), time.Duration(i)*pause
		for _, target := range "abc" {
			observe(r, ended(d, fmt.Sprint(target, i), at))
		}
	}
	if n := len(r.InQuarantine(begin.Add(works * pause))); n > maxWorks || n < maxWorks/2 {
		t.Errorf("%d works in quarantine, want up to %d", n, maxWorks)
	}
}

// TestEndsOfWorkAreBounded guards against a work whose ends take memory without bound, and against ends that boxes drop and
// receive from each other again and again.
func TestEndsOfWorkAreBounded(t *testing.T) {
	const maxEnds, ends, pause = 64, 200, 20 * time.Second
	r := quarantine.NewRegister()
	for i := range ends {
		observe(r, ended(fatal, fmt.Sprint(i), time.Duration(i)*pause))
	}
	last := begin.Add((ends - 1) * pause)
	if n := r.EndedTargets(fatal); n != maxEnds {
		t.Errorf("%d ends are remembered, want %d", n, maxEnds)
	}
	if got := r.Observe(last, ended(fatal, "0", time.Second)); got != quarantine.Unchanged {
		t.Errorf("change %v by an end that was dropped, want none", got)
	}
	if until, _ := r.QuarantinedUntil(last, fatal); until != last.Add(48*time.Hour) {
		t.Errorf("quarantined until %v, want for 48 h from the last end on", until)
	}
}

// targetsOf returns a target for each letter.
func targetsOf(t *testing.T, letters string) []domain.Target {
	t.Helper()
	var list []domain.Target
	for i, id := range letters {
		x, err := domain.NewTarget(domain.TargetFields{ID: domain.InstanceID(id), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), State: domain.TargetReady})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, x)
	}
	return list
}

// TestSurveyIgnoresEndsOfOtherWorks guards against work that goes on crashing targets since those that other work crashed explain its
// ends, each time that it comes into quarantine.
func TestSurveyIgnoresEndsOfOtherWorks(t *testing.T) {
	r, random := quarantine.NewRegister(), rand.New(rand.NewPCG(1, 1))
	observe(r, ended("other", "c", -5*time.Second), ended("other", "d", -4*time.Second), ended("other", "e", 0))
	observe(r, twoEnds(fatalPart)...)
	now := begin.Add(1250 * time.Millisecond)
	if got := r.ToSurvey(now, fatalPart, targetsOf(t, "abcde"), random); len(got) != 0 {
		t.Errorf("%d targets are asked, all of which are known to have ended", len(got))
	}
	if got := r.ToSurvey(now, fatalPart, targetsOf(t, "abcdefg"), random); len(got) != 2 {
		t.Errorf("%d targets are asked, want the two others", len(got))
	}
	if r.ObserveSurvey(now, fatalPart, 3) != quarantine.Released {
		t.Fatal("the work was not released")
	}
	observe(r, ended(fatalPart, "h", 10*time.Second), ended(fatalPart, "i", 11*time.Second))
	if got := r.ToSurvey(begin.Add(11250*time.Millisecond), fatalPart, targetsOf(t, "fgjklmno"), random); len(got) != 0 {
		t.Errorf("%d targets are asked ten seconds after ends of the work were cleared, want none", len(got))
	}
}

// TestSurveyReleasesWorkOfCommonEnds guards against works in quarantine that were retried while most targets ended, of which the
// box observed only the two that had the work.
func TestSurveyReleasesWorkOfCommonEnds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended int // of those that were asked
		want  quarantine.Change
	}{{"no other ended", 0, quarantine.Unchanged}, {"few others ended", 2, quarantine.Unchanged}, {"many others ended", 3, quarantine.Released}} {
		t.Run(tc.name, func(t *testing.T) {
			r, other := observe(quarantine.NewRegister(), twoEnds(fatal)...), observe(quarantine.NewRegister(), twoEnds(fatal)...)
			now := begin.Add(time.Second)
			asked := r.ToSurvey(now, fatal, targetsOf(t, "abcdefghijkl"), rand.New(rand.NewPCG(1, 1)))
			if len(asked) != 8 || slices.ContainsFunc(asked, func(x domain.Target) bool { return x.ID() <= "b" }) {
				t.Errorf("%d targets are asked, want 8 of those that did not end under the work", len(asked))
			}
			if got := r.ObserveSurvey(now, fatal, tc.ended); got != tc.want {
				t.Errorf("change %d, want %d", got, tc.want)
			}
			for _, o := range r.Cleared(now) {
				other.ObserveCleared(now, o)
			}
			_, here := r.QuarantinedUntil(now, fatal)
			_, there := other.QuarantinedUntil(now, fatal)
			if want := tc.want == quarantine.Unchanged; here != want || there != want {
				t.Errorf("in quarantine %v here and %v at another box, want %v", here, there, want)
			}
		})
	}
}
