package ratelease

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
)

const (
	// equalSplitFraction is the fraction of an account's rate that is always split
	// equally, so that each domain can start to serve an account while it is
	// partitioned.
	equalSplitFraction = 0.1
	// minSplitChange is the least change of a domain's fraction that is worth a
	// log record.
	minSplitChange = 0.05
	// minSplitDemand is the least demand, in tokens per second, that a split is
	// planned for.
	minSplitDemand = 1
	// demandMaxAge is the age up to which a peer's demand counts.
	demandMaxAge = 15 * time.Second
)

// DomainDemand returns the demand by account and domain, in tokens per second:
// that of this instance (in domain own) and of the peers in domainOf whose
// heartbeat arrived within the last 15 s.
func (l *Limiter) DomainDemand(now time.Duration, own string, domainOf map[string]string) map[string]map[string]float64 {
	all := make(map[string]map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		byDomain := map[string]float64{own: a.demand.rate(now)}
		for peer, h := range a.peerHints {
			if d, ok := domainOf[peer]; ok && h.demandAt > 0 && now-h.demandAt <= demandMaxAge {
				byDomain[d] += h.demand
			}
		}
		all[name] = byDomain
	}
	return all
}

// PlanSplit returns the change that makes the split follow the demand (by
// account and domain, in tokens per second), without rows if the current split
// is close enough. Call it on the holder of a duty lease, at most every 30 s,
// and only while heartbeats of all domains arrive: the demand of a partitioned
// domain is unknown, not 0.
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
		if change >= minSplitChange {
			s.Accounts = append(s.Accounts, row)
		}
	}
	return s
}

// planRow returns the wanted split of one account and the largest change of a
// domain's fraction.
func planRow(account string, domains []string, demand map[string]float64, currentFraction func(string) float64) (lease.AccountSplit, float64) {
	const thousandths = 1000
	row, change, sum := lease.AccountSplit{Account: account}, 0.0, 0.0
	for _, d := range domains {
		sum += demand[d]
	}
	if sum < minSplitDemand {
		return row, 0
	}
	for _, d := range domains {
		want := equalSplitFraction/float64(len(domains)) + (1-equalSplitFraction)*demand[d]/sum
		change = max(change, math.Abs(want-currentFraction(d)))
		row.Shares = append(row.Shares, lease.DomainShare{Domain: d, Thousandths: uint16(thousandths * want)})
	}
	return row, change
}
