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
func (g *Gateway) state() (wire.InstanceState, map[string]float64) {
	m := wire.InstanceState{
		Capacity: g.settings.Capacity, Leaving: g.closing.Load(), StoreUnreachable: g.feeds.cut(), OrderLease: g.heldRecord(),
		ConfigVersion: g.configVersion(), Loads: map[string]wire.TargetLoad{}, CacheStores: g.cache.reachableStores(),
		TargetLimits: g.limits.reports(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.LoadingTargets = g.ordered
	for _, pool := range g.engines {
		for id, l := range pool.targetLoads() {
			m.Loads[id] = wire.TargetLoad{PendingPromptTokens: int(l.PendingPromptTokens), KVCacheTokens: l.KVCacheTokens}
		}
		m.SilentTargets = append(m.SilentTargets, pool.recentlyStalled()...)
	}
	return m, g.quota.ReportSpent()
}

// heldRecord is the record of the lease for orders while this instance holds it.
func (g *Gateway) heldRecord() *wire.OrderLeaseRecord {
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
func (g *Gateway) message() wire.Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Exchange{From: g.self, ConfigVersion: g.configVersion(), RegistrationsOffset: g.registrations.next}
}

// takeChanges puts what other instances have published into force.
func (g *Gateway) takeChanges(now time.Duration, changes []replica.Change) {
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
		g.limits.applyReports(changes[i].State.TargetLimits)
		if stores := changes[i].State.CacheStores; len(stores) > 0 {
			g.cache.applyPeerReports(stores)
		}
		if orders := changes[i].State.OrderLease; orders != nil {
			g.lease.read(now, fromWireLease(*orders))
		}
		for _, e := range changes[i].Events {
			if e.Prompt != nil {
				g.takePrompt(pools, e.Prompt)
			}
		}
	}
}

// takePrompt takes in a prompt that a target has prefilled for another instance.
func (g *Gateway) takePrompt(pools []*enginePool, s *wire.PrefilledPrompt) {
	if len(s.SavedPieces) > 0 {
		g.cache.recordSave(s.CacheScope, hashes(s.SavedPieces))
	}
	chain := hashes(s.SharedPieces)
	for _, pool := range pools {
		pool.recordPeerPrompt(directory.Incarnation{ID: s.Target, StartedMs: s.Born}, chain, s.CachedTokens)
	}
}

// answer answers a peer's message.
func (g *Gateway) answer(now time.Duration, from wire.Identity, m wire.Exchange) wire.ExchangeResponse {
	reads := g.peers.readsForDomain()
	g.mu.Lock()
	answer := wire.ExchangeResponse{
		StoreContactAgeMillis: -1, OperatorsOffset: g.operatorsNext, Leaving: g.closing.Load(), ConfigVersion: g.configVersion(),
	}
	if age := g.contactAge(); age < startAge {
		answer.StoreContactAgeMillis = age.Milliseconds() + 1
	}
	for model, v := range g.versions {
		for _, n := range v.since(now - g.settings.WeightsBound) {
			answer.Weights = append(answer.Weights, wire.NamedWeights{
				Model: model, Version: n.version, AgeMillis: (now - n.at).Milliseconds(), Observed: !n.estimated,
			})
		}
	}
	answer.Registrations = g.targetNews(now, m.RegistrationsOffset, reads || m.Follow)
	g.mu.Unlock()
	return answer
}

// takeAnswer takes in a peer's answer to a message sent at that time. What the
// peer knew when it answered, this instance knows now: so the peer's contact
// with the store counts as one of its own, made that much before it asked, as soon
// as the peer's configuration is here too.
func (g *Gateway) takeAnswer(asked time.Duration, from wire.Identity, place int64, a wire.ExchangeResponse) {
	g.takeTargetNews(asked, place, a.Registrations)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range a.Weights {
		g.nameVersion(routing.WeightsVersion{Model: v.Model, Version: v.Version}, g.namedAt(asked, v), from.Instance, !v.Observed)
	}
	contact := configContact{
		version: a.ConfigVersion, at: asked - time.Duration(a.StoreContactAgeMillis)*time.Millisecond, next: a.OperatorsOffset,
	}
	switch own := g.configVersion(); {
	case a.StoreContactAgeMillis < 0 || a.ConfigVersion == 0:
	case own >= a.ConfigVersion:
		g.takeContact(contact)
	default:
		g.configs.contact(contact)
	}
}

// takeContact takes a contact of a peer with the store for an own one: all that the
// peer knew by it is here. The caller holds g.mu.
func (g *Gateway) takeContact(c configContact) {
	g.contacts.LogRead(c.at)
	g.operatorsNext = max(g.operatorsNext, c.next)
}

// namedAt is when a version was named by a peer's report. The peer took its age
// some time between the question and now. Where there is such a report already,
// only what is earlier for sure counts: two peers that took the earliest possible
// each time would make a version older with each exchange, by 0.8 s in 4 s at 2
// ms a way. The caller holds g.mu.
func (g *Gateway) namedAt(asked time.Duration, v wire.NamedWeights) time.Duration {
	age := time.Duration(v.AgeMillis) * time.Millisecond
	known := g.versionsOf(v.Model)
	if known.observed(v.Version) || !v.Observed && known.knows(v.Version) {
		return g.clock.Now() - age
	}
	return asked - age
}

// suspect tells each pool of targets that peers have found silent.
func (g *Gateway) suspect(ids []string) {
	if len(ids) == 0 {
		return
	}
	for _, pool := range g.enginePools() {
		pool.suspectStalled(ids)
	}
}

// takePeers puts the peers' loads and the size of the fleet into force.
// Their updates come with a delay.
func (g *Gateway) takePeers(now time.Duration, fleet int, silence, delay time.Duration, loads map[string]targetLoad, loading map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.SetFleetSize(now, fleet, silence)
	g.updateRetryReserves(fleet)
	for _, f := range g.crashes.unreported {
		g.peers.crashed(f)
	}
	g.crashes.unreported = nil
	g.loadingNow = with(loading, g.ordered)
	g.updateVersionBounds()
	for _, pool := range g.engines {
		pool.setPeerLoads(delay, loads)
	}
}
