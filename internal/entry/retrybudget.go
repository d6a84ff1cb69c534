package entry

import (
	"sync"

	"github.com/mastictray/mastictray/internal/overload"
)

// retryBudget is the instance's budget of repeated attempts, over all pools.
type retryBudget struct {
	mu     sync.Mutex
	budget *overload.Budget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: overload.NewBudget(overload.DefaultRatio, overload.DefaultReserve, overload.DefaultStart)}
}

func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request()
}

// repeat reports whether one more attempt may be made.
func (b *retryBudget) repeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Repeat()
}
