package fairshare

import (
	"maps"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/urgency"
)

// sendInterval is the least time between two messages with counts. Adverts are sent twice as often.
const sendInterval = 900 * time.Millisecond

// Shares holds the requests of a minute, by service, class and organisation. The zero time is never
// passed. It is not safe for concurrent use.
type Shares struct {
	disabled bool
	pools    map[poolKey]*pool
	unsent   []Count // requests of this box that were not sent to others yet
	sentAt   time.Time
	heardAt  map[domain.BoxID]time.Time // when a box last sent its counts
}

// New returns Shares without any requests.
func New() *Shares {
	return &Shares{pools: map[poolKey]*pool{}, heardAt: map[domain.BoxID]time.Time{}}
}

// SetEnabled states whether requests are recorded. While they are not, the requests of all organisations
// are refused alike.
func (s *Shares) SetEnabled(enabled bool) {
	s.disabled = !enabled
	if s.disabled {
		clear(s.pools)
		s.unsent = nil
	}
}

// Requested records a request of a new caller at this box.
func (s *Shares) Requested(now time.Time, svc domain.ServiceName, class urgency.Class, org domain.OrganisationName) {
	if s.disabled {
		return
	}
	c := Count{Service: svc, Class: class.Rank(), Organisation: org, Requests: 1}
	s.add(now, ownSource, c)
	if now.Sub(s.sentAt) > recentTime {
		s.unsent, s.sentAt = s.unsent[:0], now // too old for others to count as recent
	}
	for i := range s.unsent {
		if u := &s.unsent[i]; u.pool() == c.pool() && u.member() == c.member() {
			u.Requests++
			return
		}
	}
	s.unsent = append(s.unsent, c)
}

// Receive records counts of another box. Of messages that follow each other faster than a box sends them,
// only the first counts, so that no box has more weight than another. A message that is lost only makes
// the sample smaller.
func (s *Shares) Receive(now time.Time, from domain.BoxID, counts []Count) {
	if s.disabled || now.Sub(s.heardAt[from]) < sendInterval/2 {
		return
	}
	s.heardAt[from] = now
	for _, c := range counts {
		s.add(now, othersSource, c)
	}
}

func (s *Shares) add(now time.Time, source int, c Count) {
	p, ok := s.pools[c.pool()]
	if !ok {
		p = newPool()
		s.pools[c.pool()] = p
	}
	p.add(now, source, c.member(), c.Requests)
}

// Own returns the counts of this box since the last call that returned any, to be sent to some other boxes
// once; none if that call was less than a second ago. Their size is bounded. It also drops requests that
// are too old.
func (s *Shares) Own(now time.Time) []Count {
	if s.disabled || now.Sub(s.sentAt) < sendInterval {
		return nil
	}
	for key, p := range s.pools {
		if p.advance(now); p.forgetIdle() {
			delete(s.pools, key)
		}
	}
	maps.DeleteFunc(s.heardAt, func(_ domain.BoxID, at time.Time) bool { return now.Sub(at) > recentTime })
	counts := bounded(s.unsent)
	s.unsent, s.sentAt = s.unsent[:0], now
	return counts
}

// Factor returns the probability with which a request is refused, given that the share refuse of all
// requests of its service and class must be refused. The mean over all requests is about refuse. While
// this box does not know what is usual, it is refuse for all organisations.
func (s *Shares) Factor(now time.Time, svc domain.ServiceName, class urgency.Class, org domain.OrganisationName, refuse float64) float64 {
	p, ok := s.pools[poolKey{svc, class.Rank()}]
	if !ok || !(refuse > 0 && refuse < 1) {
		return refuse
	}
	p.advance(now)
	return p.refusal(now, member{organisation: org}, refuse)
}
