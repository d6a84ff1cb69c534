package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
)

// domainReach tells which failure domains this instance can't reach. Requests of all services are
// evidence for all.
type domainReach struct {
	now func() time.Duration

	mu      sync.Mutex
	domains *overload.Domains
	// unreachable is replaced, not modified, when a domain is added or removed.
	unreachable map[string]bool
}

func newDomainReach(now func() time.Duration) *domainReach {
	return &domainReach{now: now, domains: overload.NewDomains()}
}

// failed records that a connection to a target could not be made.
func (d *domainReach) failed(domain, target string, err error) {
	if !isTimeout(err) {
		return // its machine has answered
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.domains.Failed(d.now(), domain, target) {
		d.unreachable = d.domains.Unreachable()
		logline.Info("domain_unreachable", "domain", domain, "target", target)
	}
}

// isTimeout reports whether a connection attempt got no response in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// reached records that a target of a domain accepted a connection or sent data.
func (d *domainReach) reached(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.domains.Reached(domain) {
		d.unreachable = d.domains.Unreachable()
		logline.Info("domain_reachable", "domain", domain)
	}
}

// unreachableDomains returns the unreachable domains; callers must not modify the map.
func (d *domainReach) unreachableDomains() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable
}

func (d *domainReach) dueProbes() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.domains.DueProbes(d.now())
}

// probeDomains probes the unreachable domains and cancels the attempts in those that stay
// unreachable.
func (g *Gateway) probeDomains(ctx context.Context) {
	for _, domain := range g.reach.dueProbes() {
		g.mu.Lock()
		targets := g.directory.All()
		g.mu.Unlock()
		addresses := make([]string, 0, len(targets))
		for _, t := range targets {
			if t.Domain == domain {
				addresses = append(addresses, t.Address)
			}
		}
		if len(addresses) == 0 {
			g.reach.reached(domain) // nothing is there any more
			continue
		}
		address := addresses[g.newRand().IntN(len(addresses))]
		g.targets.CloseIdle(address) // they may be dead
		go func() {
			if g.dialer.Check(ctx, address) != connrelay.Unreached {
				g.reach.reached(domain)
				return
			}
			for _, service := range g.listEngineServices() {
				service.cancelInDomain(domain)
			}
		}()
	}
}
