package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// configOverdueAge returns the age of the last contact with the store from which a newer
// configuration may have to be active by now.
func (g *Gateway) configOverdueAge() time.Duration {
	return time.Duration(configOverdueFraction * float64(g.settings.ConfigBound))
}

// logConfigAge logs when the last contact with the store becomes too old to tell whether
// the configuration is the newest, and when it is recent again. Only sweep calls it.
func (g *Gateway) logConfigAge() {
	age := g.contactAge()
	if g.table.Load() == nil || age >= noContactAge {
		return
	}
	stale := age > g.configOverdueAge()
	if stale == g.configAgeLogged {
		return
	}
	g.configAgeLogged = stale
	name := "config_contact_recent"
	if stale {
		name = "config_contact_stale"
	}
	fleet, domain := g.peers.reportingShares()
	logline.Info(name, "version", g.configVersion(), "newest_reported", g.configs.newestReported.Load(), "age", age,
		"store_reachable", !g.feeds.anyUnreachable(), "known", fleet.known, "reporting", fleet.reporting,
		"domain_known", domain.known, "domain_reporting", domain.reporting)
}

// reportingShare is a number of peers and how many of them have a fresh update.
type reportingShare struct{ known, reporting int }

// reportingShares returns the shares of all peers and of those in the own failure domain.
func (p *peers) reportingShares() (fleet, domain reportingShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	for _, s := range p.known {
		fleet.add(p.isFresh(now, s))
		if s.Domain == p.g.self.Domain {
			domain.add(p.isFresh(now, s))
		}
	}
	return fleet, domain
}

func (r *reportingShare) add(reporting bool) {
	r.known++
	if reporting {
		r.reporting++
	}
}

// setConfigGauges sets the gauges of the configuration's age.
func (g *Gateway) setConfigGauges() {
	g.metrics.gauge(`mastictray_config_version`).Set(float64(g.configVersion()))
	g.metrics.gauge(`mastictray_config_newest_reported`).Set(float64(g.configs.newestReported.Load()))
	if age := g.contactAge(); age < noContactAge {
		g.metrics.gauge(`mastictray_store_contact_age_seconds`).Set(age.Seconds())
	}
}
