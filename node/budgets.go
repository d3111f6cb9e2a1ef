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
	mu        sync.Mutex
	bounds    process.Bounds
	boxes     int
	byService map[domain.ServiceName]*retry.TokenBudget
}

// usedBudgetShare is the part of the platform's budget that is used. The rest is for
// boxes that start again and so forget what they spent.
const usedBudgetShare = 0.8

func newBudgets(b process.Bounds) *budgets {
	return &budgets{bounds: b, boxes: 1, byService: map[domain.ServiceName]*retry.TokenBudget{}}
}

// setBoxes sets how many boxes share the budget.
func (b *budgets) setBoxes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = max(n, 1)
	for _, p := range b.byService {
		p.SetMinRate(b.minRate())
	}
}

// setBounds takes changed bounds. What was spent stays spent.
func (b *budgets) setBounds(n process.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = n
	for _, p := range b.byService {
		p.SetShare(n.RetryShare * usedBudgetShare)
		p.SetMinRate(b.minRate())
	}
}

// minRate is how many attempts a second this box may make beside those that requests
// pay for. A budget holds a window's worth, so that in one window twice as much may
// be spent.
func (b *budgets) minRate() float64 {
	return b.bounds.RetrySlack * usedBudgetShare / float64(b.boxes) / b.bounds.RetryWindow.Std().Seconds() / 2
}

// forService implements gateway.Dependencies.Budget.
func (b *budgets) forService(svc domain.ServiceName) retry.Budget {
	return serviceBudget{budgets: b, service: svc}
}

type serviceBudget struct {
	budgets *budgets
	service domain.ServiceName
}

// AddRequest implements retry.Budget.
func (s serviceBudget) AddRequest(now time.Time) {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	s.budgets.tokenBudget(s.service).AddRequest(now)
}

// SpendRetry implements retry.Budget.
func (s serviceBudget) SpendRetry(now time.Time) bool {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	return s.budgets.tokenBudget(s.service).SpendRetry(now)
}

func (b *budgets) tokenBudget(svc domain.ServiceName) *retry.TokenBudget {
	p, ok := b.byService[svc]
	if !ok {
		p = retry.NewTokenBudget(b.bounds.RetryShare*usedBudgetShare, b.minRate())
		b.byService[svc] = p
	}
	return p
}
