package quarantine

import (
	"time"

	"clovertrail.dev/core/call"
)

const (
	// maxRecentlyServed is the number of served works that are remembered at least. It covers the works that a
	// box serves in some seconds.
	maxRecentlyServed = 256
	// maxRecentParts is the number of parts of prompts that are remembered at least. Many prompts share a part, and a
	// box serves hundreds of them in a minute.
	maxRecentParts = 1024
)

// recentlyServed are the works and parts that were served last, with the time of each.
type recentlyServed struct{ works, parts servedCache }

func newRecentlyServed() *recentlyServed {
	return &recentlyServed{works: newServedCache(maxRecentlyServed), parts: newServedCache(maxRecentParts)}
}

func (s *recentlyServed) cache(d call.Digest) *servedCache {
	if d.IsPart() {
		return &s.parts
	}
	return &s.works
}

// add records that the digest was served at the time, unless it is known to have been served later.
func (s *recentlyServed) add(d call.Digest, at time.Time) { s.cache(d).add(d, at) }

// at returns when the digest was last served; zero if that is not known.
func (s *recentlyServed) at(d call.Digest) time.Time { return s.cache(d).at(d) }

// servedCache holds the digests that were served last: all of the current generation and, of the one before, those
// that were not served since. It has two generations of size digests at most.
type servedCache struct {
	current, previous map[call.Digest]time.Time
	size              int
}

func newServedCache(size int) servedCache {
	return servedCache{current: map[call.Digest]time.Time{}, size: size}
}

func (c *servedCache) at(d call.Digest) time.Time {
	if at, ok := c.current[d]; ok {
		return at
	}
	return c.previous[d]
}

func (c *servedCache) add(d call.Digest, at time.Time) {
	if c.at(d).After(at) {
		return
	}
	if _, known := c.current[d]; !known && len(c.current) >= c.size {
		c.previous, c.current = c.current, map[call.Digest]time.Time{}
	}
	c.current[d] = at
}
