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

// allPaths has a path of every kind of route.
var allPaths = []string{"/once/x", "/again/x", "/stream/x", standin.GroupPath + "x", "/once/y"}

// drawnKinds are the kinds of faults that rapid draws from.
var drawnKinds = []string{
	"kill entry", "stop entry", "kill agent", "stop agent", "refuse link", "slow link", "silence link", "cut store", "silence store",
	"store busy", "store silent", "store slow", "compact store", "target full", "target fails", "break off streams", "drop answers", "slow rank", "late orders",
	"restart target",
}

// busyScenario returns a scenario in which most requests are in flight when a fault starts.
func busyScenario() scenario {
	return scenario{length: 12 * time.Second, callers: 8, paths: allPaths, events: 12, eventGap: 40 * time.Millisecond}
}

// namedScenarios are fixed combinations of faults, which each provoke one kind of failure.
var namedScenarios = []scenario{
	{name: "entry boxes die one after another", faults: []faultSpec{
		{kind: "kill entry", at: 2 * time.Second, lasts: 2 * time.Second, index: 0},
		{kind: "kill entry", at: 4 * time.Second, lasts: 6 * time.Second, index: 1},
	}},
	{name: "targets break off streams, fail and reject", faults: []faultSpec{
		{kind: "break off streams", at: time.Second, lasts: 3 * time.Second, index: 0},
		{kind: "target fails", at: 2 * time.Second, lasts: 6 * time.Second, index: 1},
		{kind: "target full", at: 3 * time.Second, lasts: 4 * time.Second, index: 2},
	}},
	{name: "half of the targets fail and the others are full", faults: []faultSpec{
		{kind: "target fails", at: time.Second, lasts: 9 * time.Second, index: 0},
		{kind: "target fails", at: time.Second, lasts: 9 * time.Second, index: 1},
		{kind: "target full", at: time.Second, lasts: 9 * time.Second, index: 2},
		{kind: "target full", at: time.Second, lasts: 9 * time.Second, index: 3},
	}},
	{name: "targets restart under their ids", faults: []faultSpec{
		{kind: "drop answers", at: time.Second, lasts: 8 * time.Second, index: 1},
		{kind: "restart target", at: 2 * time.Second, lasts: 700 * time.Millisecond, index: 0},
		{kind: "restart target", at: 3 * time.Second, lasts: 4 * time.Second, index: 1},
		{kind: "restart target", at: 3 * time.Second, lasts: 20 * time.Millisecond, index: 2},
	}},
	{name: "targets drop answers", faults: []faultSpec{
		{kind: "drop answers", at: time.Second, lasts: 5 * time.Second, index: 0},
		{kind: "drop answers", at: 2 * time.Second, lasts: 5 * time.Second, index: 3},
	}},
	{name: "a rank carries orders out late", faults: []faultSpec{
		{kind: "late orders", at: time.Second, lasts: 10 * time.Second, index: 2},
		{kind: "kill agent", at: 4 * time.Second, lasts: time.Second, index: 0},
	}},
	{name: "halls receive the configuration late and from each other", faults: []faultSpec{
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
	{name: "links between halls fail for moments", faults: []faultSpec{
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
	{name: "the store is unavailable while a box starts", faults: []faultSpec{
		{kind: "store silent", at: 2 * time.Second, lasts: 6 * time.Second},
		{kind: "kill entry", at: 3 * time.Second, lasts: time.Second, index: 2},
	}},
}

func drawFaults(rt *rapid.T) []faultSpec {
	list := make([]faultSpec, rapid.IntRange(1, 5).Draw(rt, "faults"))
	for i := range list {
		list[i] = faultSpec{
			kind:  rapid.SampledFrom(drawnKinds).Draw(rt, "kind"),
			at:    time.Duration(rapid.IntRange(0, 8000).Draw(rt, "at ms")) * time.Millisecond,
			lasts: time.Duration(rapid.IntRange(200, 6000).Draw(rt, "lasts ms")) * time.Millisecond,
			index: rapid.IntRange(0, 7).Draw(rt, "index"),
		}
	}
	return list
}

// reporter is the part of testing.T and rapid.T that the checks use.
type reporter interface {
	Errorf(format string, args ...any)
}

// checkInvariant runs the load of sc with the faults of each named scenario and with drawn faults,
// and checks each run.
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
		t.Errorf("no request was served, so the run tests nothing")
	}
	check(t, s, h)
}

func TestInvariantOwnResponse(t *testing.T) {
	checkInvariant(t, busyScenario(), func(t reporter, _ *local.System, h *history) {
		for _, a := range h.exchanges {
			if a.reply.Mismatch != "" {
				t.Errorf("%s on %s: %s", a.request.ID, a.request.Path, a.reply.Mismatch)
			}
		}
	})
}

// runCounts returns how many times targets began to run each request, by its ID.
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
				t.Errorf("%s on %s got status %d, which promises that it did not run, but a target ran it", a.request.ID, a.request.Path, a.reply.Status)
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
				t.Errorf("%s must run at most once, but ran %d times", a.request.ID, ran[a.request.ID])
			}
		}
	})
}

// checkMaps checks that no step of the group ran on two maps, and that maps were changed at all.
func checkMaps(t reporter, s *local.System, _ *history) {
	f := s.Group().Stats()
	if f.Violation != "" {
		t.Errorf("%s", f.Violation)
	}
	if f.Copies == 0 {
		t.Errorf("no map was changed in %d steps, so the run tests nothing", f.Steps)
	}
}

func TestInvariantSingleMap(t *testing.T) {
	sc := busyScenario()
	sc.paths = []string{standin.GroupPath + "x"}
	checkInvariant(t, sc, checkMaps)
}

// logBuffer keeps the log lines of all processes.
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

// countLines returns the number of lines that contain all the parts.
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

// TestInvariantSingleMapThroughRelays runs nine ranks behind links so slow that the coordinator
// reads them and sends them orders through relays, while agents die, relays among them, and links
// and the store fail.
func TestInvariantSingleMapThroughRelays(t *testing.T) {
	sc := busyScenario()
	sc.paths, sc.ranks, sc.linkMbps = []string{standin.GroupPath + "x"}, 9, 0.15
	seen := &logBuffer{}
	sc.log = seen
	checkInvariant(t, sc, checkMaps)
	if seen.count("relays=2") == 0 {
		t.Error("no coordinator used two relays, so the run tests nothing")
	}
}

func TestInvariantDraining(t *testing.T) {
	for _, tc := range []struct {
		name   string
		leave  func(*local.System) // makes target 0 leave, which continues to serve
		faults []faultSpec
	}{
		{"its entry says that it is leaving", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() }, nil},
		{"its entry is removed without notice", func(s *local.System) { s.Targets()[0].Unlist() }, nil},
		{"the store refuses connections of one hall", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "cut store", at: time.Second, lasts: 15 * time.Second}}},
		{"the store answers slowly", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "store slow", at: time.Second, lasts: 15 * time.Second}}},
		{"the store compacts its history", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "compact store", at: 2900 * time.Millisecond, lasts: 50 * time.Millisecond}}},
		{"a box dies at the same time", func(s *local.System) { _ = s.Targets()[0].MarkLeaving() },
			[]faultSpec{{kind: "kill entry", at: 2990 * time.Millisecond, lasts: 200 * time.Millisecond, index: 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var left time.Time
			sc := busyScenario()
			sc.faults, sc.paths, sc.length = tc.faults, []string{"/again/x", "/once/x"}, 16*time.Second
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
						t.Errorf("%s began to run %v after the target started to leave", r.ID, late)
					}
				}
				if before == 0 {
					t.Error("the target ran nothing before it left, so the run tests nothing")
				}
			})
		})
	}
}

func TestInvariantGracefulShutdown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []faultSpec
	}{
		// Callers begin their second streams about 4 s after the start.
		{"a box stops", []faultSpec{{kind: "stop entry", at: 4300 * time.Millisecond, lasts: time.Second, index: 1}}},
		{"boxes stop one after another", []faultSpec{
			{kind: "stop entry", at: 3800 * time.Millisecond, lasts: time.Second, index: 0},
			{kind: "stop entry", at: 4300 * time.Millisecond, lasts: time.Second, index: 1},
			{kind: "stop entry", at: 4800 * time.Millisecond, lasts: time.Second, index: 2},
		}},
		{"a box stops while the store is unavailable", []faultSpec{
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
			sc.faults, sc.events, sc.eventGap = tc.faults, 37, 100*time.Millisecond // streams of 3.7 s, the longest that their route allows
			sc.run(t, func(_ *local.System, h *history) {
				if h.served() < sc.callers {
					t.Errorf("only %d requests were served, fewer than there are callers", h.served())
				}
				for _, a := range h.exchanges {
					if !a.reply.Correct && !a.reply.ConnectionRefused() {
						t.Errorf("%s on %s through %s was neither served nor refused: status %d, wrong: %q, error: %v", a.request.ID, a.request.Path, a.box, a.reply.Status, a.reply.Mismatch, a.reply.Err)
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

// configureAndProbe changes the configuration repeatedly and checks that no box, between one start
// and the next, goes back to a version older than one that it has served.
func configureAndProbe(s *local.System, h *history) {
	served := map[string]int{} // highest version, by StartID of the box
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

// probeVersions requests the route that the newest version added, and the route of the highest
// version that the box is known to have served since its start.
func probeVersions(s *local.System, h *history, e *local.EntryBox, served map[string]int, version int) {
	start := e.StartID()
	request := func(v int) standin.Reply {
		return scenario{timeout: time.Second}.send(s, h, e, standin.VersionPath(v))
	}
	if request(version).Correct {
		served[start] = max(served[start], version)
	}
	if before := served[start]; before > 0 && before < version && request(before).Status == 404 && e.StartID() == start {
		h.addViolation("%s served the route of version %d and later answered 404 on it", start, before)
	}
}

// checkApplyTime checks that without faults each version is in force within bounds().ConfigApply.
func checkApplyTime(s *local.System, h *history) {
	for range 5 {
		version, err := s.Configure()
		if err != nil {
			h.addViolation("%v", err)
		}
		time.Sleep(bounds().ConfigApply.Std())
		for _, e := range s.Entries() {
			if r := (scenario{}).send(s, h, e, standin.VersionPath(version)); !r.Correct {
				h.addViolation("%s answers %d on the route of version %d after the bound on applying it", e.Name(), r.Status, version)
			}
		}
	}
}
