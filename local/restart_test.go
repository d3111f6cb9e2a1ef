package local_test

import (
	"context"
	"fmt"
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
	sc := busy()
	sc.seed = 1
	sc.operate = func(s *local.System, _ *history) {
		time.Sleep(3 * time.Second)
		box := s.Entries()[0]
		for i := range restarts {
			box.Kill()
			if err := box.Start(); err != nil {
				t.Error(err)
			}
			time.Sleep(soon)
			q := standin.Request{ID: fmt.Sprintf("again-%d", i), Path: "/again/x", Key: key, Within: time.Second}
			got = append(got, s.Ask(context.Background(), box, q).Status)
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
