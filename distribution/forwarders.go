package distribution

import (
	"slices"
	"sync"
	"time"
)

// forwarderTTL is how long a forwarder is used after its address was last received: three times
// updateInterval, the interval at which an agent receives the addresses again.
const forwarderTTL = 3 * updateInterval

// Forwarders holds the addresses of processes that forward orders for a group's coordinator.
// They run on boxes without a rank of the group, and are used in turn.
//
// Lock order: mu is the only lock.
type Forwarders struct {
	mu        sync.Mutex
	lastNamed map[string]time.Time // when an address was last received
	turn      int                  // number of calls of Next that returned a forwarder
}

// NewForwarders returns an empty set.
func NewForwarders() *Forwarders { return &Forwarders{lastNamed: map[string]time.Time{}} }

// Add records addresses that were received now.
func (f *Forwarders) Add(now time.Time, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		f.lastNamed[a] = now
	}
}

// Next returns the address of the next forwarder, taking them in turn; empty if there is none.
func (f *Forwarders) Next(now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]string, 0, len(f.lastNamed))
	for a, at := range f.lastNamed {
		if now.Sub(at) > forwarderTTL {
			delete(f.lastNamed, a)
			continue
		}
		list = append(list, a)
	}
	if len(list) == 0 {
		return ""
	}
	slices.Sort(list)
	f.turn++
	return list[f.turn%len(list)]
}

// ReportFailure drops a forwarder that did not respond, until its address is received again.
func (f *Forwarders) ReportFailure(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lastNamed, address)
}
