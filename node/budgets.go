package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/node/process"
	"clovertrail.dev/retry"
)

// budgets guards the box's part of the retry budget of each service.
//
// Lock order: mu is the only lock.
type budgets struct {
	startedAt time.Time // start of the box

	mu        sync.Mutex
	bounds    retry.Bounds
	byService map[domain.ServiceName]*retry.TokenBudget
}

func newBudgets(b process.Bounds) *budgets {
	return &budgets{startedAt: clock.Now(), bounds: retryBounds(b, 0), byService: map[domain.ServiceName]*retry.TokenBudget{}}
}

func retryBounds(b process.Bounds, boxes int) retry.Bounds {
	return retry.Bounds{Share: b.RetryShare, Slack: b.RetrySlack, Window: b.RetryWindow.Std(), Boxes: boxes}
}

// setBoxes sets the number of boxes that share the budget, which is not known before the first call.
func (b *budgets) setBoxes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds.Boxes = n
	b.apply()
}

// setBounds sets changed bounds.
func (b *budgets) setBounds(n process.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = retryBounds(n, b.bounds.Boxes)
	b.apply()
}

// apply sets the bounds of all budgets; mu is held.
func (b *budgets) apply() {
	for _, t := range b.byService {
		t.SetBounds(b.bounds)
	}
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
		t = retry.NewTokenBudget(b.bounds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), b.startedAt)
		b.byService[svc] = t
	}
	return t
}
