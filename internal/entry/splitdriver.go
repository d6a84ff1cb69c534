package entry

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/ratelease"
)

const (
	// splitInterval is the time between two checks of the split of the rates over
	// the domains.
	splitInterval = 30 * time.Second
	// maxHeartbeatAge is the age up to which a heartbeat shows that its domain is
	// reachable.
	maxHeartbeatAge = 15 * time.Second
)

// applySplit applies the split in the log to the limiter. It must run before the
// next renewal is written, since a renewal states that the split has been applied.
// The caller holds mu.
func (d *rateDriver) applySplit(now time.Duration) {
	v := d.holder.Table().SplitVersion()
	if v == d.splitVersion {
		return
	}
	d.splitVersion = v
	d.limiter.SetFactors(now, ratelease.FactorsOf(d.holder.Table(), d.node.Self().Domain, len(d.fleet.domains)))
	d.updatePeers()
}

// runSplit adapts the split to the demand on the instance that holds dutySnapshot.
// If two instances both believe to hold it, the only cost is a record that is
// ignored.
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

// planSplit returns the change of the split that the demand requires. It returns no
// change while there is no recent heartbeat from some domain, since the demand there
// is unknown.
func (d *rateDriver) planSplit() lease.Split {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, ownDomain := d.clock.now(), d.node.Self().Domain
	domainOf, domainsWithHeartbeat := map[string]string{}, map[string]bool{ownDomain: true}
	for _, p := range d.peers {
		domainOf[p.Address] = p.Domain
		if at, ok := d.heartbeatAt[p.Address]; ok && now-at <= maxHeartbeatAge {
			domainsWithHeartbeat[p.Domain] = true
		}
	}
	for _, domain := range d.fleet.domains {
		if !domainsWithHeartbeat[domain] {
			return lease.Split{}
		}
	}
	return ratelease.PlanSplit(d.holder.Table(), d.fleet.domains, d.limiter.DomainDemand(now, ownDomain, domainOf))
}
