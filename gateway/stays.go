package gateway

import (
	"sync"
	"time"
)

// stayFor is how long the longest answer of a route is remembered: longer than streams
// last, and short enough that what made them slow is forgotten once it is over.
const stayFor = 10 * time.Second

// stays are how long the answers of each route take to their end, by the longest that was
// seen lately. A box that is to stop lets in only what fits into the time that it has: while a
// slow target makes the steps of its group long, streams take longer than they usually do.
//
// Lock order: mu is the only lock.
type stays struct {
	mu      sync.Mutex
	longest map[string]stay // by route
}

type stay struct {
	lasted time.Duration
	at     time.Time
}

func newStays() *stays { return &stays{longest: map[string]stay{}} }

// ended takes that an answer of the route took so long.
func (s *stays) ended(now time.Time, route string, lasted time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.longest[route]; lasted >= l.lasted || now.Sub(l.at) > stayFor {
		s.longest[route] = stay{lasted: lasted, at: now}
	}
}

// fits reports whether an answer of the route that begins now most likely ends in time.
func (s *stays) fits(now time.Time, route string, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Add(s.longest[route].lasted).After(end)
}
