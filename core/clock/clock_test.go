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

// TestTimeGoesOnWhileTheMachineIsSuspended: ages grow and deadlines come nearer, and what
// waited for a time that has passed goes on at once, without a wait of the steady clock.
func TestTimeGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	const slept = 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		began, steady := clock.Now(), time.Now()
		heard := began
		due := began.Add(5 * time.Second)
		later := began.Add(9 * time.Second)
		ctx, cancel := clock.WithDeadline(context.Background(), due)
		defer cancel()
		var woke, stopped, early atomic.Bool
		clock.AfterFunc(due, func() { stopped.Store(true) }).Stop()
		timer := clock.AfterFunc(later, func() { early.Store(true) })
		go func() {
			clock.SleepUntil(context.Background(), due)
			woke.Store(true)
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		if woke.Load() || ctx.Err() != nil {
			t.Fatal("it is over before its time")
		}
		clock.AddSuspension(slept - time.Second)
		synctest.Wait()
		if !woke.Load() || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.Errorf("woke %v, cause %v", woke.Load(), context.Cause(ctx))
		}
		if stopped.Load() || early.Load() {
			t.Errorf("a stopped timer came: %v; one came early: %v", stopped.Load(), early.Load())
		}
		if age, left := clock.Since(heard), clock.Until(later); age != slept || left != time.Second {
			t.Errorf("an age of %v, %v left", age, left)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if !early.Load() {
			t.Error("a timer that was set anew did not come")
		}
		timer.Stop()
		if d := clock.TimeOfDay(began).Sub(steady); d != -(slept - time.Second) {
			t.Errorf("the time of day of the beginning is off by %v", d) // this test's time of day stood still
		}
	})
}

func TestADeadlineTellsALeavingCallerApart(t *testing.T) {
	parent, leave := context.WithCancel(context.Background())
	ctx, cancel := clock.WithDeadline(parent, clock.Now().Add(time.Hour))
	defer cancel()
	leave()
	if got := context.Cause(ctx); !errors.Is(got, context.Canceled) {
		t.Errorf("cause %v", got)
	}
}

// TestAWatchFindsSuspensions: of readings that a busy machine spoils none counts, and short
// ones add up.
func TestAWatchFindsSuspensions(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		read [][2]time.Duration // how far ahead, and how far that may be off
		want []time.Duration
	}{
		{"never", [][2]time.Duration{{7 * time.Hour, 0}, {7 * time.Hour, 0}}, []time.Duration{0, 0}},
		{"once", [][2]time.Duration{{0, 0}, {3 * time.Second, 0}, {3 * time.Second, 0}}, []time.Duration{0, 3 * time.Second, 0}},
		{"twice", [][2]time.Duration{{0, 0}, {3 * time.Second, 0}, {4 * time.Second, 0}}, []time.Duration{0, 3 * time.Second, time.Second}},
		{"a busy machine", [][2]time.Duration{{0, 0}, {80 * ms, 90 * ms}, {0, 0}}, []time.Duration{0, 0, 0}},
		{"a busy machine at first", [][2]time.Duration{{80 * ms, 90 * ms}, {0, 0}, {60 * ms, 0}}, []time.Duration{0, 0, 60 * ms}},
		{"short ones", [][2]time.Duration{{0, 0}, {30 * ms, 0}, {60 * ms, 0}}, []time.Duration{0, 0, 60 * ms}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := 0
			w := clock.NewSuspensionMonitor(func() (ahead, off time.Duration, err error) {
				r := tc.read[n]
				n++
				return r[0], r[1], nil
			})
			for i, want := range tc.want {
				if got, err := w.Check(); got != want || err != nil {
					t.Errorf("look %d: %v, %v, want %v", i, got, err, want)
				}
			}
		})
	}
}

// TestAWatchRunsUntilItsClocksFail: what it finds counts in the times of this package before
// it tells of.
func TestAWatchRunsUntilItsClocksFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, looks := clock.Now(), 0
		failed := errors.New("no such clock")
		w := clock.NewSuspensionMonitor(func() (ahead, off time.Duration, err error) {
			looks++
			switch looks {
			case 1:
				return 0, 0, nil
			case 2:
				return 5 * time.Second, 0, nil
			default:
				return 0, 0, failed
			}
		})
		var told []error
		w.Run(context.Background(), func(d time.Duration, err error) {
			told = append(told, err)
			if err == nil && (d != 5*time.Second || clock.Since(began) < d) {
				t.Errorf("told of %v after %v", d, clock.Since(began))
			}
		})
		if len(told) != 2 || told[0] != nil || !errors.Is(told[1], failed) {
			t.Errorf("told %v", told)
		}
	})
}

// TestThisMachineHasTheClocks: a process of the product ends up without a watch otherwise.
func TestThisMachineHasTheClocks(t *testing.T) {
	if _, _, err := clock.ReadMachineOffset(); err != nil {
		t.Error(err)
	}
}
