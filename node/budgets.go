package node

import (
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/node/process"
	"clovertrail.dev/retry"
)

// budgets guards the box's share of the retry budget of each service.
//
// Lock order: mu is the only lock.
type budgets struct {
	mu        sync.Mutex
	bounds    process.Bounds
	boxes     int
	byService map[domain.ServiceName]*retry.TokenBudget
}

// usedBudgetShare is the share of the platform's retry budget that the boxes use. The rest is for boxes
// that restart, and with that lose the record of the retries that they have made.
const usedBudgetShare = 0.8

func newBudgets(b process.Bounds) *budgets {
	return &budgets{bounds: b, boxes: 1, byService: map[domain.ServiceName]*retry.TokenBudget{}}
}

// setBoxes sets the number of boxes that share the budget.
func (b *budgets) setBoxes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = max(n, 1)
	for _, t := range b.byService {
		t.SetMinRate(b.minRate())
	}
}

// setBounds sets changed bounds. Tokens that were spent remain spent.
func (b *budgets) setBounds(n process.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = n
	for _, t := range b.byService {
		t.SetShare(n.RetryShare * usedBudgetShare)
		t.SetMinRate(b.minRate())
	}
}

// minRate returns the number of retries per second that this box may make in addition to those that its
// requests add to the budget. A budget holds the tokens of a whole window, so that up to twice as many can be spent
// within one window; hence the rate is halved.
func (b *budgets) minRate() float64 {
	return b.bounds.RetrySlack * usedBudgetShare / float64(b.boxes) / b.bounds.RetryWindow.Std().Seconds() / 2
}

// forService returns the retry budget of the service. It is the Budget of gateway.Dependencies.
func (b *budgets) forService(svc domain.ServiceName) retry.Budget {
	return serviceBudget{budgets: b, service: svc}
}

// serviceBudget is the retry budget of one service. It implements retry.Budget.
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

// tokenBudget returns the service's token budget, and creates it on first use. mu is held.
func (b *budgets) tokenBudget(svc domain.ServiceName) *retry.TokenBudget {
	t, ok := b.byService[svc]
	if !ok {
		t = retry.NewTokenBudget(b.bounds.RetryShare*usedBudgetShare, b.minRate())
		b.byService[svc] = t
	}
	return t
}
