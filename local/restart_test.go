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

// TestABoxThatStartsAgainServesAtOnce: callers wait for it. The store answers in
// milliseconds, so it must not wait for other boxes to tell it what the store holds.
func TestABoxThatStartsAgainServesAtOnce(t *testing.T) {
	const restarts, soon = 6, 40 * time.Millisecond
	var got []int
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
			q := standin.Request{ID: fmt.Sprintf("again-%d", i), Path: "/again/x", Key: apiKey, Within: time.Second}
			got = append(got, s.SendRequest(context.Background(), box, q).Status)
			time.Sleep(time.Second)
		}
	}
	sc.run(t, func(*local.System, *history) {
		for i, status := range got {
			if status != 200 {
				t.Errorf("%v after start %d a caller got %d", soon, i, status)
			}
		}
		if len(got) != restarts {
			t.Errorf("%d of %d restarts", len(got), restarts)
		}
	})
}

// TestAReadyBoxTakesManyCallersAtOnce: seven callers come on connections of their own as
// soon as a box reports that it is ready, right after it was killed, after it was cut from the
// store, and while it is. Each is answered within the time for which the platform waits.
func TestAReadyBoxTakesManyCallersAtOnce(t *testing.T) {
	const callers, within = 7, 2 * time.Second
	troubles := map[string]func(*local.System, *local.EntryBox) error{
		"killed": func(_ *local.System, b *local.EntryBox) error {
			b.Kill()
			return b.Start()
		},
		"cut from the store": func(s *local.System, _ *local.EntryBox) error {
			s.Network.SetLink(s.Halls()[0], local.StoreHall, local.Silent)
			time.Sleep(3 * time.Second)
			return nil
		},
		"back at the store": func(s *local.System, _ *local.EntryBox) error {
			s.Network.SetLink(s.Halls()[0], local.StoreHall, local.Open)
			return nil
		},
	}
	sc := busyScenario()
	sc.seed = 1
	sc.operator = func(s *local.System, _ *history) {
		time.Sleep(3 * time.Second)
		box := s.Entries()[0]
		for _, name := range []string{"killed", "cut from the store", "back at the store"} {
			if err := troubles[name](s, box); err != nil {
				t.Error(err)
			}
			for !box.Ready(context.Background()) {
				time.Sleep(time.Millisecond)
			}
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					q := standin.Request{ID: fmt.Sprintf("%s-%d", name, i), Path: "/again/x", Key: apiKey, Within: within}
					if got := s.SendRequest(context.Background(), box, q); got.Status == 0 {
						t.Errorf("%s: caller %d got no answer: %v", name, i, got.Err)
					}
				})
			}
			wg.Wait()
		}
	}
	sc.run(t, func(*local.System, *history) {})
}
