package gateway

import (
	"sync"
	"time"
)

// deliveries are the requests that are being delivered.
//
// Lock order: mu is the only lock.
type deliveries struct {
	mu  sync.Mutex
	set map[*delivery]struct{}
}

func newDeliveries() *deliveries { return &deliveries{set: map[*delivery]struct{}{}} }

func (s *deliveries) add(d *delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set[d] = struct{}{}
}

func (s *deliveries) remove(d *delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, d)
}

func (s *deliveries) all() []*delivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*delivery, 0, len(s.set))
	for d := range s.set {
		list = append(list, d)
	}
	return list
}

// longestOf returns the time that the oldest request of the route has taken until now.
func (s *deliveries) longestOf(now time.Time, route string) (longest time.Duration) {
	for _, d := range s.all() {
		if d.req.route.Name() == route {
			longest = max(longest, now.Sub(d.req.arrived))
		}
	}
	return longest
}
