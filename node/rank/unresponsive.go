package rank

import (
	"sync"
	"time"

	"clovertrail.dev/core/clock"
)

// muteRanks are the ranks whose agents lately did not answer.
//
// Lock order: mu is the only lock.
type muteRanks struct {
	mu    sync.Mutex
	until map[int]time.Time
}

func newMuteRanks() *muteRanks { return &muteRanks{until: map[int]time.Time{}} }

// note takes how a read of the rank's agent ended.
func (m *muteRanks) note(rank int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.until[rank] = clock.Now().Add(muteFor)
	} else {
		delete(m.until, rank)
	}
}

func (m *muteRanks) is(rank int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return clock.Now().Before(m.until[rank])
}

func (m *muteRanks) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.until)
}
