package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

const (
	// burst is the number of requests that a target may get at once after a time without any, in
	// addition to those that it takes in burstPeriod: a target tolerates one and a half times its
	// limit for some seconds, and a few requests more.
	burst, burstPeriod = 2.0, 250 * time.Millisecond
	// minRate is the least number of requests a second that a target gets, however low its limit is. A
	// target states its limit only in its answers, so without requests a higher limit, or the end of the
	// limit, would go unnoticed.
	minRate = 0.2
	// batchPeriod is the time whose permits are issued together, as one batch. A box that requested a
	// permit for each of its requests would send the issuer hundreds of requests a second.
	batchPeriod = 100 * time.Millisecond
	// maxTurn is the longest time until a turn. After a longer time, the limit may have ended or risen.
	maxTurn = 10 * time.Second
	// unusedRetention is the time without requests after which a bucket is dropped.
	unusedRetention = time.Minute
)

// Buckets holds a token bucket for each target for which it issues permits. It is not safe for
// concurrent use.
type Buckets struct {
	rand    *rand.Rand
	buckets map[domain.InstanceID]*bucket
	sweepAt time.Time
}

// bucket is the token bucket of one target.
type bucket struct {
	tokens float64
	rate   float64   // tokens a second, as of the last call of Take
	at     time.Time // time of the last call of Take
	turn   time.Time // earliest time of the next turn, after the turns that are already assigned
}

// NewBuckets returns an empty set of buckets.
func NewBuckets(rnd *rand.Rand) *Buckets {
	return &Buckets{rand: rnd, buckets: map[domain.InstanceID]*bucket{}}
}

// Take issues permits for the target, of which this box may issue perSecond a second. It returns either
// at least one permit, or no permits and the turn of the requesting box.
//
// A new bucket starts with a random fraction of a token, since the requests sent before are unknown
// here. If all boxes begin to use their fallback shares at once, they therefore send, together, as many
// requests immediately as they do later, and there is no round without any.
func (b *Buckets) Take(now time.Time, id domain.InstanceID, perSecond float64) (permits int, turn time.Time) {
	b.sweep(now)
	k, ok := b.buckets[id]
	if !ok {
		k = &bucket{tokens: b.rand.Float64(), at: now}
		b.buckets[id] = k
	}
	if !sameRate(perSecond, k.rate) {
		k.turn = time.Time{} // earlier turns were computed from another limit
	}
	k.refill(now, perSecond)
	batch := max(1, perSecond*batchPeriod.Seconds())
	if k.tokens >= 1 {
		permits = int(min(k.tokens, batch))
		k.tokens -= float64(permits)
		return permits, time.Time{}
	}
	return 0, b.nextTurn(now, k, batch)
}

// nextTurn assigns the requesting box the first turn after those already assigned. If that is later than
// maxTurn from now, it returns a random time in the latter half of maxTurn, and leaves
// k.turn unchanged.
func (b *Buckets) nextTurn(now time.Time, k *bucket, batch float64) time.Time {
	turn := now.Add(seconds((batch - k.tokens) / k.rate))
	if turn.Before(k.turn) {
		turn = k.turn
	}
	if last := now.Add(maxTurn); turn.After(last) {
		return now.Add(maxTurn/2 + time.Duration(b.rand.Float64()*float64(maxTurn/2)))
	}
	k.turn = turn.Add(seconds(batch / k.rate))
	return turn
}

// refill adds the tokens for the time since the last call of Take.
func (k *bucket) refill(now time.Time, perSecond float64) {
	if now.After(k.at) {
		k.tokens += now.Sub(k.at).Seconds() * perSecond
		k.at = now
	}
	k.rate = perSecond
	k.tokens = min(k.tokens, burst+perSecond*burstPeriod.Seconds())
}

// sweep drops buckets that are no longer in use.
func (b *Buckets) sweep(now time.Time) {
	if now.Sub(b.sweepAt) < unusedRetention {
		return
	}
	b.sweepAt = now
	for id, k := range b.buckets {
		if now.Sub(k.at) > unusedRetention {
			delete(b.buckets, id)
		}
	}
}

// Rate returns how many requests a second a target with the limit gets; infinite if there is no limit.
func Rate(l call.Limit) float64 {
	if limited, ok := l.(call.Limited); ok {
		return max(limited.PerSecond, minRate)
	}
	return math.Inf(1)
}

// Share returns the share of a limit that belongs to a number of boxes, where sharing is the number of all
// boxes that share the limit.
func Share(boxes, sharing int) float64 {
	if boxes >= sharing {
		return 1
	}
	return float64(boxes) / float64(sharing)
}

// seconds converts a number of seconds to a duration, bounded by twice maxTurn.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, 2*maxTurn.Seconds()) * float64(time.Second))
}
