package local_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// TestRestartedEntryServesImmediately guards against an entry box that keeps callers waiting after
// a restart. The store answers within milliseconds, so the box must not wait for other boxes to send
// it the contents of the store.
func TestRestartedEntryServesImmediately(t *testing.T) {
	const restarts, soon = 6, 40 * time.Millisecond
	var statuses []int
	sc := busyScenario()
	sc.seed = 1
	sc.operator = func(s *local.System, _ *history) {
		time.Sleep(3 * time.Second)
		box := s.Entries()[0]
		for i := range restarts {
			box.Kill()
			if err := box.Start(); err != nil {
				t.Error(err)
			}
			time.Sleep(soon)
			q := standin.Request{ID: fmt.Sprintf("again-%d", i), Path: "/again/x", Key: apiKey, Timeout: time.Second}
			statuses = append(statuses, s.SendRequest(context.Background(), box, q).Status)
			time.Sleep(time.Second)
		}
	}
	sc.run(t, func(*local.System, *history) {
		for i, status := range statuses {
			if status != 200 {
				t.Errorf("%v after restart %d a caller got status %d, want 200", soon, i, status)
			}
		}
		if len(statuses) != restarts {
			t.Errorf("%d of %d restarts were made", len(statuses), restarts)
		}
	})
}

// TestReadyEntryAnswersConcurrentCallers sends requests of seven callers, each on a connection of
// its own, as soon as a box reports that it is ready: right after it was killed and restarted, while
// it is cut off from the store, and right after the store is reachable again. Each request must be
// answered within the time for which the platform waits.
func TestReadyEntryAnswersConcurrentCallers(t *testing.T) {
	const callers, within = 7, 2 * time.Second
	faults := map[string]func(*local.System, *local.EntryBox) error{
		"killed": func(_ *local.System, b *local.EntryBox) error {
			b.Kill()
			return b.Start()
		},
		"cut off from the store": func(s *local.System, _ *local.EntryBox) error {
			s.Network.SetLink(s.Halls()[0], local.StoreHall, local.Silent)
			time.Sleep(3 * time.Second)
			return nil
		},
		"store reachable again": func(s *local.System, _ *local.EntryBox) error {
			s.Network.SetLink(s.Halls()[0], local.StoreHall, local.Open)
			return nil
		},
	}
	sc := busyScenario()
	sc.seed = 1
	sc.operator = func(s *local.System, _ *history) {
		time.Sleep(3 * time.Second)
		box := s.Entries()[0]
		for _, name := range []string{"killed", "cut off from the store", "store reachable again"} {
			if err := faults[name](s, box); err != nil {
				t.Error(err)
			}
			for !box.Ready(context.Background()) {
				time.Sleep(time.Millisecond)
			}
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					q := standin.Request{ID: fmt.Sprintf("%s-%d", name, i), Path: "/again/x", Key: apiKey, Timeout: within}
					if got := s.SendRequest(context.Background(), box, q); got.Status == 0 {
						t.Errorf("%s: caller %d got no answer in time: %v", name, i, got.Err)
					}
				})
			}
			wg.Wait()
		}
	}
	sc.run(t, func(*local.System, *history) {})
}
