package retry

import "time"

// Budget limits the retries of requests. TokenBudget implements it.
type Budget interface {
	// AddRequest records that a request arrived.
	AddRequest(now time.Time)
	// SpendRetry charges one retry to the budget. It returns false, and charges nothing, if the
	// budget is exhausted.
	SpendRetry(now time.Time) bool
}

// TokenBudget limits retries to a share of requests, which prevents retry storms on the remaining
// targets when many requests fail. It is not safe for concurrent use.
type TokenBudget struct {
	share   float64 // retries per request
	minRate float64 // retries a second that do not depend on requests
	cap     float64 // largest number of unspent retries
	tokens  float64 // unspent retries
	last    time.Time
}

// NewTokenBudget returns a budget that allows share retries for each request, and minPerSecond
// retries a second in addition, so that a box with few requests can retry at all. Unspent retries
// accumulate up to ten seconds' worth of minPerSecond.
func NewTokenBudget(share, minPerSecond float64) *TokenBudget {
	b := &TokenBudget{share: share}
	b.SetMinRate(minPerSecond)
	b.tokens = b.cap
	return b
}

// SetMinRate changes the number of retries a second that do not depend on requests, for example when
// the number of boxes that share a total rate changes.
func (b *TokenBudget) SetMinRate(perSecond float64) {
	const seconds = 10
	b.minRate, b.cap = perSecond, perSecond*seconds
	b.tokens = min(b.tokens, b.cap)
}

// SetShare changes the number of retries that each request adds.
func (b *TokenBudget) SetShare(share float64) { b.share = share }

// AddRequest implements Budget.
func (b *TokenBudget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.cap, b.tokens+b.share)
}

// SpendRetry implements Budget.
func (b *TokenBudget) SpendRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the retries of minRate since the last call.
func (b *TokenBudget) refill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.cap, b.tokens+now.Sub(b.last).Seconds()*b.minRate)
	}
	b.last = now
}
