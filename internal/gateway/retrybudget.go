package gateway

import (
	"sync"

	"github.com/mastictray/mastictray/internal/overload"
)

// retryBudget is one service's budget of repeated sends on this instance.
type retryBudget struct {
	mu sync.Mutex
	b  *overload.Budget
}

func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.Request()
}

func (b *retryBudget) repeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Repeat()
}

func (b *retryBudget) saved() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Saved()
}

// budget finds or makes a service's budget. The bound is on the whole fleet:
// each instance adds to its budget by its own requests, and has its part of
// what may be saved up.
func (g *Gateway) budget(service string) *retryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		reserve := max(1, g.settings.RetryReserve/float64(g.peers.fleetSize()))
		b = &retryBudget{b: overload.NewBudget(g.settings.RetryRatio, reserve, reserve)}
		g.budgets[service] = b
	}
	return b
}
