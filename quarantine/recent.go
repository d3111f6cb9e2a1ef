package quarantine

import (
	"time"

	"clovertrail.dev/core/call"
)

// recentMost is how many works that were served are remembered, the latest: those of some seconds
// of a box.
const recentMost = 256

// recent is when works were last served, of those served last.
type recent struct {
	at    map[call.Digest]time.Time
	order [recentMost]call.Digest
	next  int // place in order that is overwritten next
}

func (s *recent) add(d call.Digest, at time.Time) {
	if _, known := s.at[d]; !known {
		delete(s.at, s.order[s.next])
		s.order[s.next] = d
		s.next = (s.next + 1) % recentMost
	}
	s.at[d] = at
}
