package rate

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
)

const (
	// splitFloor is the part of an account's rate that is split equally
	// whatever the demand, so that each domain can start to serve an account
	// when it is cut off.
	splitFloor = 0.1
	// splitStep is the least change of a part that is worth a record.
	splitStep = 0.05
	// splitDemand is the least demand, in tokens per second, that says
	// anything.
	splitDemand = 1
	// demandFresh is how old a peer's demand may be.
	demandFresh = 15 * time.Second
)

// DomainDemand is what callers ask for, by account and domain, in tokens per
// second: here (in domain own) and at the peers heard on heartbeats within 15 s,
// whose domains are given.
func (l *Limiter) DomainDemand(now time.Duration, own string, domainOf map[string]string) map[string]map[string]float64 {
	all := make(map[string]map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		by := map[string]float64{own: a.demand.rate(now)}
		for peer, h := range a.known {
			if d, ok := domainOf[peer]; ok && h.demandAt > 0 && now-h.demandAt <= demandFresh {
				by[d] += h.demand
			}
		}
		all[name] = by
	}
	return all
}

// PlanSplit is the change of the split that follows the demand (by account and
// domain, tokens per second), or no rows when it is near enough. Call it on the
// holder of a duty lease, not more often than every 30 s, and only while all
// domains are heard: the demand of a domain that is cut off is not 0.
func PlanSplit(f *lease.Table, domains []string, demand map[string]map[string]float64) lease.Split {
	var s lease.Split
	if f.SplitPending() {
		return s
	}
	equal := 1 / float64(len(domains))
	for _, account := range slices.Sorted(maps.Keys(demand)) {
		row, change := planRow(account, domains, demand[account], func(domain string) float64 {
			return f.Share(account, domain, equal)
		})
		if change >= splitStep {
			s.Accounts = append(s.Accounts, row)
		}
	}
	return s
}

// planRow is the wanted split of one account and how far the largest change
// of a part goes.
func planRow(account string, domains []string, demand map[string]float64, part func(string) float64) (lease.AccountSplit, float64) {
	const thousandths = 1000
	row, change, sum := lease.AccountSplit{Account: account}, 0.0, 0.0
	for _, d := range domains {
		sum += demand[d]
	}
	if sum < splitDemand {
		return row, 0
	}
	for _, d := range domains {
		want := splitFloor/float64(len(domains)) + (1-splitFloor)*demand[d]/sum
		change = max(change, math.Abs(want-part(d)))
		row.Shares = append(row.Shares, lease.DomainShare{Domain: d, Thousandths: uint16(thousandths * want)})
	}
	return row, change
}
