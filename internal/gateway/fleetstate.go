package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/admission"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/ratecount"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/streamorigin"
	"github.com/mastictray/mastictray/internal/wire"
)

// publishedState returns the state that this instance publishes and the tokens that it
// has admitted by account.
func (g *Gateway) publishedState() (wire.InstanceState, map[string]float64) {
	state := wire.InstanceState{
		Capacity: g.settings.Capacity, Leaving: g.draining.Load(), StoreUnreachable: g.feeds.anyUnreachable(), StoreContactStale: g.contactIsStale(), BlockedTargets: g.dialer.ConfirmedCount(), OrderLease: g.heldLeaseRecord(),
		ConfigVersion: g.configVersion(), Loads: map[string]wire.TargetLoad{}, CacheStores: g.cache.reachableStores(),
		NewConnections: g.newConns.rate(), TargetLimits: g.limits.reports(), Demand: g.contention.report(), PlainLoads: g.publishedPlainLoads(g.listPlainServices()),
	}
	for _, service := range g.listServices() {
		state.UnreachableTargets += service.unreachableCount()
	}
	state.Rollouts = g.canaries.published(state.OrderLease != nil)
	state.BlockedPieces = g.pieces.published(g.clock.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	state.LoadingTargets = g.orderedTargets
	for _, service := range g.engineServices {
		// Before the loads: a claim that is used in between counts twice rather than not at all.
		state.MemoryClaims = append(state.MemoryClaims, service.publishMemoryClaims()...)
		for id, l := range service.targetLoads() {
			state.Loads[id] = wire.TargetLoad{PendingPromptTokens: int(l.PendingPromptTokens), KVCacheTokens: l.KVCacheTokens, Requests: l.Requests}
		}
		state.SilentTargets = append(state.SilentTargets, service.recentlyStalled()...)
		state.SlowTargets = append(state.SlowTargets, service.reportedSlowTargets()...)
		state.TargetRates = append(state.TargetRates, service.capacityReports()...)
	}
	if g.contention != nil {
		state.Demand = append(state.Demand, toWireRateDemand(g.accountLimiter.ReportDemand(g.clock.Now()))...)
	}
	return state, g.accountLimiter.ReportSpent()
}

// heldLeaseRecord returns the record of the order lease, or nil unless this instance
// holds it.
func (g *Gateway) heldLeaseRecord() *wire.OrderLeaseRecord {
	record, held := g.lease.heldRecord(g.clock.Now())
	if !held {
		return nil
	}
	out := toWireLease(record)
	return &out
}

// configVersion returns the version of the active configuration, or 0 if there is none.
func (g *Gateway) configVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Config().Version
	}
	return 0
}

// exchangeRequest returns the fields of an exchange that are the same for all peers.
func (g *Gateway) exchangeRequest() wire.Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Exchange{From: g.self, ConfigVersion: g.configVersion(), RegistrationsOffset: g.registrations.nextOffset, UnknownServices: g.limits.unknownServices()}
}

// applyPeerChanges applies changes that other instances have published.
func (g *Gateway) applyPeerChanges(now time.Duration, changes []replica.Change) {
	reports := make([]ratecount.Report, 0, len(changes))
	g.mu.Lock()
	for i := range changes {
		c := &changes[i]
		reports = append(reports, ratecount.Report{Incarnation: c.Identity.Incarnation, At: c.At, Spent: c.Spent, Demand: fromWireRateDemand(c.State.Demand)})
		for _, e := range c.Events {
			if e.CrashFingerprint != 0 {
				g.crashes.add(now, crash{e.CrashFingerprint, e.CrashTarget})
			}
		}
	}
	g.accountLimiter.ApplyReports(now, reports...)
	g.mu.Unlock()
	services := g.listEngineServices()
	for i := range changes {
		g.limits.applyReports(changes[i].State.TargetLimits)
		if rates := changes[i].State.TargetRates; len(rates) > 0 && changes[i].Identity.Instance != g.self.Instance {
			for _, service := range services {
				service.applyCapacityReports(changes[i].At, changes[i].Identity.Instance, rates)
			}
		}
		g.contention.applyReport(&changes[i])
		g.pieces.applyPublished(now, &changes[i])
		g.plainLoads.apply(changes[i].At, changes[i].Identity, changes[i].State.PlainLoads)
		if rows := changes[i].State.Rollouts; len(rows) > 0 {
			g.canaries.applyPublished(changes[i].At, changes[i].Identity.Instance, rows)
		}
		if stores := changes[i].State.CacheStores; len(stores) > 0 {
			g.cache.applyPeerReports(stores)
		}
		if lease := changes[i].State.OrderLease; lease != nil {
			g.lease.handleRead(now, fromWireLease(*lease))
		}
		for _, e := range changes[i].Events {
			if e.Evidence != nil {
				g.canaries.applyEvidence(e.Evidence)
			}
			if s := e.Streams; s != nil {
				g.origins.learn(now, streamorigin.Origin{Service: s.Service, Software: s.Software}, s.Streams)
			}
			g.contention.applyReturns(now, changes[i].At, e.Returns)
			if e.Prompt != nil {
				g.applyPrefilledPrompt(services, e.Prompt)
			}
		}
	}
}

// applyPrefilledPrompt records a prompt that a target has prefilled for another
// instance.
func (g *Gateway) applyPrefilledPrompt(services []*engineService, prompt *wire.PrefilledPrompt) {
	if len(prompt.SavedPieces) > 0 {
		g.cache.recordSave(prompt.CacheScope, hashesFromUint64(prompt.SavedPieces))
	}
	chain := hashesFromUint64(prompt.SharedPieces)
	for _, service := range services {
		service.recordPeerPrompt(directory.Incarnation{ID: prompt.Target, StartedMs: prompt.Born}, chain, prompt.CachedTokens)
	}
}

// exchangeResponse builds the response to a peer's exchange.
func (g *Gateway) exchangeResponse(now time.Duration, from wire.Identity, request wire.Exchange) wire.ExchangeResponse {
	isReader := g.peers.isDomainReader()
	g.mu.Lock()
	response := wire.ExchangeResponse{
		StoreContactAgeMillis: -1, OperatorsOffset: g.operatorsOffset, Leaving: g.draining.Load(), ConfigVersion: g.configVersion(),
	}
	if age := g.contactAgeLocked(); age < noContactAge {
		response.StoreContactAgeMillis = age.Milliseconds() + 1
	}
	for model, v := range g.versions {
		for _, n := range v.newestDueAndLater(now - g.settings.WeightsBound) {
			response.Weights = append(response.Weights, wire.NamedWeights{
				Model: model, Version: n.version, AgeMillis: (now - n.namedAt).Milliseconds(), Observed: !n.estimated,
			})
		}
	}
	response.Rollouts = g.canaries.orders()
	response.ServiceBounds = g.limits.serviceBounds(request.UnknownServices)
	response.Registrations = g.registrationChanges(now, request.RegistrationsOffset, isReader || request.Follow)
	g.mu.Unlock()
	return response
}

// applyExchangeResponse applies a peer's response to a request sent at sentAt. Once the
// peer's configuration is active here too, this instance knows everything that the peer
// knew when it responded, so the peer's contact with the store counts as a contact of
// this instance. The contact's time is its age subtracted from the send time of the
// request.
func (g *Gateway) applyExchangeResponse(sentAt time.Duration, from wire.Identity, offset int64, response wire.ExchangeResponse) {
	g.canaries.applyOrders(sentAt, from.Instance, response.Rollouts)
	g.limits.applyServiceBounds(from.Instance, response.ServiceBounds)
	g.applyRegistrationChanges(sentAt, offset, response.Registrations)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range response.Weights {
		g.recordNamedVersion(routing.WeightsVersion{Model: v.Model, Version: v.Version}, g.reportedNamedAt(sentAt, v), from.Instance, !v.Observed)
	}
	contact := configContact{
		version: response.ConfigVersion, at: sentAt - time.Duration(response.StoreContactAgeMillis)*time.Millisecond, nextOffset: response.OperatorsOffset,
	}
	switch own := g.configVersion(); {
	case response.StoreContactAgeMillis < 0 || response.ConfigVersion == 0:
	case own >= response.ConfigVersion:
		g.recordStoreContact(contact)
	default:
		g.configs.addPeerContact(contact)
	}
}

// recordStoreContact counts a peer's contact with the store as a contact of this
// instance, which has by now everything that the peer learned in it. The caller holds
// g.mu.
func (g *Gateway) recordStoreContact(contact configContact) {
	g.contacts.LogRead(contact.at)
	g.operatorsOffset = max(g.operatorsOffset, contact.nextOffset)
}

// reportedNamedAt returns the time at which a version was named according to a peer's
// report. The peer computed the age at some time between the request and now. If there
// is a report at least as good already, the result is the latest possible time, so that
// it replaces the known time only if it is certainly earlier. If two peers used the
// earliest possible time in every exchange, the version would age by 0.8 s in 4 s at a
// one-way delay of 2 ms. The caller holds g.mu.
func (g *Gateway) reportedNamedAt(sentAt time.Duration, v wire.NamedWeights) time.Duration {
	age := time.Duration(v.AgeMillis) * time.Millisecond
	known := g.versionsOf(v.Model)
	if known.isObserved(v.Version) || !v.Observed && known.contains(v.Version) {
		return g.clock.Now() - age
	}
	return sentAt - age
}

// suspectTargets passes the targets that peers report as silent on to every service
// of model servers.
func (g *Gateway) suspectTargets(ids []string) {
	if len(ids) == 0 {
		return
	}
	for _, service := range g.listEngineServices() {
		service.suspectStalled(ids)
	}
}

// applyFleetState applies the peers' loads, the targets that load, the numbers of peers that
// report a target as slow, and the size of the fleet. Updates of peers arrive after updateDelay.
func (g *Gateway) applyFleetState(now time.Duration, fleetSize int, updateMaxAge, updateDelay time.Duration, loads map[string]targetLoad, loading map[string]bool, slowReports map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accountLimiter.SetFleetSize(now, fleetSize, updateMaxAge)
	g.updateRetryReserves(fleetSize)
	for _, c := range g.crashes.unreported {
		g.peers.publishCrash(c)
	}
	g.crashes.unreported = nil
	g.loadingTargets = union(loading, g.orderedTargets)
	g.updateVersionBounds()
	for _, service := range g.engineServices {
		service.setPeerLoads(updateDelay, loads)
		service.setSlowReports(slowReports)
	}
	g.updateContention(now, admission.Fleet{Size: fleetSize, MaxAge: updateMaxAge}, updateDelay)
}
