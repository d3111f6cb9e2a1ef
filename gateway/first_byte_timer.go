package gateway

import (
	"sync"
	"time"

	"clovertrail.dev/core/clock"
)

// firstByteTimer calls a function if the response of an attempt has not begun by a deadline. The zero
// value has no deadline.
//
// Lock order: mu is held while the function runs, so mu comes before the locks that it takes.
type firstByteTimer struct {
	timer *clock.Timer

	mu      sync.Mutex
	stopped bool
	fired   bool // the deadline passed before stop was called
}

// start sets the deadline. It is called at most once.
func (t *firstByteTimer) start(at time.Time, missed func()) {
	t.timer = clock.AfterFunc(at, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stopped {
			return
		}
		t.fired = true
		missed()
	})
}

// stop ends the timer. Once it returns, the function is neither running nor called any more, so that its
// decision and the handling of the response never overlap.
func (t *firstByteTimer) stop() {
	if t.timer == nil {
		return
	}
	t.timer.Stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// passed reports whether the deadline passed before the timer was stopped.
func (t *firstByteTimer) passed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fired
}
