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
// what may be saved up. A new process has saved up nothing: after a restart of
// the whole fleet it would else be spent twice.
func (g *Gateway) budget(service string) *retryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = &retryBudget{b: overload.NewBudget(g.settings.RetryRatio, g.retryReserve(g.peers.fleetSize()), startBudget)}
		g.budgets[service] = b
	}
	return b
}

// startBudget lets the first request of a service be repeated.
const startBudget = 1

// retryReserve is this instance's part of what may be saved up.
func (g *Gateway) retryReserve(fleet int) float64 {
	return max(startBudget, g.settings.RetryReserve/float64(fleet))
}

// shareReserves gives the budgets their part in a fleet of that size. The
// caller holds g.mu.
func (g *Gateway) shareReserves(fleet int) {
	for _, b := range g.budgets {
		b.mu.Lock()
		b.b.SetReserve(g.retryReserve(fleet))
		b.mu.Unlock()
	}
}
