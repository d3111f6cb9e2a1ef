package local_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/engine/standin"
	"clovertrail.dev/entry"
	"clovertrail.dev/local"
	platform "clovertrail.dev/store/standin"
)

// trouble is something that goes wrong at a time and is mended after another.
type trouble struct {
	kind string // a key of troubles
	at   time.Duration
	last time.Duration
	pick int // which box or pair of halls
}

// scenario is one end-to-end run in fake time.
type scenario struct {
	name     string
	length   time.Duration
	callers  int
	copies   int           // how often each keyed request is sent, at random entry boxes
	keyed    float64       // share of requests with a key
	again    time.Duration // after which a keyed request is sent once more
	tokens   int
	first    time.Duration // to the first token
	gap      time.Duration
	anywhere bool // requests go to targets in any data hall
	troubles []trouble
	seed     uint64
	operate  func(*testing.T, *local.System, *history) // runs beside the callers
}

// answer is what a caller saw.
type answer struct {
	text, request, kind, ran string
	keyed                    bool
	began                    time.Time
}

// history is what was seen in a run.
type history struct {
	mu      sync.Mutex
	answers []answer
	left    map[domain.BoxID]time.Time // when a target was told to leave
	faults  []string                   // violations found on the way
}

func (h *history) add(a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

func (h *history) fault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

func (h *history) count(kind string) int {
	n := 0
	for _, a := range h.answers {
		if a.kind == kind {
			n++
		}
	}
	return n
}

// troubles says how each kind begins and ends.
var troubles = map[string]struct {
	begin, end func(*local.System, *history, int)
}{
	"kill agent": {
		func(s *local.System, _ *history, i int) { target(s, i).Kill() },
		func(s *local.System, _ *history, i int) { _ = target(s, i).Start() }},
	"kill entry": {
		func(s *local.System, _ *history, i int) { box(s, i).Kill() },
		func(s *local.System, _ *history, i int) { _ = box(s, i).Start() }},
	"stop agent": {
		func(s *local.System, h *history, i int) {
			h.leave(target(s, i).ID())
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			_ = target(s, i).Stop(ctx)
		},
		func(s *local.System, h *history, i int) {
			h.back(target(s, i).ID())
			_ = target(s, i).Start()
		}},
	"stop entry": {
		func(s *local.System, _ *history, i int) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			_ = box(s, i).Stop(ctx)
		},
		func(s *local.System, _ *history, i int) { _ = box(s, i).Start() }},
	"refuse link": {
		func(s *local.System, _ *history, i int) { link(s, i, local.Refused) },
		func(s *local.System, _ *history, i int) { link(s, i, local.Open) }},
	"slow link": {
		func(s *local.System, _ *history, i int) { link(s, i, local.Slow) },
		func(s *local.System, _ *history, i int) { link(s, i, local.Open) }},
	"silence link": {
		func(s *local.System, _ *history, i int) { link(s, i, local.Silent) },
		func(s *local.System, _ *history, i int) { link(s, i, local.Open) }},
	"cut platform": {
		func(s *local.System, _ *history, i int) { s.CutPlatform(s.Halls()[i%len(s.Halls())], true) },
		func(s *local.System, _ *history, i int) { s.CutPlatform(s.Halls()[i%len(s.Halls())], false) }},
	"freeze engine": {
		func(s *local.System, _ *history, i int) { target(s, i).Engine.Freeze() },
		func(s *local.System, _ *history, i int) { target(s, i).Engine.Thaw() }},
	"platform down":  platformTrouble(platform.Faults{Down: true}),
	"lost answers":   platformTrouble(platform.Faults{LoseAnswerEvery: 2}),
	"stale reads":    platformTrouble(platform.Faults{StaleReads: true}),
	"deaf watches":   platformTrouble(platform.Faults{DeafWatches: true}),
	"frozen boxes":   platformTrouble(platform.Faults{FrozenBoxes: true}),
	"slow platform":  platformTrouble(platform.Faults{Delay: time.Second}),
	"stale and lost": platformTrouble(platform.Faults{StaleReads: true, LoseAnswerEvery: 3}),
}

func platformTrouble(f platform.Faults) struct {
	begin, end func(*local.System, *history, int)
} {
	return struct {
		begin, end func(*local.System, *history, int)
	}{
		func(s *local.System, _ *history, _ int) { s.Platform.SetFaults(f) },
		func(s *local.System, _ *history, _ int) { s.Platform.SetFaults(platform.Faults{}) },
	}
}

func target(s *local.System, i int) *local.TargetBox { return s.Targets()[i%len(s.Targets())] }
func box(s *local.System, i int) *local.EntryBox     { return s.Entries()[i%len(s.Entries())] }

func link(s *local.System, i int, l local.Link) {
	h := s.Halls()
	s.Network.SetLink(h[i%len(h)], h[(i+1)%len(h)], l)
}

func (h *history) leave(id domain.BoxID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[id] = time.Now()
}

func (h *history) back(id domain.BoxID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.left, id)
}

func (sc scenario) layout() local.Layout {
	var spill *float64
	if sc.anywhere {
		spill = new(float64)
	}
	return local.Layout{
		Spill: spill,
		Halls: []domain.HallName{"bole-hall", "kazanchis-hall", "megenagna-hall"}, Entries: 4, Memory: true,
		Keys: map[domain.OrganisationName]string{"league": "k"},
		Services: []local.ServiceLayout{{
			Name: "advice-llm", Type: domain.ModelService, Targets: 4, Slots: 4,
			Engine: standin.EngineSettings{Tokens: max(sc.tokens, 3), First: max(sc.first, 20*time.Millisecond), Gap: sc.gap},
		}},
	}
}

// run runs the scenario and returns what was seen; every check comes after it.
func (sc scenario) run(t *testing.T, check func(*local.System, *history)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sys, err := local.Start(sc.layout())
		if err != nil {
			t.Fatal(err)
		}
		defer sys.Close()
		h := &history{left: map[domain.BoxID]time.Time{}}
		var wg sync.WaitGroup
		for _, x := range sc.troubles {
			wg.Go(func() { x.happen(sys, h) })
		}
		ctx, cancel := context.WithTimeout(t.Context(), sc.length)
		defer cancel()
		if sc.operate != nil {
			wg.Go(func() { sc.operate(t, sys, h) })
		}
		for i := range sc.callers {
			wg.Go(func() { sc.call(ctx, sys, h, i) })
		}
		wg.Wait()
		check(sys, h)
	})
}

func (x trouble) happen(s *local.System, h *history) {
	kind := troubles[x.kind]
	time.Sleep(x.at)
	kind.begin(s, h, x.pick)
	time.Sleep(x.last)
	kind.end(s, h, x.pick)
}

// call is one caller: it sends one request after another.
func (sc scenario) call(ctx context.Context, sys *local.System, h *history, caller int) {
	rnd := rand.New(rand.NewPCG(sc.seed, uint64(caller)))
	client := sys.Client()
	defer client.CloseIdleConnections()
	var late sync.WaitGroup // copies that are sent long after the first
	defer late.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		text := fmt.Sprintf("c%d-%d", caller, n)
		key := ""
		if rnd.Float64() < sc.keyed {
			key = "key-" + text
		}
		copies := 1
		if key != "" {
			copies = max(sc.copies, 1)
		}
		var wg sync.WaitGroup
		for range copies {
			url := box(sys, rnd.IntN(len(sys.Entries()))).URL()
			delay := time.Duration(rnd.IntN(3)) * 30 * time.Millisecond
			wg.Go(func() {
				time.Sleep(delay)
				h.add(ask(client, url, text, key))
			})
			if key != "" && sc.again > 0 {
				late.Go(func() {
					time.Sleep(sc.again)
					h.add(ask(client, url, text, key))
				})
			}
		}
		wg.Wait()
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
	}
}

// ask sends one request, which is not repeatable, and says how it ended.
func ask(client *http.Client, url, text, key string) answer {
	a := answer{text: text, keyed: key != "", began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Hour)
	defer cancel()
	body := fmt.Sprintf(`{"text":%q}`, text)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/advice-llm/v1/ask", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer k")
	req.Header.Set(entry.TimeoutHeader, "5s")
	if key != "" {
		req.Header.Set(entry.KeyHeader, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.kind = "unreachable"
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.request = resp.Header.Get(entry.RequestHeader)
	raw, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		a.kind = "broken"
	case resp.StatusCode == http.StatusOK:
		a.kind = "ok"
		if !strings.HasPrefix(string(raw), standin.Token(text, 0)) || !strings.HasSuffix(string(raw), standin.LastEvent) || strings.Count(string(raw), fmt.Sprintf("%q", text)) != strings.Count(string(raw), "\n\n")-1 {
			a.kind = "wrong"
		}
	default:
		var p entry.Problem
		_ = json.Unmarshal(raw, &p)
		a.kind, a.ran = p.Kind, p.Ran
	}
	return a
}

// runsOf adds over all engines how often each thing ran.
func runsOf(s *local.System, of func(*standin.Engine) map[string]int) map[string]int {
	sum := map[string]int{}
	for _, x := range s.Targets() {
		for k, n := range of(x.Engine) {
			sum[k] += n
		}
	}
	return sum
}
