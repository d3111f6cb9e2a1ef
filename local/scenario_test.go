package local_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/local"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/settings"
)

// apiKey is the API key of the only organisation.
const apiKey = "k"

// groupShape is the shape of a small group of ranks. The demand moves to other experts every 3 s.
var groupShape = standin.GroupShape{
	Name: "g0", Ranks: 3, Layers: 2, Experts: 12, Slots: 6, Staging: 2,
	StepTime: 30 * time.Millisecond, CopyTime: 50 * time.Millisecond, ExpertShare: 0.85, FormTime: formTime,
	Demand: func(at time.Time, layer, expert int) float64 {
		const experts, shiftInterval = 12, 3 * time.Second
		hot := (int(at.UnixNano()/int64(shiftInterval)) + layer) % experts
		if expert == hot {
			return 0.5
		}
		return 0.5 / (experts - 1)
	},
}

// faultSpec is a fault that starts at a time after the start of the run and ends after it lasted
// for a time.
type faultSpec struct {
	kind  string // a key of faultKinds
	at    time.Duration
	lasts time.Duration
	index int // index of the affected box, agent, target, rank or pair of halls
}

// scenario is one run of the whole system in fake time.
type scenario struct {
	name      string
	length    time.Duration
	callers   int
	paths     []string      // paths that callers request in turn
	timeout   time.Duration // time limit of callers; at least 4 s applies
	events    int           // number of events of a stream; 0 for the default
	eventGap  time.Duration
	loadGap   time.Duration // additional time between events for each request that a target has
	faults    []faultSpec
	seed      uint64
	operator  func(*local.System, *history) // runs concurrently with the callers
	ranks     int                           // number of ranks; 0 for that of groupShape
	halls     int                           // number of data halls; 0 for two
	entries   int                           // number of entry boxes; 0 for four
	targets   int                           // number of targets outside the group; 0 for four
	linkMbps  float64                       // configured link rate of the ranks' boxes, in Mbit/s; 0 for 1000
	log       io.Writer                     // receives the log lines of all processes
	fatalBody string                        // the body of requests that crash targets; empty if no request does
	// fatalPrefix is the part of prompts that crashes targets; empty if none does
	fatalPrefix string
	coldRate    float64           // requests a second that a cold target takes; 0 if as many as others
	evacuates   bool              // whether the platform has evacuations of data halls
	overload    *process.Overload // settings of the entry boxes; nil for the defaults

	retrySlack float64 // of the bounds; 0 for that of a current platform

	stop time.Duration // of the bounds; 0 for the default of bounds
}

// exchange is one request of a caller and its reply.
type exchange struct {
	request   standin.Request
	box       string
	sentAt    time.Time
	reply     standin.Reply
	repliedAt time.Time // when the caller had received the reply
}

// history records the requests of a run, and the violations found while it goes on.
//
// Lock order: mu is the only lock.
type history struct {
	mu         sync.Mutex
	exchanges  []exchange
	violations []string // messages
	ids        int
}

func (h *history) nextID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ids++
	return fmt.Sprintf("q-%d", h.ids)
}

func (h *history) add(a exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchanges = append(h.exchanges, a)
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// served returns the number of requests with a complete reply.
func (h *history) served() int {
	n := 0
	for _, a := range h.exchanges {
		if a.reply.Correct {
			n++
		}
	}
	return n
}

// faultKind starts and ends faults of one kind. The index chooses the box, target, rank or halls.
type faultKind struct{ start, stop func(*local.System, int) }

// faultKinds has the kinds of faults by name. The error of Start is ignored: a process that runs
// already is not started again, and a start on a network in memory cannot fail.
var faultKinds = map[string]faultKind{
	"kill entry": {
		func(s *local.System, i int) { entry(s, i).Kill() },
		func(s *local.System, i int) { _ = entry(s, i).Start() }},
	"stop entry": {
		func(s *local.System, i int) { entry(s, i).Stop() },
		func(s *local.System, i int) { _ = entry(s, i).Start() }},
	"kill agent": {
		func(s *local.System, i int) { agent(s, i).Kill() },
		func(s *local.System, i int) { _ = agent(s, i).Start() }},
	"stop agent": {
		func(s *local.System, i int) { agent(s, i).Stop() },
		func(s *local.System, i int) { _ = agent(s, i).Start() }},
	"refuse link":   hallLinkFault(local.Refused),
	"slow link":     hallLinkFault(local.Slow),
	"silence link":  hallLinkFault(local.Silent),
	"cut store":     storeLinkFault(local.Refused),
	"silence store": storeLinkFault(local.Silent),
	"store busy":    storeFault(standin.Unavailable, 0),
	"store silent":  storeFault(standin.Unresponsive, 0),
	"store slow":    storeFault(standin.Healthy, 300*time.Millisecond),
	"compact store": {
		func(s *local.System, _ int) { s.Store.Compact() },
		func(s *local.System, _ int) { s.Store.Compact() }},
	"restart target": {
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Restart() },
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Restart() }},
	"target full": targetFault(func(h *standin.Behaviour, on bool) { h.RejectAll = on }),
	// The entry of a target may be written again for another reason while it is still ready.
	"relist target": {
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Relist() },
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Relist() }},
	"target fails":      targetFault(func(h *standin.Behaviour, on bool) { h.Fail = on }),
	"drop answers":      targetFault(func(h *standin.Behaviour, on bool) { h.DropResponse = on }),
	"break off streams": targetFault(func(h *standin.Behaviour, on bool) { h.BreakAtEvent = map[bool]int{true: 3}[on] }),
	"late orders": {
		func(s *local.System, i int) { s.Group().SetOrderDelay(i%groupShape.Ranks, 250*time.Millisecond) },
		func(s *local.System, i int) { s.Group().SetOrderDelay(i%groupShape.Ranks, 0) }},
	"slow rank": {
		func(s *local.System, i int) { s.Group().SetSlowdown(i%groupShape.Ranks, 8) },
		func(s *local.System, i int) { s.Group().SetSlowdown(i%groupShape.Ranks, 1) }},
}

func entry(s *local.System, i int) *local.EntryBox { return s.Entries()[i%len(s.Entries())] }
func agent(s *local.System, i int) *local.AgentBox { return s.Agents()[i%len(s.Agents())] }

func hallLinkFault(l local.Link) faultKind {
	set := func(s *local.System, i int, l local.Link) {
		h := s.Halls()
		s.Network.SetLink(h[i%len(h)], h[(i+1)%len(h)], l)
	}
	return faultKind{
		func(s *local.System, i int) { set(s, i, l) },
		func(s *local.System, i int) { set(s, i, local.Open) },
	}
}

func storeLinkFault(l local.Link) faultKind {
	set := func(s *local.System, i int, l local.Link) {
		s.Network.SetLink(s.Halls()[i%len(s.Halls())], local.StoreHall, l)
	}
	return faultKind{
		func(s *local.System, i int) { set(s, i, l) },
		func(s *local.System, i int) { set(s, i, local.Open) },
	}
}

func storeFault(t standin.FailureMode, delay time.Duration) faultKind {
	return faultKind{
		func(s *local.System, _ int) { s.Store.SetFailureMode(t, delay) },
		func(s *local.System, _ int) { s.Store.SetFailureMode(standin.Healthy, 0) },
	}
}

func targetFault(set func(*standin.Behaviour, bool)) faultKind {
	turned := func(s *local.System, i int, on bool) {
		s.Targets()[i%len(s.Targets())].Target().ChangeBehaviour(func(h *standin.Behaviour) { set(h, on) })
	}
	return faultKind{
		func(s *local.System, i int) { turned(s, i, true) },
		func(s *local.System, i int) { turned(s, i, false) },
	}
}

// bounds returns the bounds of a current platform.
func bounds() process.Bounds {
	b := process.DefaultBounds()
	b.RetryShare, b.RetrySlack = 0.2, 90
	b.Stop = settings.Duration(12 * time.Second)
	return b
}

// run runs the scenario, waits for settleTime, and then checks the system and the history.
func (sc scenario) run(t *testing.T, check func(*local.System, *history)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		shape := groupShape
		shape.Ranks = cmp.Or(sc.ranks, groupShape.Ranks)
		var halls []domain.HallName
		for i := range cmp.Or(sc.halls, 2) {
			halls = append(halls, domain.HallName(fmt.Sprintf("hall-%d", i+1)))
		}
		limits := bounds()
		limits.RetrySlack = cmp.Or(sc.retrySlack, limits.RetrySlack)
		limits.Stop = cmp.Or(settings.Duration(sc.stop), limits.Stop)
		if sc.evacuates {
			limits.Evacuate = settings.Duration(evacuationBound)
		}
		sys, err := local.Start(local.Layout{
			Halls: halls, Entries: cmp.Or(sc.entries, 4), Targets: cmp.Or(sc.targets, 4), Group: &shape,
			Keys: map[string]string{"org": apiKey}, Bounds: limits, Memory: true, ColdRate: sc.coldRate, LinkMbps: sc.linkMbps, Log: sc.log, Overload: sc.overload,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := sys.Close(); err != nil {
				t.Error(err)
			}
		}()
		sc.waitUntilServing(t, sys)
		h := &history{}
		sc.play(sys, h)
		time.Sleep(settleTime)
		check(sys, h)
	})
}

// settleTime is the wait after a scenario for requests that may still run late.
const settleTime = 5 * time.Second

// waitUntilServing sets the habits of the targets and waits until all boxes serve requests.
func (sc scenario) waitUntilServing(t *testing.T, sys *local.System) {
	for _, x := range sys.Targets() {
		sc.setHabits(x.Target())
	}
	for r := range groupShape.Ranks {
		sc.setHabits(sys.Group().Target(r))
	}
	for _, e := range sys.Entries() {
		for tries := 0; !sys.SendRequest(t.Context(), e, standin.Request{ID: "first", Path: "/again/x", Key: apiKey, Timeout: time.Second}).Correct; tries++ {
			if tries > 100 {
				t.Fatalf("%s did not serve a request in %d tries", e.Name(), tries+1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (sc scenario) setHabits(x *standin.Target) {
	x.ChangeBehaviour(func(h *standin.Behaviour) {
		if sc.events > 0 {
			h.Events = sc.events
		}
		if sc.eventGap > 0 {
			h.EventGap = sc.eventGap
		}
		h.LoadGap = sc.loadGap
		h.CrashBody, h.CrashDelay, h.CrashPrefix = sc.fatalBody, crashAfter, sc.fatalPrefix
	})
}

// play runs the faults, the operator and the callers concurrently.
func (sc scenario) play(sys *local.System, h *history) {
	var wg sync.WaitGroup
	for _, x := range sc.faults {
		wg.Go(func() { x.inject(sys) })
	}
	if sc.operator != nil {
		wg.Go(func() { sc.operator(sys, h) })
	}
	end := time.Now().Add(sc.length)
	for i := range sc.callers {
		wg.Go(func() { sc.runCaller(sys, h, i, end) })
	}
	wg.Wait()
}

func (x faultSpec) inject(s *local.System) {
	kind := faultKinds[x.kind]
	time.Sleep(x.at)
	kind.start(s, x.index)
	time.Sleep(x.lasts)
	kind.stop(s, x.index)
}

// runCaller sends the requests of one caller, one after another, to random boxes that are ready.
func (sc scenario) runCaller(sys *local.System, h *history, caller int, end time.Time) {
	rnd := rand.New(rand.NewPCG(sc.seed, uint64(caller)))
	for n := 0; time.Now().Before(end); n++ {
		e := entry(sys, rnd.IntN(len(sys.Entries())))
		if e.Ready(context.Background()) {
			sc.send(sys, h, e, sc.paths[(caller+n)%len(sc.paths)])
		}
		time.Sleep(time.Duration(20+rnd.IntN(80)) * time.Millisecond)
	}
}

func (sc scenario) send(sys *local.System, h *history, e *local.EntryBox, path string) standin.Reply {
	q := standin.Request{ID: h.nextID(), Path: path, Key: apiKey, Body: "text of " + path, Timeout: max(sc.timeout, 4*time.Second)}
	a := exchange{request: q, box: e.Name(), sentAt: time.Now()}
	a.reply = sys.SendRequest(context.Background(), e, q)
	a.repliedAt = time.Now()
	h.add(a)
	return a.reply
}
