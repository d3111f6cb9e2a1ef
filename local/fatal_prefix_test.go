package local_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

const (
	// fatalPrefix is the part of prompts that crashes each target that begins to write a response to one;
	// commonPrefix is in all prompts.
	fatalPrefix, commonPrefix = "fa7a1", "c0117"
	// The bounds of the service: once maxEnded targets have ended, boxes have prefixGrace to stop, and at most
	// maxLateArrivals requests with the part arrive after it. Twice that time after the last of these ends, callers of sound
	// requests are served at least half as often as before the first.
	maxEnded, prefixGrace, maxLateArrivals = 5, 3 * time.Second, 3
	minServedShare                         = 0.5
	// soundPrefixes is the number of other parts that sound prompts share.
	soundPrefixes = 40
)

// prefixRun sends requests, no two of which are alike, whose prompts share a part that crashes their targets, and
// sound requests of the same organisation.
type prefixRun struct {
	path      string
	pause     time.Duration                // between two requests with the part
	warmUp    time.Duration                // time of sound requests alone
	parts     func(own string) []string    // of a prompt with the part; nil for the common part first
	afterEach func(s *local.System, n int) // runs after each request with the part; may be nil
}

const (
	prefixRunLasts = 30 * time.Second
	soundPause     = 25 * time.Millisecond
)

func (p prefixRun) run(s *local.System, h *history) {
	var callers sync.WaitGroup
	rnd := rand.New(rand.NewPCG(7, 7))
	send := func(path string, parts []string) {
		q := standin.Request{ID: h.nextID(), Path: path, Key: apiKey, Timeout: 2 * time.Second}
		q.Body, q.Prefixes = "prompt "+q.ID, slices.Concat(parts, []string{"own-" + q.ID})
		e := entry(s, rnd.IntN(len(s.Entries())))
		callers.Go(func() {
			if e.Running() {
				sentAt := time.Now()
				h.add(exchange{request: q, box: e.Name(), sentAt: sentAt, reply: s.SendRequest(context.Background(), e, q)})
			}
		})
	}
	callers.Go(func() {
		time.Sleep(p.warmUp)
		for n := range int(prefixRunLasts / p.pause) {
			parts := []string{commonPrefix, fatalPrefix}
			if p.parts != nil {
				parts = p.parts(fmt.Sprint("x", n))
			}
			send(p.path, parts)
			time.Sleep(p.pause)
			if p.afterEach != nil {
				p.afterEach(s, n)
			}
		}
	})
	for began := time.Now(); time.Since(began) < p.warmUp+prefixRunLasts; time.Sleep(soundPause) {
		send(p.path, []string{commonPrefix, fmt.Sprint("s", rnd.IntN(soundPrefixes))})
	}
	callers.Wait()
}

func isFatal(q standin.Request) bool { return slices.Contains(q.Prefixes, fatalPrefix) }

// fatalArrivals returns when requests with the part reached targets, and when targets ended under them, in order.
func fatalArrivals(s *local.System) (arrivals, ends []time.Time) {
	for _, r := range s.Runs() {
		if strings.Contains(r.Prefixes, fatalPrefix) {
			arrivals = append(arrivals, r.At)
		}
	}
	ends = s.Crashes()
	slices.SortFunc(arrivals, time.Time.Compare)
	slices.SortFunc(ends, time.Time.Compare)
	return arrivals, ends
}

// checkStopped checks that few requests with the part arrive once boxes have had the time to stop.
func checkStopped(t *testing.T, arrivals, ends []time.Time) {
	t.Helper()
	late := 0
	for _, at := range arrivals {
		if len(ends) >= maxEnded && at.Sub(ends[maxEnded-1]) > prefixGrace {
			late++
		}
	}
	t.Logf("%d requests with the part arrived, %d late; %d targets ended", len(arrivals), late, len(ends))
	if late > maxLateArrivals {
		t.Errorf("%d requests with the part arrived more than %v after target %d of %d had ended, want at most %d", late, prefixGrace, maxEnded, len(ends), maxLateArrivals)
	}
	if len(ends) == 0 {
		t.Error("no target ended: the run tests nothing")
	}
}

// checkSoundServed checks that the callers of sound requests are served again.
func checkSoundServed(t *testing.T, h *history, ends []time.Time) {
	t.Helper()
	if len(ends) == 0 {
		return
	}
	var before, after [2]int // sent, served
	from := ends[min(len(ends), maxEnded)-1].Add(2 * prefixGrace)
	for _, x := range h.exchanges {
		counts := &before
		switch {
		case isFatal(x.request) || len(x.request.Prefixes) == 0:
			continue
		case x.sentAt.After(from):
			counts = &after
		case x.sentAt.After(ends[0].Add(-time.Second)): // requests that were on their way
			continue
		}
		counts[0]++
		if x.reply.Correct {
			counts[1]++
		}
	}
	t.Logf("sound requests: %d of %d served before the first end, %d of %d from %v after the last that counts", before[1], before[0], after[1], after[0], 2*prefixGrace)
	share := 1.0
	if before[0] >= 20 {
		share = float64(before[1]) / float64(before[0])
	}
	if after[0] < 20 || float64(after[1]) < minServedShare*share*float64(after[0]) {
		t.Errorf("%d of %d sound requests were served again, want at least %v of the share before", after[1], after[0], minServedShare)
	}
}

// killHalf kills every other box, and starts it again half a second later.
func killHalf(s *local.System, odd int) {
	for i, e := range s.Entries() {
		if i%2 == odd {
			e.Kill()
			time.AfterFunc(500*time.Millisecond, func() { _ = e.Start() }) // cannot fail on a network in memory
		}
	}
}

// TestQuarantineStopsPromptsThatShareFatalPart guards against requests that differ from each other and crash one
// target after the other because of a part that their prompts share, and against refusing sound requests that
// share the other parts and the organisation.
func TestQuarantineStopsPromptsThatShareFatalPart(t *testing.T) {
	for _, tc := range []struct {
		name  string
		halls int // 0 for two
		run   prefixRun
	}{
		{"one each quarter of a second", 0, prefixRun{path: "/again/x"}},
		{"one each 1.2 s", 0, prefixRun{path: "/again/x", pause: 1200 * time.Millisecond}},
		{"not repeatable", 0, prefixRun{path: "/once/x"}},
		{"streams", 0, prefixRun{path: "/stream/x"}},
		{"streams to a group", 0, prefixRun{path: standin.GroupPath + "x"}},
		{"streams to a group, one each 1.2 s", 0, prefixRun{path: standin.GroupPath + "x", pause: 1200 * time.Millisecond}},
		{"the part comes first", 0, prefixRun{path: "/stream/x", parts: func(string) []string { return []string{fatalPrefix} }}},
		{"nothing was served before", 0, prefixRun{path: "/stream/x", warmUp: time.Millisecond}},
		{"half of the boxes die in turn", 0, prefixRun{path: "/again/x", afterEach: func(s *local.System, n int) {
			if n%16 == 7 {
				killHalf(s, n/16%2)
			}
		}}},
		{"all boxes die", 0, prefixRun{path: "/stream/x", afterEach: func(s *local.System, n int) {
			if n%30 == 15 {
				killAll(s)
			}
		}}},
		{"halls are cut from each other", 2, prefixRun{path: "/again/x", pause: time.Second, afterEach: func(s *local.System, n int) {
			if n == 0 {
				cutHalls(s)
			}
		}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.callers, sc.targets, sc.halls = 1, 0, 8, tc.halls
			sc.fatalPrefix = fatalPrefix
			tc.run.pause, tc.run.warmUp = cmp.Or(tc.run.pause, 250*time.Millisecond), cmp.Or(tc.run.warmUp, 5*time.Second)
			sc.operator = tc.run.run
			sc.run(t, func(s *local.System, h *history) {
				arrivals, ends := fatalArrivals(s)
				checkStopped(t, arrivals, ends)
				checkSoundServed(t, h, ends)
			})
		})
	}
}
