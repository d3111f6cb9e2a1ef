package quarantine

import (
	"time"

	"clovertrail.dev/core/call"
)

// maxRecentlyServed is the number of served works that are remembered. It covers the works that a
// box serves in some seconds.
const maxRecentlyServed = 256

// recentlyServed is a ring buffer of the works that were served last, with the time of each.
type recentlyServed struct {
	at    map[call.Digest]time.Time
	order [maxRecentlyServed]call.Digest
	next  int // index in order that is overwritten next
}

// add records that the work was served at the time, unless it is known to have been served later.
func (s *recentlyServed) add(d call.Digest, at time.Time) {
	last, known := s.at[d]
	if known && last.After(at) {
		return
	}
	if !known {
		delete(s.at, s.order[s.next])
		s.order[s.next] = d
		s.next = (s.next + 1) % maxRecentlyServed
	}
	s.at[d] = at
}
