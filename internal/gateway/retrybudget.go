package gateway

import "github.com/mastictray/mastictray/internal/overload"

// budget finds or makes a service's budget. The bound is on the whole fleet:
// each instance adds to its budget by its own requests, and has its part of
// what may be saved up. A new process has saved up nothing: after a restart of
// the whole fleet it would else be spent twice.
func (g *Gateway) budget(service string) *overload.SharedRetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[service]
	if b == nil {
		b = overload.NewSharedRetryBudget(g.settings.RetryRatio, g.retryReserve(g.peers.fleetSize()), startBudget)
		g.retryBudgets[service] = b
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
	for _, b := range g.retryBudgets {
		b.SetReserve(g.retryReserve(fleet))
	}
}
