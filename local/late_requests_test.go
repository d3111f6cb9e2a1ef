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

// TestPlannedStopCutsNoLateRequest guards against requests that may not be repeated and that a stopping box accepts late, passes on and cuts
// off at its end, without any disturbance. They come one after another, on connections that are kept and on new ones, until the box has ended;
// targets turn slow and quick again meanwhile.
func TestPlannedStopCutsNoLateRequest(t *testing.T) {
	const callers, pause = 12, 15 * time.Millisecond
	responseTimes := []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}
	var total struct{ sent, served int } // after the stop signals
	for seed := range uint64(20) {
		sc := scenario{seed: seed, entries: 2, stop: 5 * time.Second, length: time.Second, callers: 2, paths: []string{"/once/x"}}
		var stopAt, endedAt time.Time
		sc.operator = func(s *local.System, h *history) {
			box := s.Entries()[0]
			ctx, cancel := context.WithCancel(context.Background())
			var requests sync.WaitGroup
			for range callers {
				requests.Go(func() {
					for ctx.Err() == nil {
						sc.send(s, h, box, "/once/x")
						time.Sleep(pause)
					}
				})
			}
			requests.Go(func() {
				r := rand.New(rand.NewPCG(seed, 1))
				for i := len(responseTimes) - 1; ctx.Err() == nil; i = r.IntN(len(responseTimes)) { // the slowest first
					d := responseTimes[i]
					for _, x := range s.Targets() {
						x.Target().ChangeBehaviour(func(b *standin.Behaviour) { b.ResponseTime = d })
					}
					time.Sleep(time.Duration(200+r.IntN(1000)) * time.Millisecond)
				}
			})
			time.Sleep(5 * time.Second)
			stopAt = time.Now()
			box.Stop()
			endedAt = time.Now()
			cancel()
			requests.Wait()
		}
		sc.run(t, func(s *local.System, h *history) {
			runs := map[string]int{}
			for _, r := range s.Runs() {
				runs[r.ID]++
			}
			before := total.sent
			for _, x := range h.exchanges {
				if x.box != s.Entries()[0].Name() || x.sentAt.Before(stopAt) || x.sentAt.After(endedAt) {
					continue
				}
				total.sent++
				sent := x.sentAt.Sub(stopAt)
				switch ran := runs[x.request.ID]; {
				case x.reply.Correct:
					total.served++
				case ran > 0:
					t.Errorf("seed %d: request sent %v after the stop signal ran and got status %d, error %v after %v", seed, sent, x.reply.Status, x.reply.Err, x.repliedAt.Sub(stopAt))
				case x.reply.Status != 0 && x.reply.Status != http.StatusServiceUnavailable:
					t.Errorf("seed %d: request sent %v after the stop signal got status %d, want a refusal", seed, sent, x.reply.Status)
				}
			}
			if total.sent == before {
				t.Errorf("seed %d: no request was sent after the stop signal", seed)
			}
		})
	}
	if total.served == 0 || total.served == total.sent {
		t.Errorf("%d of %d requests after the stop signals were served, want some, and some refused", total.served, total.sent)
	}
}
