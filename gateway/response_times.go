package gateway

import (
	"sync"
	"time"
)

// responseTimeRetention is the age after which the longest response time of a route is replaced by
// that of the next response, even a shorter one. It is longer than streams last, and short enough
// that a slow period is forgotten once it is over.
const responseTimeRetention = 10 * time.Second

// responseTimes records the longest recent response time of each route, by which a stopping box estimates how long a
// request may take. The longest recent response is used
// because streams take longer than usual while a slow target lengthens the steps of its group.
//
// Lock order: mu is the only lock.
type responseTimes struct {
	mu      sync.Mutex
	longest map[string]responseTime // by route
}

// responseTime is the total time of one response, and when that response ended.
type responseTime struct {
	duration time.Duration
	endedAt  time.Time
}

func newResponseTimes() *responseTimes {
	return &responseTimes{longest: map[string]responseTime{}}
}

// record adds a response of the route that ended now.
func (r *responseTimes) record(now time.Time, route string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.longest[route]; duration >= l.duration || now.Sub(l.endedAt) > responseTimeRetention {
		r.longest[route] = responseTime{duration: duration, endedAt: now}
	}
}

// longestOf returns the time of the longest recent response of the route; 0 if there was none.
func (r *responseTimes) longestOf(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longest[route].duration
}
