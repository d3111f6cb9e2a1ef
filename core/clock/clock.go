package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// suspended is the total time that the machine was suspended, in nanoseconds.
var suspended atomic.Int64

// Now returns the current time. Its monotonic clock reading includes suspensions; its wall clock
// reading is meaningless (see TimeOfDay).
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TimeOfDay returns the wall clock time at t, according to the machine's present wall clock.
func TimeOfDay(t time.Time) time.Time { return time.Now().Round(0).Add(-Since(t)) }

// AddSuspension adds d to the total time of suspensions and resets all pending timers
// accordingly.
func AddSuspension(d time.Duration) {
	suspended.Add(int64(d))
	for _, t := range pendingTimers.all() {
		t.reset()
	}
}

// Timer calls a function at a given time of this package.
//
// Lock order: timerSet.mu is never held with mu.
type Timer struct {
	at time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// timerSet is a set of pending timers.
//
// Lock order: mu is the only lock.
type timerSet struct {
	mu  sync.Mutex
	set map[*Timer]struct{}
}

var pendingTimers = timerSet{set: map[*Timer]struct{}{}}

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

// AfterFunc calls f in its own goroutine at the given time, or at once if that has passed.
func AfterFunc(at time.Time, f func()) *Timer {
	t := &Timer{at: at}
	pendingTimers.add(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(Until(at), func() {
		pendingTimers.remove(t)
		f()
	})
	return t
}

// Stop prevents the call of the function, unless it was called already.
func (t *Timer) Stop() {
	pendingTimers.remove(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// reset sets a pending timer to the time left until t.at.
func (t *Timer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && t.timer.Stop() {
		t.timer.Reset(Until(t.at))
	}
}

// SleepUntil sleeps until the given time or until ctx ends.
func SleepUntil(ctx context.Context, at time.Time) {
	done := make(chan struct{})
	t := AfterFunc(at, func() { close(done) })
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// WithDeadline returns a context that is cancelled at the given time at the latest. The cause of
// the cancellation is context.DeadlineExceeded if the deadline passed first.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := AfterFunc(at, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(nil)
	}
}
