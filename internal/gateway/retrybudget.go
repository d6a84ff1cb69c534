package gateway

import "github.com/mastictray/mastictray/internal/overload"

// retryBudget finds or makes a service's retryBudget. The bound is on the whole fleet:
// each instance adds to its retryBudget by its own requests, and has its part of
// what may be saved up. A new process has saved up nothing: after a restart of
// the whole fleet it would else be spent twice.
func (g *Gateway) retryBudget(service string) *overload.SharedRetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = overload.NewSharedRetryBudget(g.settings.RetryRatio, g.retryReserve(g.peers.fleetSize()), initialRetryBudget)
		g.budgets[service] = b
	}
	return b
}

// initialRetryBudget lets the first request of a service be repeated.
const initialRetryBudget = 1

// retryReserve is this instance's part of what may be saved up.
func (g *Gateway) retryReserve(fleet int) float64 {
	return max(initialRetryBudget, g.settings.RetryReserve/float64(fleet))
}

// updateRetryReserves gives the budgets their part in a fleet of that size. The
// caller holds g.mu.
func (g *Gateway) updateRetryReserves(fleet int) {
	for _, b := range g.budgets {
		b.SetReserve(g.retryReserve(fleet))
	}
}
