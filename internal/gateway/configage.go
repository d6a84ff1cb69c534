package gateway

import (
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/configvalidity"
	"github.com/mastictray/mastictray/internal/logline"
)

// contactIsStale reports whether the last contact with the store is too old to tell whether
// the active configuration is the newest.
func (g *Gateway) contactIsStale() bool {
	return g.contactAge() > configvalidity.OverdueAge(g.settings.ConfigBound)
}

// configVerdict returns whether requests may be handled by the active configuration.
func (g *Gateway) configVerdict() configvalidity.Verdict {
	age := g.contactAge()
	if age <= configvalidity.OverdueAge(g.settings.ConfigBound) {
		return configvalidity.Valid
	}
	return configvalidity.Judge(configvalidity.Evidence{
		NewerKnown:   g.configs.isOutdated(),
		StoreRefused: g.feeds.refusedSince(g.clock.Now() - age),
		HearsFleet:   g.hearsFleet(),
	})
}

// fleetViewMaxAge is how long the result of hearsFleet is reused. Without contact with the
// store each request needs it, and it takes time in proportion to the fleet.
const fleetViewMaxAge = 100 * time.Millisecond

// fleetView keeps the last result of hearsFleet.
type fleetView struct {
	mu     sync.Mutex
	known  bool
	at     time.Duration
	result bool
}

// hears returns the result of compute, or the last one if that is not older than fleetViewMaxAge.
func (v *fleetView) hears(now time.Duration, compute func() bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known || now-v.at > fleetViewMaxAge {
		v.known, v.at, v.result = true, now, compute()
	}
	return v.result
}

// hearsFleet reports whether this instance hears enough of its peers to learn of a newer
// configuration.
func (g *Gateway) hearsFleet() bool {
	return g.fleetView.hears(g.clock.Now(), func() bool { return g.fleetAsSeen().Hears() })
}

// fleetAsSeen returns what this instance sees of its peers.
func (g *Gateway) fleetAsSeen() *configvalidity.Fleet {
	return &configvalidity.Fleet{Domain: g.self.Domain, Peers: g.peers.possiblyAlive(), UnreachableDomains: g.reach.unreachableDomains()}
}

// possiblyAlive returns the peers that have not left, including those that were removed
// for their silence since the contact with the store was lost.
func (p *peers) possiblyAlive() []configvalidity.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	out := make([]configvalidity.Peer, 0, len(p.known)+len(p.lost))
	for _, s := range p.known {
		if !s.state.Leaving {
			out = append(out, configvalidity.Peer{Instance: s.hubInstance(), Reporting: p.isFresh(now, s), InContact: !s.state.StoreContactStale})
		}
	}
	for name, instance := range p.lost {
		if p.known[name] == nil {
			out = append(out, configvalidity.Peer{Instance: instance})
		}
	}
	return out
}

// clearLost forgets the removed peers. It is called while the contact with the store is
// recent.
func (p *peers) clearLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.lost)
}

// logConfigAge logs when the last contact with the store becomes too old to tell whether
// the configuration is the newest, and when it is recent again. Only sweep calls it.
func (g *Gateway) logConfigAge() {
	age := g.contactAge()
	if g.table.Load() == nil || age >= noContactAge {
		return
	}
	stale := age > configvalidity.OverdueAge(g.settings.ConfigBound)
	if !stale {
		g.peers.clearLost()
	}
	if stale == g.configAgeLogged {
		return
	}
	g.configAgeLogged = stale
	name := "config_contact_recent"
	if stale {
		name = "config_contact_stale"
	}
	fleet, domain := g.fleetAsSeen().Shares()
	logline.Info(name, "version", g.configVersion(), "newest_reported", g.configs.newestReported.Load(), "age", age,
		"verdict", g.configVerdict().String(), "store_reachable", !g.feeds.anyUnreachable(), "known", fleet.Total, "reporting", fleet.Reporting, "in_contact", fleet.InContact,
		"domain_known", domain.Total, "domain_reporting", domain.Reporting)
}

// setConfigGauges sets the gauges of the configuration's age.
func (g *Gateway) setConfigGauges() {
	g.metrics.gauge(`mastictray_config_version`).Set(float64(g.configVersion()))
	g.metrics.gauge(`mastictray_config_newest_reported`).Set(float64(g.configs.newestReported.Load()))
	if age := g.contactAge(); age < noContactAge {
		g.metrics.gauge(`mastictray_store_contact_age_seconds`).Set(age.Seconds())
	}
}
