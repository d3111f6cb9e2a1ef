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

// key is the key of the one organisation.
const key = "k"

// group is a small group of ranks whose demand jumps every few seconds.
var group = standin.GroupShape{
	Name: "g0", Ranks: 3, Layers: 2, Experts: 12, Places: 6, Staging: 2,
	Step: 30 * time.Millisecond, Copy: 50 * time.Millisecond, Share: 0.85,
	Demand: func(at time.Time, layer, expert int) float64 {
		const experts, jump = 12, 3 * time.Second
		hot := (int(at.UnixNano()/int64(jump)) + layer) % experts
		if expert == hot {
			return 0.5
		}
		return 0.5 / (experts - 1)
	},
}

// trouble is something that goes wrong at a time and is mended after another.
type trouble struct {
	kind string // a key of troubles
	at   time.Duration
	last time.Duration
	pick int // which box or pair of halls
}

// scenario is one run of the whole system in fake time.
type scenario struct {
	name     string
	length   time.Duration
	callers  int
	paths    []string // that callers ask for, by turns
	within   time.Duration
	events   int // of a stream
	gap      time.Duration
	troubles []trouble
	seed     uint64
	operate  func(*local.System, *history) // runs beside the callers
	ranks    int                           // of the group; 0 for the usual few
	halls    int                           // 0 for two
	entries  int                           // 0 for four
	targets  int                           // that stand alone; 0 for four
	link     float64                       // of their boxes, in Mbit/s; 0 for plenty
	log      io.Writer                     // takes the lines of all processes
	fatal    string                        // the body of requests that crash targets; empty for none
}

// asked is one request and its reply.
type asked struct {
	request standin.Request
	box     string
	at      time.Time
	reply   standin.Reply
	done    time.Time // when the caller had the reply
}

// history is what was seen in a run.
//
// Lock order: mu is the only lock.
type history struct {
	mu     sync.Mutex
	asked  []asked
	faults []string // violations found on the way
	ids    int
}

func (h *history) id() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ids++
	return fmt.Sprintf("q-%d", h.ids)
}

func (h *history) add(a asked) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked = append(h.asked, a)
}

func (h *history) fault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// right counts the requests that were served whole.
func (h *history) right() int {
	n := 0
	for _, a := range h.asked {
		if a.reply.Right {
			n++
		}
	}
	return n
}

// turn is how a kind of trouble begins and ends.
type turn struct{ begin, end func(*local.System, int) }

// A process that runs already is not started again, and in memory nothing can fail to.
var troubles = map[string]turn{
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
	"refuse link":   linkTrouble(local.Refused),
	"slow link":     linkTrouble(local.Slow),
	"silence link":  linkTrouble(local.Silent),
	"cut store":     storeLink(local.Refused),
	"silence store": storeLink(local.Silent),
	"store busy":    storeTrouble(standin.Busy, 0),
	"store silent":  storeTrouble(standin.Silent, 0),
	"store slow":    storeTrouble(standin.Sound, 300*time.Millisecond),
	"store forgets": {
		func(s *local.System, _ int) { s.Store.Compact() },
		func(s *local.System, _ int) { s.Store.Compact() }},
	"target starts again": {
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Restart() },
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Restart() }},
	"target full": habit(func(h *standin.Habits, on bool) { h.Full = on }),
	// As its entry may change for another reason: it is listed anew, and still as ready.
	"list again": {
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Relist() },
		func(s *local.System, i int) { _ = s.Targets()[i%len(s.Targets())].Relist() }},
	"target fails":  habit(func(h *standin.Habits, on bool) { h.Fail = on }),
	"answers lost":  habit(func(h *standin.Habits, on bool) { h.Drop = on }),
	"target breaks": habit(func(h *standin.Habits, on bool) { h.BreakAt = map[bool]int{true: 3}[on] }),
	"late orders": {
		func(s *local.System, i int) { s.Group().Delay(i%group.Ranks, 250*time.Millisecond) },
		func(s *local.System, i int) { s.Group().Delay(i%group.Ranks, 0) }},
	"slow rank": {
		func(s *local.System, i int) { s.Group().Slow(i%group.Ranks, 8) },
		func(s *local.System, i int) { s.Group().Slow(i%group.Ranks, 1) }},
}

func entry(s *local.System, i int) *local.EntryBox { return s.Entries()[i%len(s.Entries())] }
func agent(s *local.System, i int) *local.AgentBox { return s.Agents()[i%len(s.Agents())] }

func linkTrouble(l local.Link) turn {
	set := func(s *local.System, i int, l local.Link) {
		h := s.Halls()
		s.Network.SetLink(h[i%len(h)], h[(i+1)%len(h)], l)
	}
	return turn{
		func(s *local.System, i int) { set(s, i, l) },
		func(s *local.System, i int) { set(s, i, local.Open) },
	}
}

func storeLink(l local.Link) turn {
	set := func(s *local.System, i int, l local.Link) {
		s.Network.SetLink(s.Halls()[i%len(s.Halls())], local.StoreHall, l)
	}
	return turn{
		func(s *local.System, i int) { set(s, i, l) },
		func(s *local.System, i int) { set(s, i, local.Open) },
	}
}

func storeTrouble(t standin.Trouble, delay time.Duration) turn {
	return turn{
		func(s *local.System, _ int) { s.Store.SetTrouble(t, delay) },
		func(s *local.System, _ int) { s.Store.SetTrouble(standin.Sound, 0) },
	}
}

func habit(set func(*standin.Habits, bool)) turn {
	turned := func(s *local.System, i int, on bool) {
		s.Targets()[i%len(s.Targets())].Target().Behave(func(h *standin.Habits) { set(h, on) })
	}
	return turn{
		func(s *local.System, i int) { turned(s, i, true) },
		func(s *local.System, i int) { turned(s, i, false) },
	}
}

// bounds are those of a platform of today.
func bounds() process.Bounds {
	b := process.DefaultBounds()
	b.RetryShare, b.RetrySlack = 0.2, 90
	b.Stop = settings.Duration(12 * time.Second)
	return b
}

// run runs the scenario, then checks what was seen.
func (sc scenario) run(t *testing.T, check func(*local.System, *history)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		shape := group
		shape.Ranks = cmp.Or(sc.ranks, group.Ranks)
		var halls []domain.HallName
		for i := range cmp.Or(sc.halls, 2) {
			halls = append(halls, domain.HallName(fmt.Sprintf("hall-%d", i+1)))
		}
		sys, err := local.Start(local.Layout{
			Halls: halls, Entries: cmp.Or(sc.entries, 4), Targets: cmp.Or(sc.targets, 4), Group: &shape,
			Keys: map[string]string{"org": key}, Bounds: bounds(), Memory: true, LinkMbps: sc.link, Log: sc.log,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := sys.Close(); err != nil {
				t.Error(err)
			}
		}()
		sc.serving(t, sys)
		h := &history{}
		sc.play(sys, h)
		time.Sleep(settle)
		check(sys, h)
	})
}

// settle is how long is waited for what may still run late.
const settle = 5 * time.Second

// serving waits until all boxes serve, and sets the targets' habits.
func (sc scenario) serving(t *testing.T, sys *local.System) {
	for _, x := range sys.Targets() {
		sc.behave(x.Target())
	}
	for r := range group.Ranks {
		sc.behave(sys.Group().Target(r))
	}
	for _, e := range sys.Entries() {
		for tries := 0; !sys.SendRequest(t.Context(), e, standin.Request{ID: "first", Path: "/again/x", Key: key, Within: time.Second}).Right; tries++ {
			if tries > 100 {
				t.Fatalf("%s never serves", e.Name())
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (sc scenario) behave(x *standin.Target) {
	x.Behave(func(h *standin.Habits) {
		if sc.events > 0 {
			h.Events = sc.events
		}
		if sc.gap > 0 {
			h.Gap = sc.gap
		}
		h.Fatal, h.Crash = sc.fatal, crashAfter
	})
}

// play lets callers, troubles and the operator go at once.
func (sc scenario) play(sys *local.System, h *history) {
	var wg sync.WaitGroup
	for _, x := range sc.troubles {
		wg.Go(func() { x.happen(sys) })
	}
	if sc.operate != nil {
		wg.Go(func() { sc.operate(sys, h) })
	}
	end := time.Now().Add(sc.length)
	for i := range sc.callers {
		wg.Go(func() { sc.call(sys, h, i, end) })
	}
	wg.Wait()
}

func (x trouble) happen(s *local.System) {
	kind := troubles[x.kind]
	time.Sleep(x.at)
	kind.begin(s, x.pick)
	time.Sleep(x.last)
	kind.end(s, x.pick)
}

// call is one caller: it sends one request after another to boxes that run.
func (sc scenario) call(sys *local.System, h *history, caller int, end time.Time) {
	rnd := rand.New(rand.NewPCG(sc.seed, uint64(caller)))
	for n := 0; time.Now().Before(end); n++ {
		e := entry(sys, rnd.IntN(len(sys.Entries())))
		if e.Ready(context.Background()) {
			sc.ask(sys, h, e, sc.paths[(caller+n)%len(sc.paths)])
		}
		time.Sleep(time.Duration(20+rnd.IntN(80)) * time.Millisecond)
	}
}

func (sc scenario) ask(sys *local.System, h *history, e *local.EntryBox, path string) standin.Reply {
	q := standin.Request{ID: h.id(), Path: path, Key: key, Body: "text of " + path, Within: max(sc.within, 4*time.Second)}
	a := asked{request: q, box: e.Name(), at: time.Now()}
	a.reply = sys.SendRequest(context.Background(), e, q)
	a.done = time.Now()
	h.add(a)
	return a.reply
}
