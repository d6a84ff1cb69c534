package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/quota"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// state is what this instance publishes: its state, and what it has admitted.
func (g *Gateway) publishedState() (wire.InstanceState, map[string]float64) {
	m := wire.InstanceState{
		Capacity: g.settings.Capacity, Leaving: g.draining.Load(), StoreUnreachable: g.feeds.anyUnreachable(), OrderLease: g.heldLeaseRecord(),
		ConfigVersion: g.configVersion(), Loads: map[string]wire.TargetLoad{}, CacheStores: g.cache.answering(),
		TargetLimits: g.limits.reports(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.LoadingTargets = g.orderedTargets
	for _, pool := range g.engines {
		for id, l := range pool.loads() {
			m.Loads[id] = wire.TargetLoad{PendingPromptTokens: int(l.Unanswered), KVCacheTokens: l.Held}
		}
		m.SilentTargets = append(m.SilentTargets, pool.silent()...)
	}
	return m, g.quota.ReportSpent()
}

// heldRecord is the record of the lease for orders while this instance holds it.
func (g *Gateway) heldLeaseRecord() *wire.OrderLeaseRecord {
	record, held := g.lease.heldRecord(g.clock.Now())
	if !held {
		return nil
	}
	out := toWireLease(record)
	return &out
}

// configVersion is the version of the configuration in force; 0 for none.
func (g *Gateway) configVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Config().Version
	}
	return 0
}

// message is the part of a message to peers that is the same for all.
func (g *Gateway) exchangeRequest() wire.Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Exchange{From: g.self, ConfigVersion: g.configVersion(), RegistrationsOffset: g.registrations.nextOffset}
}

// takeChanges puts what other instances have published into force.
func (g *Gateway) applyPeerChanges(now time.Duration, changes []replica.Change) {
	reports := make([]quota.Report, 0, len(changes))
	g.mu.Lock()
	for i := range changes {
		c := &changes[i]
		reports = append(reports, quota.Report{Incarnation: c.Identity.Incarnation, At: c.At, Spent: c.Spent})
		for _, e := range c.Events {
			if e.CrashFingerprint != 0 {
				g.crashes.add(now, e.CrashFingerprint)
			}
		}
	}
	g.quota.ApplyReports(now, reports...)
	g.mu.Unlock()
	pools := g.enginePools()
	for i := range changes {
		g.limits.take(changes[i].State.TargetLimits)
		if stores := changes[i].State.CacheStores; len(stores) > 0 {
			g.cache.reported(stores)
		}
		if orders := changes[i].State.OrderLease; orders != nil {
			g.lease.handleRead(now, fromWireLease(*orders))
		}
		for _, e := range changes[i].Events {
			if e.Prompt != nil {
				g.applyPrefilledPrompt(pools, e.Prompt)
			}
		}
	}
}

// takePrompt takes in a prompt that a target has prefilled for another instance.
func (g *Gateway) applyPrefilledPrompt(pools []*enginePool, s *wire.PrefilledPrompt) {
	if len(s.SavedPieces) > 0 {
		g.cache.saved(s.CacheScope, hashesFromUint64(s.SavedPieces))
	}
	chain := hashesFromUint64(s.SharedPieces)
	for _, pool := range pools {
		pool.noteCached(directory.Incarnation{ID: s.Target, StartedMs: s.Born}, chain, s.CachedTokens)
	}
}

// answer answers a peer's message.
func (g *Gateway) exchangeResponse(now time.Duration, from wire.Identity, m wire.Exchange) wire.ExchangeResponse {
	reads := g.peers.isDomainReader()
	g.mu.Lock()
	answer := wire.ExchangeResponse{
		StoreContactAgeMillis: -1, OperatorsOffset: g.operatorsOffset, Leaving: g.draining.Load(), ConfigVersion: g.configVersion(),
	}
	if age := g.contactAgeLocked(); age < noContactAge {
		answer.StoreContactAgeMillis = age.Milliseconds() + 1
	}
	for model, v := range g.versions {
		for _, n := range v.newestDueAndLater(now - g.settings.WeightsBound) {
			answer.Weights = append(answer.Weights, wire.NamedWeights{
				Model: model, Version: n.version, AgeMillis: (now - n.namedAt).Milliseconds(), Observed: !n.estimated,
			})
		}
	}
	answer.Registrations = g.registrationChanges(now, m.RegistrationsOffset, reads || m.Follow)
	g.mu.Unlock()
	return answer
}

// takeAnswer takes in a peer's answer to a message sent at that time. What the
// peer knew when it answered, this instance knows now: so the peer's contact
// with the store counts as one of its own, made that much before it asked, as soon
// as the peer's configuration is here too.
func (g *Gateway) applyExchangeResponse(asked time.Duration, from wire.Identity, place int64, a wire.ExchangeResponse) {
	g.applyRegistrationChanges(asked, place, a.Registrations)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range a.Weights {
		g.recordNamedVersion(routing.WeightsVersion{Model: v.Model, Version: v.Version}, g.reportedNamedAt(asked, v), from.Instance, !v.Observed)
	}
	contact := configContact{
		version: a.ConfigVersion, at: asked - time.Duration(a.StoreContactAgeMillis)*time.Millisecond, nextOffset: a.OperatorsOffset,
	}
	switch own := g.configVersion(); {
	case a.StoreContactAgeMillis < 0 || a.ConfigVersion == 0:
	case own >= a.ConfigVersion:
		g.recordStoreContact(contact)
	default:
		g.configs.addPeerContact(contact)
	}
}

// takeContact takes a contact of a peer with the store for an own one: all that the
// peer knew by it is here. The caller holds g.mu.
func (g *Gateway) recordStoreContact(c configContact) {
	g.contacts.LogRead(c.at)
	g.operatorsOffset = max(g.operatorsOffset, c.nextOffset)
}

// namedAt is when a version was named by a peer's report. The peer took its age
// some time between the question and now. Where there is such a report already,
// only what is earlier for sure counts: two peers that took the earliest possible
// each time would make a version older with each exchange, by 0.8 s in 4 s at 2
// ms a way. The caller holds g.mu.
func (g *Gateway) reportedNamedAt(asked time.Duration, v wire.NamedWeights) time.Duration {
	age := time.Duration(v.AgeMillis) * time.Millisecond
	known := g.versionsOf(v.Model)
	if known.isObserved(v.Version) || !v.Observed && known.contains(v.Version) {
		return g.clock.Now() - age
	}
	return asked - age
}

// suspect tells each pool of targets that peers have found silent.
func (g *Gateway) suspectTargets(ids []string) {
	if len(ids) == 0 {
		return
	}
	for _, pool := range g.enginePools() {
		pool.suspect(ids)
	}
}

// takePeers puts the peers' loads and the size of the fleet into force.
// Their updates come with a delay.
func (g *Gateway) applyFleetState(now time.Duration, fleet int, silence, delay time.Duration, loads map[string]load, loading map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.SetFleetSize(now, fleet, silence)
	g.shareReserves(fleet)
	for _, f := range g.crashes.unreported {
		g.peers.publishCrash(f)
	}
	g.crashes.unreported = nil
	g.loadingTargets = union(loading, g.orderedTargets)
	g.updateRollout()
	for _, pool := range g.engines {
		pool.setPeers(delay, loads)
	}
}
