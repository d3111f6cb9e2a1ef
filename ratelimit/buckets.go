package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

const (
	// burst is how many requests a target may get at once after it had none for a while, and
	// burstFor what it takes in that time comes on top: a target bears half as much again as its
	// limit for some seconds, and a few requests more.
	burst, burstFor = 2.0, 250 * time.Millisecond
	// leastRate is the requests a second that any target gets. Only its answers report that the limit
	// is over.
	leastRate = 0.2
	// batchFor is for how long permits are handed out at once: a box that asks for each request
	// would ask a target's issuer hundreds of times a second.
	batchFor = 100 * time.Millisecond
	// turnMost bounds how far away a turn is. The limit may be over or higher by then.
	turnMost = 10 * time.Second
	// unusedFor is after how long a bucket that nobody asked for is dropped.
	unusedFor = time.Minute
)

// Buckets holds a token bucket for each target whose permits it hands out. It is not safe for concurrent
// use.
type Buckets struct {
	rand    *rand.Rand
	buckets map[domain.InstanceID]*bucket
	sweepAt time.Time
}

// bucket is that of one target.
type bucket struct {
	tokens float64
	rate   float64   // at which it fills, as of the last ask
	at     time.Time // of the last ask
	turn   time.Time // that was told last
}

// NewBuckets returns an empty set of buckets.
func NewBuckets(rnd *rand.Rand) *Buckets {
	return &Buckets{rand: rnd, buckets: map[domain.InstanceID]*bucket{}}
}

// Take hands out permits for the target, of which there are so many a second here: one at least,
// or none and when it is the asker's turn.
//
// A new bucket holds a part of a token that chance gives: what was sent before it is not known
// here. Boxes that all begin to go by their own parts then send, together, as many at once as they
// would later, and none sends nothing for a whole round.
func (b *Buckets) Take(now time.Time, id domain.InstanceID, perSecond float64) (permits int, turn time.Time) {
	b.sweep(now)
	k, ok := b.buckets[id]
	if !ok {
		k = &bucket{tokens: b.rand.Float64(), at: now}
		b.buckets[id] = k
	}
	if !same(perSecond, k.rate) {
		k.turn = time.Time{} // turns that were told go by another limit
	}
	k.fill(now, perSecond)
	batch := max(1, perSecond*batchFor.Seconds())
	if k.tokens >= 1 {
		permits = int(min(k.tokens, batch))
		k.tokens -= float64(permits)
		return permits, time.Time{}
	}
	return 0, b.turn(now, k, batch)
}

// turn is when the next asker gets a batch, after those that were told a turn before.
func (b *Buckets) turn(now time.Time, k *bucket, batch float64) time.Time {
	turn := now.Add(seconds((batch - k.tokens) / k.rate))
	if turn.Before(k.turn) {
		turn = k.turn
	}
	if last := now.Add(turnMost); turn.After(last) {
		return now.Add(turnMost/2 + time.Duration(b.rand.Float64()*float64(turnMost/2)))
	}
	k.turn = turn.Add(seconds(batch / k.rate))
	return turn
}

// fill adds what has come since the last ask.
func (k *bucket) fill(now time.Time, perSecond float64) {
	if now.After(k.at) {
		k.tokens += now.Sub(k.at).Seconds() * perSecond
		k.at = now
	}
	k.rate = perSecond
	k.tokens = min(k.tokens, burst+perSecond*burstFor.Seconds())
}

// sweep drops buckets that nobody asks for any more.
func (b *Buckets) sweep(now time.Time) {
	if now.Sub(b.sweepAt) < unusedFor {
		return
	}
	b.sweepAt = now
	for id, k := range b.buckets {
		if now.Sub(k.at) > unusedFor {
			delete(b.buckets, id)
		}
	}
}

// Rate is how many requests a second a target gets under the limit; infinite if it names none.
func Rate(l call.Limit) float64 {
	if limited, ok := l.(call.Limited); ok {
		return max(limited.PerSecond, leastRate)
	}
	return math.Inf(1)
}

// Share is the part of a limit that so many boxes have, of all that share it.
func Share(boxes, sharing int) float64 {
	if boxes >= sharing {
		return 1
	}
	return float64(boxes) / float64(sharing)
}

// seconds is so many seconds, no more than turns go.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, 2*turnMost.Seconds()) * float64(time.Second))
}
