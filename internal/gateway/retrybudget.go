package gateway

import "github.com/mastictray/mastictray/internal/overload"

// retryBudget returns the retry budget of a service and creates it if necessary. The limits
// apply to the whole fleet: each instance adds retries for its own requests and may
// accumulate its share of the reserve. A new process starts without accumulated retries;
// otherwise, a restart of the whole fleet would allow the reserve to be spent twice.
func (g *Gateway) retryBudget(service string) *overload.SharedRetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[service]
	if b == nil {
		b = overload.NewSharedRetryBudget(g.settings.RetryRatio, g.retryReserve(g.peers.fleetSize()), initialRetryBudget)
		g.retryBudgets[service] = b
	}
	return b
}

// initialRetryBudget allows the first request of a service to be retried.
const initialRetryBudget = 1

// retryReserve returns this instance's share of the retries that may accumulate in the
// fleet.
func (g *Gateway) retryReserve(fleet int) float64 {
	return max(initialRetryBudget, g.settings.RetryReserve/float64(fleet))
}

// updateRetryReserves sets the reserves of all budgets for the given fleet size. The caller
// holds g.mu.
func (g *Gateway) updateRetryReserves(fleet int) {
	for _, b := range g.retryBudgets {
		b.SetReserveForTraffic(g.clock.Now(), g.retryReserve(fleet), g.settings.RetryCarry)
	}
}
