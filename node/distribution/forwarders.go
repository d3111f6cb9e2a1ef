package distribution

import (
	"slices"
	"sync"
	"time"
)

// helperFor is how long after it was named a helper counts: three times updateEvery, in
// which an agent is named them again.
const helperFor = 3 * updateEvery

// Helpers are processes outside a group, on boxes without a rank of it, that hand orders
// on for its coordinator, by turns.
//
// Lock order: mu is the only lock.
type Helpers struct {
	mu    sync.Mutex
	named map[string]time.Time // by address
	turn  int
}

// NewHelpers returns an empty set.
func NewHelpers() *Helpers { return &Helpers{named: map[string]time.Time{}} }

// Learn takes addresses that were named now.
func (h *Helpers) Learn(now time.Time, addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range addresses {
		h.named[a] = now
	}
}

// Next gives the address of a helper, a different one each time; empty if none is known.
func (h *Helpers) Next(now time.Time) string {
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

// Failed drops a helper that did not answer, until it is named again.
func (h *Helpers) Failed(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.named, address)
}
