package local_test

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 8, 0) }

// allPaths are the paths of every kind of route.
var allPaths = []string{"/once/x", "/again/x", "/stream/x", standin.GroupPath + "x", "/once/y"}

// drawnKinds are what may be drawn.
var drawnKinds = []string{
	"kill entry", "stop entry", "kill agent", "stop agent", "refuse link", "slow link", "silence link", "cut store", "silence store",
	"store busy", "store silent", "store slow", "store forgets", "target full", "target fails", "target breaks", "answers lost", "slow rank", "late orders",
	"target starts again",
}

// busyScenario is a run in which most requests are under way when something goes wrong.
func busyScenario() scenario {
	return scenario{length: 12 * time.Second, callers: 8, paths: allPaths, events: 12, eventGap: 40 * time.Millisecond}
}

// namedScenarios are runs that provoke a failure surely.
var namedScenarios = []scenario{
	{name: "entry boxes die one after another", faults: []faultSpec{
		{kind: "kill entry", at: 2 * time.Second, lasts: 2 * time.Second, index: 0},
		{kind: "kill entry", at: 4 * time.Second, lasts: 6 * time.Second, index: 1},
	}},
	{name: "targets break off, fail and refuse", faults: []faultSpec{
		{kind: "target breaks", at: time.Second, lasts: 3 * time.Second, index: 0},
		{kind: "target fails", at: 2 * time.Second, lasts: 6 * time.Second, index: 1},
		{kind: "target full", at: 3 * time.Second, lasts: 4 * time.Second, index: 2},
	}},
	{name: "half of the targets fail and the others are full", faults: []faultSpec{
		{kind: "target fails", at: time.Second, lasts: 9 * time.Second, index: 0},
		{kind: "target fails", at: time.Second, lasts: 9 * time.Second, index: 1},
		{kind: "target full", at: time.Second, lasts: 9 * time.Second, index: 2},
		{kind: "target full", at: time.Second, lasts: 9 * time.Second, index: 3},
	}},
	{name: "targets start again under their ids", faults: []faultSpec{
		{kind: "answers lost", at: time.Second, lasts: 8 * time.Second, index: 1},
		{kind: "target starts again", at: 2 * time.Second, lasts: 700 * time.Millisecond, index: 0},
		{kind: "target starts again", at: 3 * time.Second, lasts: 4 * time.Second, index: 1},
		{kind: "target starts again", at: 3 * time.Second, lasts: 20 * time.Millisecond, index: 2},
	}},
	{name: "answers are lost", faults: []faultSpec{
		{kind: "answers lost", at: time.Second, lasts: 5 * time.Second, index: 0},
		{kind: "answers lost", at: 2 * time.Second, lasts: 5 * time.Second, index: 3},
	}},
	{name: "a rank carries orders out late", faults: []faultSpec{
		{kind: "late orders", at: time.Second, lasts: 10 * time.Second, index: 2},
		{kind: "kill agent", at: 4 * time.Second, lasts: time.Second, index: 0},
	}},
	{name: "halls learn the configuration late and from each other", faults: []faultSpec{
		{kind: "slow link", at: 0, lasts: 9 * time.Second},
		{kind: "silence store", at: time.Second, lasts: 1300 * time.Millisecond, index: 0},
		{kind: "silence store", at: 3 * time.Second, lasts: 1300 * time.Millisecond, index: 1},
		{kind: "silence store", at: 5 * time.Second, lasts: 900 * time.Millisecond, index: 0},
	}},
	{name: "messages between halls are slow as agents die", faults: []faultSpec{
		{kind: "slow link", at: 500 * time.Millisecond, lasts: 10 * time.Second},
		{kind: "kill agent", at: 3 * time.Second, lasts: time.Second, index: 0},
		{kind: "kill agent", at: 6 * time.Second, lasts: time.Second, index: 1},
	}},
	{name: "halls lose each other for moments", faults: []faultSpec{
		{kind: "refuse link", at: 2 * time.Second, lasts: 50 * time.Millisecond},
		{kind: "refuse link", at: 4 * time.Second, lasts: 300 * time.Millisecond},
		{kind: "silence link", at: 6 * time.Second, lasts: 3 * time.Second},
	}},
	{name: "agents die as maps change", faults: []faultSpec{
		{kind: "kill agent", at: 1500 * time.Millisecond, lasts: 500 * time.Millisecond, index: 0},
		{kind: "kill agent", at: 3100 * time.Millisecond, lasts: 2 * time.Second, index: 0},
		{kind: "kill agent", at: 4 * time.Second, lasts: 2 * time.Second, index: 1},
		{kind: "slow rank", at: 6 * time.Second, lasts: 3 * time.Second, index: 2},
	}},
	{name: "the store is away while a box starts", faults: []faultSpec{
		{kind: "store silent", at: 2 * time.Second, lasts: 6 * time.Second},
		{kind: "kill entry", at: 3 * time.Second, lasts: time.Second, index: 2},
	}},
}

func drawFaults(rt *rapid.T) []faultSpec {
	list := make([]faultSpec, rapid.IntRange(1, 5).Draw(rt, "troubles"))
	for i := range list {
		list[i] = faultSpec{
			kind:  rapid.SampledFrom(drawnKinds).Draw(rt, "kind"),
			at:    time.Duration(rapid.IntRange(0, 8000).Draw(rt, "at ms")) * time.Millisecond,
			lasts: time.Duration(rapid.IntRange(200, 6000).Draw(rt, "last ms")) * time.Millisecond,
			index: rapid.IntRange(0, 7).Draw(rt, "pick"),
		}
	}
	return list
}

// reporter is what rapid and testing have in common here.
type reporter interface {
	Errorf(format string, args ...any)
}

// checkInvariant runs the named scenarios and drawn ones with the load of sc.
func checkInvariant(t *testing.T, sc scenario, check func(reporter, *local.System, *history)) {
	for _, n := range namedScenarios {
		t.Run(n.name, func(t *testing.T) {
			one := sc
			one.faults, one.seed = n.faults, 1
			one.run(t, func(s *local.System, h *history) { checkAll(t, s, h, check) })
		})
	}
	t.Run("drawn", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			one := sc
			one.faults, one.seed = drawFaults(rt), rapid.Uint64().Draw(rt, "seed")
			one.run(t, func(s *local.System, h *history) { checkAll(rt, s, h, check) })
		})
	})
}

func checkAll(t reporter, s *local.System, h *history, check func(reporter, *local.System, *history)) {
	for _, f := range h.violations {
		t.Errorf("%s", f)
	}
	if h.served() == 0 {
		t.Errorf("nothing was served, so the run shows nothing")
	}
	check(t, s, h)
}

func TestInvariantOwnResponse(t *testing.T) {
	checkInvariant(t, busyScenario(), func(t reporter, _ *local.System, h *history) {
		for _, a := range h.exchanges {
			if a.reply.Wrong != "" {
				t.Errorf("%s on %s: %s", a.request.ID, a.request.Path, a.reply.Wrong)
			}
		}
	})
}

// runCounts counts how often each request was begun.
func runCounts(s *local.System) map[string]int {
	n := map[string]int{}
	for _, r := range s.Runs() {
		n[r.ID]++
	}
	return n
}

func TestInvariantNotRun(t *testing.T) {
	checkInvariant(t, busyScenario(), func(t reporter, s *local.System, h *history) {
		ran := runCounts(s)
		for _, a := range h.exchanges {
			if a.reply.NotRun() && ran[a.request.ID] > 0 {
				t.Errorf("%s on %s was answered %d, not run, and ran", a.request.ID, a.request.Path, a.reply.Status)
			}
		}
	})
}

func TestInvariantAtMostOnce(t *testing.T) {
	sc := busyScenario()
	sc.paths = []string{"/once/x", "/once/y", "/again/x"}
	checkInvariant(t, sc, func(t reporter, s *local.System, h *history) {
		ran := runCounts(s)
		for _, a := range h.exchanges {
			if strings.HasPrefix(a.request.Path, "/once/") && ran[a.request.ID] > 1 {
				t.Errorf("%s ran %d times", a.request.ID, ran[a.request.ID])
			}
		}
	})
}

// checkMaps: the group never stepped on two maps, and changed some.
func checkMaps(t reporter, s *local.System, _ *history) {
	f := s.Group().Figures()
	if f.Broken != "" {
		t.Errorf("%s", f.Broken)
	}
	if f.Copies == 0 {
		t.Errorf("no map was changed in %d steps, so the run shows nothing", f.Steps)
	}
}

func TestInvariantSingleMap(t *testing.T) {
	sc := busyScenario()
	sc.paths = []string{standin.GroupPath + "x"}
	checkInvariant(t, sc, checkMaps)
}

// logBuffer keeps what all processes log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.text.Bytes(), []byte(part))
}

// countLines counts the lines that have all the parts.
func (l *logBuffer) countLines(parts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for line := range strings.Lines(l.text.String()) {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			n++
		}
	}
	return n
}

// TestInvariantSingleMapThroughRelays: nine ranks behind links so narrow that they are read
// and told through relays, while agents die, relays among them, and links and the store
// fail.
func TestInvariantSingleMapThroughRelays(t *testing.T) {
	sc := busyScenario()
	sc.paths, sc.ranks, sc.linkMbps = []string{standin.GroupPath + "x"}, 9, 0.15
	seen := &logBuffer{}
	sc.log = seen
	checkInvariant(t, sc, checkMaps)
	if seen.count("relays=2") == 0 {
		t.Error("no coordinator used relays")
	}
}

func TestInvariantDraining(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(*local.System) // makes target 0 leave, which goes on serving
		also  []faultSpec
	}{
		{"it says that it is leaving", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() }, nil},
		{"its entry goes without a word", func(s *local.System) { s.Targets()[0].Unlist() }, nil},
		{"one hall is turned away by the store", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "cut store", at: time.Second, lasts: 15 * time.Second}}},
		{"the store answers slowly", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "store slow", at: time.Second, lasts: 15 * time.Second}}},
		{"the store forgets its history", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "store forgets", at: 2900 * time.Millisecond, lasts: 50 * time.Millisecond}}},
		{"a box dies in the moment", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "kill entry", at: 2990 * time.Millisecond, lasts: 200 * time.Millisecond, index: 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var left time.Time
			sc := busyScenario()
			sc.faults, sc.paths, sc.length = tc.also, []string{"/again/x", "/once/x"}, 16*time.Second
			sc.operator = func(s *local.System, _ *history) {
				time.Sleep(3 * time.Second)
				tc.leave(s)
				left = time.Now()
			}
			sc.run(t, func(s *local.System, _ *history) {
				before := 0
				for _, r := range s.Runs() {
					switch late := r.At.Sub(left); {
					case r.Target != s.Targets()[0].ID():
					case late < 0:
						before++
					case late > bounds().Drain.Std():
						t.Errorf("%s began %v after the target was leaving", r.ID, late)
					}
				}
				if before == 0 {
					t.Error("the target never had work, so the test shows nothing")
				}
			})
		})
	}
}

func TestInvariantGracefulShutdown(t *testing.T) {
	for _, tc := range []struct {
		name     string
		troubles []faultSpec
	}{
		// Callers begin their second streams about 4 s after the start.
		{"a box stops", []faultSpec{{kind: "stop entry", at: 4300 * time.Millisecond, lasts: time.Second, index: 1}}},
		{"boxes stop one after another", []faultSpec{
			{kind: "stop entry", at: 3800 * time.Millisecond, lasts: time.Second, index: 0},
			{kind: "stop entry", at: 4300 * time.Millisecond, lasts: time.Second, index: 1},
			{kind: "stop entry", at: 4800 * time.Millisecond, lasts: time.Second, index: 2},
		}},
		{"a box stops while the store is away", []faultSpec{
			{kind: "store silent", at: time.Second, lasts: 10 * time.Second},
			{kind: "stop entry", at: 4300 * time.Millisecond, lasts: time.Second, index: 3},
		}},
		{"agents stop as maps change", []faultSpec{
			{kind: "stop agent", at: 1500 * time.Millisecond, lasts: time.Second, index: 0},
			{kind: "stop agent", at: 3100 * time.Millisecond, lasts: time.Second, index: 1},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.callers = 40
			sc.faults, sc.events, sc.eventGap = tc.troubles, 37, 100*time.Millisecond // streams of 3.7 s, the longest that their route allows
			sc.run(t, func(_ *local.System, h *history) {
				if h.served() < sc.callers {
					t.Errorf("only %d answers came", h.served())
				}
				for _, a := range h.exchanges {
					if !a.reply.Right && !a.reply.Refused() {
						t.Errorf("%s on %s by %s ended with %d, %s, %v", a.request.ID, a.request.Path, a.box, a.reply.Status, a.reply.Wrong, a.reply.Err)
					}
				}
			})
		})
	}
}

func TestInvariantConfigMonotonic(t *testing.T) {
	sc := busyScenario()
	sc.operator = configureAndProbe
	checkInvariant(t, sc, func(reporter, *local.System, *history) {})
	calm := busyScenario()
	calm.operator = checkApplyTime
	calm.run(t, func(_ *local.System, h *history) {
		for _, f := range h.violations {
			t.Error(f)
		}
	})
}

// configureAndProbe changes the configuration over and over and looks that no life of a
// box goes back behind a version that it has served.
func configureAndProbe(s *local.System, h *history) {
	served := map[string]int{} // by box
	for range 20 {
		version, err := s.Configure()
		if err != nil {
			h.addViolation("%v", err)
		}
		for _, e := range s.Entries() {
			probeVersions(s, h, e, served, version)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// probeVersions asks for the route that the newest version brought, and for the newest one that
// this life of the box is known to have served.
func probeVersions(s *local.System, h *history, e *local.EntryBox, served map[string]int, version int) {
	life := e.StartID()
	ask := func(v int) standin.Reply {
		return scenario{timeout: time.Second}.send(s, h, e, standin.VersionPath(v))
	}
	if ask(version).Right {
		served[life] = max(served[life], version)
	}
	if before := served[life]; before > 0 && before < version && ask(before).Status == 404 && e.StartID() == life {
		h.addViolation("%s served version %d and then knew no such route", life, before)
	}
}

// checkApplyTime: with nothing wrong, each version is in force within the bound.
func checkApplyTime(s *local.System, h *history) {
	for range 5 {
		version, err := s.Configure()
		if err != nil {
			h.addViolation("%v", err)
		}
		time.Sleep(bounds().ConfigApply.Std())
		for _, e := range s.Entries() {
			if r := (scenario{}).send(s, h, e, standin.VersionPath(version)); !r.Right {
				h.addViolation("%s answers %d on the route of version %d after the bound", e.Name(), r.Status, version)
			}
		}
	}
}
