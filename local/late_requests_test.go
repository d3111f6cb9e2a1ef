package local_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// lateRequests are the requests that reach a box after its stop signal.
type lateRequests struct{ sent, served int }

// judge counts the requests that were sent to the box between the two times, and reports those that a planned stop must not cut: each is
// served or has not run.
func (l *lateRequests) judge(t *testing.T, s *local.System, h *history, box string, from, to time.Time) {
	t.Helper()
	runs := map[string]int{}
	for _, r := range s.Runs() {
		runs[r.ID]++
	}
	for _, x := range h.exchanges {
		if x.box != box || x.sentAt.Before(from) || x.sentAt.After(to) {
			continue
		}
		l.sent++
		switch sent := x.sentAt.Sub(from); {
		case x.reply.Correct:
			l.served++
		case runs[x.request.ID] > 0:
			t.Errorf("request sent %v after the stop signal ran and got status %d, error %v after %v", sent, x.reply.Status, x.reply.Err, x.repliedAt.Sub(from))
		case x.reply.Status != 0 && x.reply.Status != http.StatusServiceUnavailable:
			t.Errorf("request sent %v after the stop signal got status %d, want a refusal", sent, x.reply.Status)
		}
	}
}

// changeResponseTimes draws the response time of all targets again and again until ctx ends, and begins with the longest.
func changeResponseTimes(ctx context.Context, s *local.System, seed uint64) {
	times := []time.Duration{3 * time.Second, 1200 * time.Millisecond, 300 * time.Millisecond, 10 * time.Millisecond}
	r := rand.New(rand.NewPCG(seed, 1))
	for i := 0; ctx.Err() == nil; i = r.IntN(len(times)) {
		for _, x := range s.Targets() {
			x.Target().ChangeBehaviour(func(b *standin.Behaviour) { b.ResponseTime = times[i] })
		}
		time.Sleep(time.Duration(200+r.IntN(1000)) * time.Millisecond)
	}
}

// TestPlannedStopCutsNoLateRequest guards against requests that may not be repeated and that a stopping box accepts late, passes on and cuts
// off at its end, without any disturbance. They come one after another, on connections that are kept and on new ones, until the box has ended;
// targets turn slow and quick again meanwhile.
func TestPlannedStopCutsNoLateRequest(t *testing.T) {
	const seeds, callers, pause = 20, 12, 15 * time.Millisecond
	var late lateRequests
	for seed := range uint64(seeds) {
		var stopAt, endedAt time.Time
		sc := scenario{seed: seed, entries: 2, stop: 5 * time.Second, length: time.Second, callers: 2, paths: []string{"/once/x"}}
		sc.operator = func(s *local.System, h *history) {
			box := s.Entries()[0]
			ctx, cancel := context.WithCancel(context.Background())
			var others sync.WaitGroup
			for range callers {
				others.Go(func() {
					for ctx.Err() == nil {
						sc.send(s, h, box, "/once/x")
						time.Sleep(pause)
					}
				})
			}
			others.Go(func() { changeResponseTimes(ctx, s, seed) })
			time.Sleep(5 * time.Second)
			stopAt = time.Now()
			box.Stop()
			endedAt = time.Now()
			cancel()
			others.Wait()
		}
		sc.run(t, func(s *local.System, h *history) { late.judge(t, s, h, s.Entries()[0].Name(), stopAt, endedAt) })
	}
	if late.served == 0 || late.served == late.sent {
		t.Errorf("%d of %d requests after the stop signals were served, want some, and some refused", late.served, late.sent)
	}
}
