package request

import "sync"

// Limits of the retry budget.
const (
	// retriesPerRequest is how many retries each request adds to the budget.
	retriesPerRequest = 0.1
	// maxRetryBudget is the most retries that the budget holds.
	maxRetryBudget = 20
)

// RetryBudget limits retries to a fraction of the requests, so that they cannot multiply
// the load on failing targets.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryBudget}
}

// Earn credits the budget for one request.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxRetryBudget)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
