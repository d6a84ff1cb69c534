package gateway

import "github.com/mastictray/mastictray/internal/routing"

// accountWeight returns the weight of a request's account in fair sharing, in proportion to
// its rate; 0 for the default.
func (g *Gateway) accountWeight(c *call) float64 {
	switch {
	case c.account == nil:
		return 0
	case c.account.Rate > 0:
		return c.account.Rate
	case g.settings.Features.Contention:
		return meanRate(c.table.Config().Accounts)
	}
	return 0
}

// meanRate returns the mean rate of the accounts that have one; 0 if none has. It is the
// weight of an account without a rate, which would otherwise get next to nothing beside
// accounts with rates of many tokens.
func meanRate(accounts []routing.Account) float64 {
	sum, n := 0.0, 0.0
	for i := range accounts {
		if accounts[i].Rate > 0 {
			sum += accounts[i].Rate
			n++
		}
	}
	return sum / max(1, n)
}
