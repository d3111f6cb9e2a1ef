package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Budget limits the retries of requests. TokenBudget implements it.
type Budget interface {
	// AddRequest records that a request arrived.
	AddRequest(now time.Time)
	// SpendRetry charges one retry to the budget. It returns false, and charges nothing, if the
	// budget is exhausted.
	SpendRetry(now time.Time) bool
}

// Bounds limit the retries of a service that all boxes together make within a window.
type Bounds struct {
	// Share is the number of retries that each request allows.
	Share float64
	// Slack is the number of retries in each window in addition to those of Share.
	Slack float64
	// Window is the period that the bounds apply to.
	Window time.Duration
	// Boxes is the number of boxes that share the bounds; 0 if it is not known yet.
	Boxes int
}

const (
	// usedShare is the share of the bounds that the boxes use. The rest is for boxes that restart, and
	// with that lose the record of the retries that they have made.
	usedShare = 0.8
	// maxSavedShare is the share of the slack that all boxes together may save up. They may spend that and
	// what they gain meanwhile within one window.
	maxSavedShare = 0.75
	// roundingDeviations is the number of standard deviations that fit between the expected number of
	// retries and the slack where boxes hold fractions of a retry.
	roundingDeviations = 3
)

// parts returns the part of the slack that one box may save up, and the part that it gains in each
// window irrespective of its requests. Each is half of the box's part of the slack; but if that is less
// than one retry, the box may save up one, or as much of one as maxSavedShare allows.
func (b Bounds) parts() (saved, gained float64) {
	if b.Boxes == 0 {
		return min(1, b.Slack*usedShare*maxSavedShare), 0
	}
	boxes := float64(max(b.Boxes, 1))
	total := b.Slack * usedShare
	if half := total / 2 / boxes; half >= 1 {
		return half, half
	}
	if total*maxSavedShare < boxes {
		root := (math.Sqrt(roundingDeviations*roundingDeviations+4*b.Slack) - roundingDeviations) / 2
		total = min(total, root*root) // solves total + roundingDeviations * sqrt(total) = Slack
	}
	saved = min(1, total*maxSavedShare/boxes)
	return saved, total/boxes - saved
}

// TokenBudget limits retries to a share of requests, which prevents retry storms on the remaining
// targets when many requests fail.
//
// A box that may save up only a fraction of a retry adds up the fractions that it has when it asks for
// one, and allows a retry each time the sum reaches a whole one. The sum begins at random, so that
// all boxes together make as many retries as their fractions add up to. If each box waited until it had
// a whole retry, none of hundreds of boxes could make one; if each could save up a whole one, all
// together could exceed the bounds.
//
// A TokenBudget is not safe for concurrent use.
type TokenBudget struct {
	bounds Bounds
	cap    float64 // largest number of unspent retries
	gain   float64 // retries gained in a window irrespective of requests
	tokens float64 // unspent retries
	sum    float64 // fractions of a retry that were asked for, below 1
	last   time.Time
	shared bool // whether the number of boxes was known before
}

// NewTokenBudget returns the budget of a box that started at the given time. It has the retries that the box gained
// since then, and the box's part of the unused share of the bounds, one retry at most: the box may have spent others
// before it was started again.
func NewTokenBudget(b Bounds, rnd *rand.Rand, startedAt time.Time) *TokenBudget {
	t := &TokenBudget{sum: rnd.Float64(), last: startedAt}
	t.SetBounds(b)
	return t
}

// SetBounds replaces the bounds. Retries that were spent remain spent.
func (t *TokenBudget) SetBounds(b Bounds) {
	t.bounds = b
	t.cap, t.gain = b.parts()
	if !t.shared && b.Boxes > 0 {
		t.shared = true
		t.tokens += min(1, b.Slack*(1-usedShare)/float64(b.Boxes))
	}
	t.tokens = min(t.tokens, t.cap)
}

// AddRequest implements Budget.
func (t *TokenBudget) AddRequest(now time.Time) {
	t.refill(now)
	t.tokens = min(t.cap, t.tokens+t.bounds.Share*usedShare)
}

// SpendRetry implements Budget.
func (t *TokenBudget) SpendRetry(now time.Time) bool {
	t.refill(now)
	if t.cap >= 1 {
		if t.tokens < 1 {
			return false
		}
		t.tokens--
		return true
	}
	t.sum += t.tokens
	t.tokens = 0
	if t.sum < 1 {
		return false
	}
	t.sum--
	return true
}

// refill adds the part of the slack for the time since the last call, once it is known which part that is.
func (t *TokenBudget) refill(now time.Time) {
	if t.bounds.Boxes == 0 {
		return
	}
	if !t.last.IsZero() && now.After(t.last) && t.bounds.Window > 0 {
		t.tokens = min(t.cap, t.tokens+t.gain*float64(now.Sub(t.last))/float64(t.bounds.Window))
	}
	t.last = now
}
