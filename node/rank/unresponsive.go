package rank

import (
	"sync"
	"time"

	"clovertrail.dev/core/clock"
)

// unresponsiveAgents holds the ranks whose agents did not respond to a recent read.
//
// Lock order: mu is the only lock.
type unresponsiveAgents struct {
	mu    sync.Mutex
	until map[int]time.Time // by rank; the end of unresponsivePeriod
}

func newUnresponsiveAgents() *unresponsiveAgents {
	return &unresponsiveAgents{until: map[int]time.Time{}}
}

// recordRead records whether a read of the rank's agent failed.
func (u *unresponsiveAgents) recordRead(rank int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.until[rank] = clock.Now().Add(unresponsivePeriod)
	} else {
		delete(u.until, rank)
	}
}

// contains reports whether the rank's agent is bypassed at present.
func (u *unresponsiveAgents) contains(rank int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return clock.Now().Before(u.until[rank])
}

func (u *unresponsiveAgents) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.until)
}
