package retry

import "time"

// Budget is what retries are paid from; *Budget is one.
type Budget interface {
	// AddRequest counts a request that arrived.
	AddRequest(now time.Time)
	// SpendRetry spends one retry, and reports whether there was one.
	SpendRetry(now time.Time) bool
}

// TokenBudget limits retries to a share of requests, so that when much fails the
// targets that remain are not met by a storm. It is not safe for concurrent use.
type TokenBudget struct {
	share   float64
	minRate float64
	cap     float64
	tokens  float64
	last    time.Time
}

// NewTokenBudget returns a budget that allows share retries for each request, and
// minPerSecond besides so that a quiet box can retry at all. Unspent retries are
// kept up to ten seconds' worth of minPerSecond.
func NewTokenBudget(share, minPerSecond float64) *TokenBudget {
	b := &TokenBudget{share: share}
	b.SetMinRate(minPerSecond)
	b.tokens = b.cap
	return b
}

// SetMinRate changes how many retries a second are free, as when more boxes share
// what is allowed.
func (b *TokenBudget) SetMinRate(perSecond float64) {
	const seconds = 10
	b.minRate, b.cap = perSecond, perSecond*seconds
	b.tokens = min(b.tokens, b.cap)
}

// SetShare changes how many retries each request pays for.
func (b *TokenBudget) SetShare(share float64) { b.share = share }

// Request counts a request that arrived.
func (b *TokenBudget) Request(now time.Time) {
	b.fill(now)
	b.tokens = min(b.cap, b.tokens+b.share)
}

// Take spends one retry, and reports whether there was one.
func (b *TokenBudget) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *TokenBudget) fill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.cap, b.tokens+now.Sub(b.last).Seconds()*b.minRate)
	}
	b.last = now
}
