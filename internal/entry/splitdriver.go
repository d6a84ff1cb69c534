package entry

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/rate"
)

const (
	// splitEvery is how often the split of the rates over the domains is
	// looked at.
	splitInterval = 30 * time.Second
	// heardFresh is how old a heartbeat may be for its domain to count as
	// heard.
	maxHeartbeatAge = 15 * time.Second
)

// refreshSplit puts what the log says of the split into force. It runs before
// the next renewal is written, because that says that it was done. Callers hold
// mu.
func (d *rateDriver) applySplit(now time.Duration) {
	v := d.holder.Table().SplitVersion()
	if v == d.splitVersion {
		return
	}
	d.splitVersion = v
	d.limiter.SetFactors(now, rate.FactorsOf(d.holder.Table(), d.node.Self().Domain, len(d.fleet.domains)))
	d.updatePeers()
}

// runSplit lets the split follow the demand, on the instance that holds the
// duty. Two that both assume to hold it cost a void record, nothing else.
func (d *rateDriver) runSplit(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, splitInterval)
		if _, held := d.dutyToken(dutySnapshot); !held {
			continue
		}
		if s := d.planSplit(); len(s.Accounts) > 0 {
			logline.Info("rate_split", "accounts", len(s.Accounts), "first", s.Accounts[0].Account)
			d.appendRecord(ctx, lease.Record{Kind: lease.KindSplit, Body: s})
		}
	}
}

// planSplit is the change that the demand asks for; none while a domain is not
// heard, since what it asks for is not known.
func (d *rateDriver) planSplit() lease.Split {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, ownDomain := d.clock.now(), d.node.Self().Domain
	domainOf, heardDomains := map[string]string{}, map[string]bool{ownDomain: true}
	for _, p := range d.peers {
		domainOf[p.Address] = p.Domain
		if at, ok := d.heartbeatAt[p.Address]; ok && now-at <= maxHeartbeatAge {
			heardDomains[p.Domain] = true
		}
	}
	for _, domain := range d.fleet.domains {
		if !heardDomains[domain] {
			return lease.Split{}
		}
	}
	return rate.PlanSplit(d.holder.Table(), d.fleet.domains, d.limiter.DomainDemand(now, ownDomain, domainOf))
}
