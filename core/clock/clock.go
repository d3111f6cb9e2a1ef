package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// slept is how long the machine was suspended so far, in nanoseconds.
var slept atomic.Int64

// Now is the time now. Its clock reading counts suspensions; its time of day does not stand
// for anything (see TimeOfDay).
func Now() time.Time { return time.Now().Add(time.Duration(slept.Load())) }

// Since is the time that has passed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time that is left until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TimeOfDay is the time of day at t, as this machine has it now.
func TimeOfDay(t time.Time) time.Time { return time.Now().Round(0).Add(-Since(t)) }

// AddSuspension takes that the machine was suspended for so long, and lets timers look again.
func AddSuspension(d time.Duration) {
	slept.Add(int64(d))
	for _, t := range timers.all() {
		t.again()
	}
}

// Timer calls a function once its time has come.
//
// Lock order: timerSet.mu is never held with mu.
type Timer struct {
	at time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// timerSet is the timers that wait.
//
// Lock order: mu is the only lock.
type timerSet struct {
	mu  sync.Mutex
	set map[*Timer]struct{}
}

var timers = timerSet{set: map[*Timer]struct{}{}}

func (s *timerSet) add(t *Timer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set[t] = struct{}{}
}

func (s *timerSet) remove(t *Timer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, t)
}

func (s *timerSet) all() []*Timer {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Timer, 0, len(s.set))
	for t := range s.set {
		list = append(list, t)
	}
	return list
}

// AfterFunc calls f, in a goroutine of its own, once the time has come.
func AfterFunc(at time.Time, f func()) *Timer {
	t := &Timer{at: at}
	timers.add(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(Until(at), func() {
		timers.remove(t)
		f()
	})
	return t
}

// Stop keeps the function from being called, if it was not yet.
func (t *Timer) Stop() {
	timers.remove(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// again sets the timer anew if it still runs.
func (t *Timer) again() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && t.timer.Stop() {
		t.timer.Reset(Until(t.at))
	}
}

// SleepUntil waits until the time, or the end of ctx.
func SleepUntil(ctx context.Context, at time.Time) {
	done := make(chan struct{})
	t := AfterFunc(at, func() { close(done) })
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// WithDeadline returns a context that ends at the time at the latest; its cause is then
// context.DeadlineExceeded.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := AfterFunc(at, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(nil)
	}
}
