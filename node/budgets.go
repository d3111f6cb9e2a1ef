package node

import (
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/node/process"
	"clovertrail.dev/retry"
)

// budgets guards the box's part of the retry budget of each service.
//
// Lock order: mu is the only lock.
type budgets struct {
	mu     sync.Mutex
	bounds process.Bounds
	boxes  int
	purses map[domain.ServiceName]*retry.TokenBudget
}

// budgetMargin is the part of the platform's budget that is used. The rest is for
// boxes that start again and so forget what they spent.
const budgetMargin = 0.8

func newBudgets(b process.Bounds) *budgets {
	return &budgets{bounds: b, boxes: 1, purses: map[domain.ServiceName]*retry.TokenBudget{}}
}

// setBoxes sets how many boxes share the budget.
func (b *budgets) setBoxes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = max(n, 1)
	for _, p := range b.purses {
		p.SetMinRate(b.free())
	}
}

// setBounds takes changed bounds. What was spent stays spent.
func (b *budgets) setBounds(n process.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = n
	for _, p := range b.purses {
		p.SetShare(n.RetryShare * budgetMargin)
		p.SetMinRate(b.free())
	}
}

// free is how many attempts a second this box may make beside those that requests
// pay for. A budget holds a window's worth, so that in one window twice as much may
// be spent.
func (b *budgets) free() float64 {
	return b.bounds.RetrySlack * budgetMargin / float64(b.boxes) / b.bounds.RetryWindow.Std().Seconds() / 2
}

// purse implements gateway.Dependencies.Budget.
func (b *budgets) purse(svc domain.ServiceName) retry.Budget {
	return servicePurse{budgets: b, service: svc}
}

type servicePurse struct {
	budgets *budgets
	service domain.ServiceName
}

// AddRequest implements retry.Budget.
func (s servicePurse) AddRequest(now time.Time) {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	s.budgets.of(s.service).AddRequest(now)
}

// SpendRetry implements retry.Budget.
func (s servicePurse) SpendRetry(now time.Time) bool {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	return s.budgets.of(s.service).SpendRetry(now)
}

func (b *budgets) of(svc domain.ServiceName) *retry.TokenBudget {
	p, ok := b.purses[svc]
	if !ok {
		p = retry.NewTokenBudget(b.bounds.RetryShare*budgetMargin, b.free())
		b.purses[svc] = p
	}
	return p
}
