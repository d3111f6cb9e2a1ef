package rank

import (
	"sync"
	"time"

	"clovertrail.dev/core/clock"
)

// muteRanks are the ranks whose agents lately did not answer.
//
// Lock order: mu is the only lock.
type unresponsiveAgents struct {
	mu    sync.Mutex
	until map[int]time.Time
}

func newUnresponsiveAgents() *unresponsiveAgents {
	return &unresponsiveAgents{until: map[int]time.Time{}}
}

// note takes how a read of the rank's agent ended.
func (m *unresponsiveAgents) recordRead(rank int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.until[rank] = clock.Now().Add(unresponsivePeriod)
	} else {
		delete(m.until, rank)
	}
}

func (m *unresponsiveAgents) contains(rank int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return clock.Now().Before(m.until[rank])
}

func (m *unresponsiveAgents) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.until)
}
