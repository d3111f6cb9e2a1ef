package clock_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/core/clock"
)

// TestSuspensionCountsAsElapsedTime checks that ages grow and deadlines approach by the time of a
// suspension, and that timers and contexts that expired during it fire at once, without
// waiting for the monotonic clock.
func TestSuspensionCountsAsElapsedTime(t *testing.T) {
	const elapsed = 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		start, wallStart := clock.Now(), time.Now()
		receivedAt := start
		due := start.Add(5 * time.Second)
		later := start.Add(9 * time.Second)
		ctx, cancel := clock.WithDeadline(context.Background(), due)
		defer cancel()
		var woke, stoppedFired, laterFired atomic.Bool
		clock.AfterFunc(due, func() { stoppedFired.Store(true) }).Stop()
		timer := clock.AfterFunc(later, func() { laterFired.Store(true) })
		go func() {
			clock.SleepUntil(context.Background(), due)
			woke.Store(true)
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		if woke.Load() || ctx.Err() != nil {
			t.Fatal("a sleep or a deadline ended too early")
		}
		clock.AddSuspension(elapsed - time.Second)
		synctest.Wait()
		if !woke.Load() || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.Errorf("after the suspension: sleep ended %v, want true; cause %v, want deadline exceeded", woke.Load(), context.Cause(ctx))
		}
		if stoppedFired.Load() || laterFired.Load() {
			t.Errorf("stopped timer fired: %v; later timer fired early: %v", stoppedFired.Load(), laterFired.Load())
		}
		if age, left := clock.Since(receivedAt), clock.Until(later); age != elapsed || left != time.Second {
			t.Errorf("age %v, want %v; time left %v, want 1s", age, elapsed, left)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if !laterFired.Load() {
			t.Error("the timer that was reset after the suspension did not fire")
		}
		timer.Stop()
		// The wall clock of synctest does not advance during the simulated suspension, so the
		// time of day of the start lies before it by the length of the suspension.
		if d := clock.TimeOfDay(start).Sub(wallStart); d != -(elapsed - time.Second) {
			t.Errorf("the time of day of the start is off by %v, want %v", d, -(elapsed - time.Second))
		}
	})
}

func TestDeadlineKeepsCauseOfParent(t *testing.T) {
	parent, cancelParent := context.WithCancel(context.Background())
	ctx, cancel := clock.WithDeadline(parent, clock.Now().Add(time.Hour))
	defer cancel()
	cancelParent()
	if got := context.Cause(ctx); !errors.Is(got, context.Canceled) {
		t.Errorf("cause %v, want %v", got, context.Canceled)
	}
}

// TestMonitorDetectsSuspensions checks that inaccurate readings on a busy machine are ignored, and
// that short suspensions add up until they count.
func TestMonitorDetectsSuspensions(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		read [][2]time.Duration // offset and its maximum error
		want []time.Duration
	}{
		{"no suspension", [][2]time.Duration{{7 * time.Hour, 0}, {7 * time.Hour, 0}}, []time.Duration{0, 0}},
		{"one suspension", [][2]time.Duration{{0, 0}, {3 * time.Second, 0}, {3 * time.Second, 0}}, []time.Duration{0, 3 * time.Second, 0}},
		{"two suspensions", [][2]time.Duration{{0, 0}, {3 * time.Second, 0}, {4 * time.Second, 0}}, []time.Duration{0, 3 * time.Second, time.Second}},
		{"busy machine", [][2]time.Duration{{0, 0}, {80 * ms, 90 * ms}, {0, 0}}, []time.Duration{0, 0, 0}},
		{"busy machine at the first check", [][2]time.Duration{{80 * ms, 90 * ms}, {0, 0}, {60 * ms, 0}}, []time.Duration{0, 0, 60 * ms}},
		{"short suspensions", [][2]time.Duration{{0, 0}, {30 * ms, 0}, {60 * ms, 0}}, []time.Duration{0, 0, 60 * ms}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := 0
			m := clock.NewSuspensionMonitor(func() (offset, maxError time.Duration, err error) {
				r := tc.read[n]
				n++
				return r[0], r[1], nil
			})
			for i, want := range tc.want {
				if got, err := m.Check(); got != want || err != nil {
					t.Errorf("check %d: %v, %v, want %v", i, got, err, want)
				}
			}
		})
	}
}

// TestMonitorRunsUntilClockError checks that Run adds a suspension to the times of this package
// before it reports it, and that it returns on the first error of the clocks.
func TestMonitorRunsUntilClockError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, checks := clock.Now(), 0
		errClock := errors.New("no such clock")
		m := clock.NewSuspensionMonitor(func() (offset, maxError time.Duration, err error) {
			checks++
			switch checks {
			case 1:
				return 0, 0, nil
			case 2:
				return 5 * time.Second, 0, nil
			default:
				return 0, 0, errClock
			}
		})
		var reported []error
		m.Run(context.Background(), func(d time.Duration, err error) {
			reported = append(reported, err)
			if err == nil && (d != 5*time.Second || clock.Since(start) < d) {
				t.Errorf("reported a suspension of %v with %v elapsed, want 5s with at least that elapsed", d, clock.Since(start))
			}
		})
		if len(reported) != 2 || reported[0] != nil || !errors.Is(reported[1], errClock) {
			t.Errorf("reported %v, want one suspension and one error", reported)
		}
	})
}

// TestReadMachineOffset checks that the clocks of this machine can be read; without them,
// suspensions go undetected.
func TestReadMachineOffset(t *testing.T) {
	if _, _, err := clock.ReadMachineOffset(); err != nil {
		t.Error(err)
	}
}
