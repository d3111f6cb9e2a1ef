package distribution

import (
	"slices"
	"sync"
	"time"
)

// helperFor is how long after it was named a helper counts: three times updateEvery, in
// which an agent is named them again.
const helperFor = 3 * updateEvery

// Forwarders are processes outside a group, on boxes without a rank of it, that hand orders
// on for its coordinator, by turns.
//
// Lock order: mu is the only lock.
type Forwarders struct {
	mu    sync.Mutex
	named map[string]time.Time // by address
	turn  int
}

// NewForwarders returns an empty set.
func NewForwarders() *Forwarders { return &Forwarders{named: map[string]time.Time{}} }

// Add takes addresses that were named now.
func (h *Forwarders) Add(now time.Time, addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range addresses {
		h.named[a] = now
	}
}

// Next gives the address of a helper, a different one each time; empty if none is known.
func (h *Forwarders) Next(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]string, 0, len(h.named))
	for a, at := range h.named {
		if now.Sub(at) > helperFor {
			delete(h.named, a)
			continue
		}
		list = append(list, a)
	}
	if len(list) == 0 {
		return ""
	}
	slices.Sort(list)
	h.turn++
	return list[h.turn%len(list)]
}

// ReportFailure drops a helper that did not answer, until it is named again.
func (h *Forwarders) ReportFailure(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.named, address)
}
