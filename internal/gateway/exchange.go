package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/hubs"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

// publishAndExchange publishes this instance's state and starts the exchanges that are
// due.
func (p *peers) publishAndExchange(ctx context.Context) {
	p.g.canaries.judge()
	state, spent := p.g.publishedState()
	evidence := p.g.canaries.takeEvidence()
	returns := p.g.contention.takeReturns()
	streams := p.g.origins.takeForPeers(p.g.clock.Now(), p.fleetSize())
	pieces := p.g.pieces.takeReports(p.g.clock.Now(), p.fleetSize(), p.g.newRand())
	request := p.g.exchangeRequest()
	p.mu.Lock()
	now := p.g.clock.Now()
	p.expireUnlessSuspended(now)
	state.OverdueInstances = p.overduePeers(now)
	p.table.SetStaleAfter(p.updateMaxAge())
	for _, e := range evidence {
		p.table.AddEvent(wire.InstanceEvent{Evidence: e})
	}
	for _, s := range streams {
		p.table.AddEvent(wire.InstanceEvent{Streams: s})
	}
	for _, r := range pieces {
		p.table.AddEvent(wire.InstanceEvent{Pieces: r})
	}
	if len(returns) > 0 {
		p.table.AddEvent(wire.InstanceEvent{Returns: returns})
	}
	p.table.Publish(now, state, spent)
	p.planCalls(now)
	request.Hub = p.plan.Hub
	for _, c := range p.plan.Calls {
		s := p.known[c.Name]
		s.callInFlight, s.calledAt = true, now
		go p.exchangeWith(ctx, s, c.Follow, request)
	}
	p.mu.Unlock()
}

// planCalls selects the peers to call now. The caller holds p.mu.
func (p *peers) planCalls(now time.Duration) {
	hubPeers, fleetSize := make([]hubs.Peer, 0, len(p.known)), 1+len(p.known)
	for _, s := range p.known {
		fleetSize = max(fleetSize, s.fleetSize)
		fresh := p.isFresh(now, s)
		hubPeers = append(hubPeers, hubs.Peer{
			Instance: s.hubInstance(), Fresh: fresh, CallInFlight: s.callInFlight, CallLate: s.callInFlight && now-s.calledAt > lateCallThreshold,
			Reachable: !s.state.Leaving && now-s.failedAt > failedPeerBackoff && (fresh || s.updatedAt == never),
		})
	}
	previous := p.plan
	p.plan = hubs.PlanCalls(p.hubInstance(), hubPeers, fleetSize, p.round)
	p.round++
	if previous.Hub != p.plan.Hub || previous.Mesh != p.plan.Mesh {
		logline.Info("hub_role", "hub", p.plan.Hub, "mesh", p.plan.Mesh, "known", len(p.known), "reporting", p.reportingCountLocked(now))
	}
}

// exchangeWith makes one exchange with a peer and applies its response.
func (p *peers) exchangeWith(ctx context.Context, s *peerState, follow bool, request wire.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p.mu.Lock()
	sentAt := p.g.clock.Now()
	request.BaseVersion, request.ExpectedReceiver = s.ackedVersion, replica.OriginID(s.Incarnation)
	request.Updates = p.table.UpdatesSince(sentAt, request.BaseVersion, replica.ScopeFollowers, request.ExpectedReceiver)
	request.Follow, request.ReceivedCursor = follow, s.receivedCursor
	ownVersion, address, name := p.table.Cursor().Version, s.Address, s.Instance
	p.mu.Unlock()
	var response wire.ExchangeResponse
	from, quiet, err := p.call(ctx, address, wire.KindExchange, request, &response)
	if errors.Is(err, peer.ErrRefused) {
		logline.Error(err, "exchange_refused", "peer", name)
	}
	if err != nil {
		p.g.metrics.exchangeFailed(err)
		logline.Info("exchange_failed", "peer", name, "follow", follow, "after", p.g.clock.Now()-sentAt, "quiet", quiet, "error", err)
	}
	needsResync := err == nil && p.mergeUpdates(sentAt, from.Instance, response.Updates, false)
	p.mu.Lock()
	s.callInFlight = false
	switch {
	case err != nil:
		s.failedAt = p.g.clock.Now()
	case from.Incarnation != s.Incarnation:
		s.failedAt, s.ackedVersion, s.receivedCursor = never, 0, wire.UpdateCursor{}
	default:
		s.failedAt, s.ackedVersion = never, ownVersion
		if response.NeedsResync {
			s.ackedVersion = 0
		}
		if follow {
			s.receivedCursor = response.Cursor
		}
		if needsResync {
			s.receivedCursor = wire.UpdateCursor{}
		}
		s.state.Leaving, s.fleetSize = response.Leaving, response.FleetSize
		p.recordPeerConfig(s, response.ConfigVersion)
	}
	p.mu.Unlock()
	if err == nil {
		p.g.applyExchangeResponse(sentAt, from, request.RegistrationsOffset, response)
	}
}

// call calls a peer. It drops the connection if the call times out, since the
// connection may be dead; the next call dials a new one. quiet is the time since data last
// arrived on a connection on which a call failed.
func (p *peers) call(ctx context.Context, address string, kind wire.Kind, body, response any) (from wire.Identity, quiet time.Duration, err error) {
	p.mu.Lock()
	node := p.node
	p.mu.Unlock()
	from, err = node.Call(ctx, address, kind, body, response)
	if err == nil {
		return from, 0, nil
	}
	quiet, _ = node.QuietFor(address)
	if ctx.Err() != nil {
		node.Drop(address)
	}
	return from, quiet, err
}

// recordPeerConfig records the version of a peer's configuration. The caller holds
// p.mu.
func (p *peers) recordPeerConfig(s *peerState, version int64) {
	s.configVersion = max(s.configVersion, version)
	p.g.configs.recordReport(version, s.Instance)
}

// handleExchange handles an exchange started by a peer.
func (p *peers) handleExchange(_ context.Context, from wire.Identity, f wire.Frame) (any, error) {
	var request wire.Exchange
	if err := f.DecodeBody(&request); err != nil {
		return nil, err
	}
	now := p.g.clock.Now()
	// Updates based on the copy of an earlier process of this instance must not be
	// merged, even if this process knows their origins from other peers.
	needsResync := request.BaseVersion > 0 && request.ExpectedReceiver != replica.OriginID(p.g.self.Incarnation)
	if !needsResync {
		needsResync = p.mergeUpdates(now, from.Instance, request.Updates, request.Follow && !request.Hub)
	}
	response := p.g.exchangeResponse(now, from, request)
	p.mu.Lock()
	defer p.mu.Unlock()
	response.NeedsResync, response.FleetSize = needsResync, 1+len(p.known)
	if request.Follow {
		response.Cursor = p.table.Cursor()
		response.Updates = p.table.UpdatesSince(now, p.table.VersionOf(request.ReceivedCursor), replica.ScopeAll, replica.OriginID(from.Incarnation))
	}
	return response, nil
}

// mergeUpdates merges updates received from the instance via; their ages are relative
// to sentAt. It returns true if some are based on updates that are missing here, so
// that the sender has to send its whole state.
func (p *peers) mergeUpdates(sentAt time.Duration, via string, updates []wire.InstanceUpdate, forward bool) (needsResync bool) {
	if len(updates) == 0 {
		return false
	}
	p.mergeMu.Lock()
	defer p.mergeMu.Unlock()
	p.mu.Lock()
	now := p.g.clock.Now()
	changes, needsResync := p.table.Merge(sentAt, updates, forward)
	for i := range changes {
		p.applyChange(now, via, &changes[i])
	}
	p.mu.Unlock()
	p.g.applyPeerChanges(now, changes)
	return needsResync
}

// applyChange applies a merged update to the state of its peer. The caller holds p.mu.
func (p *peers) applyChange(now time.Duration, via string, c *replica.Change) {
	id := c.Identity
	if id.Instance == p.g.self.Instance {
		return // an earlier process of this instance
	}
	s := p.known[id.Instance]
	if s != nil && s.Incarnation != id.Incarnation && c.At <= s.updatedAt {
		return // an earlier process of the peer
	}
	if s == nil || s.Incarnation != id.Incarnation {
		if now-c.At > p.updateMaxAge() {
			return
		}
		if s != nil {
			p.g.limits.endLoansOf(id.Instance, s.Incarnation)
		}
		s = newPeerState(now, Announced{Announcement: Announcement{
			Instance: id.Instance, Incarnation: id.Incarnation, Address: id.Address, Domain: id.Domain,
		}})
		p.known[id.Instance] = s
		logline.InfoSampled("peer_met", "peer", id.Instance, "address", id.Address, "incarnation", id.Incarnation, "via", via)
	}
	s.updatedAt, s.via, s.state, s.Capacity = c.At, via, c.State, c.State.Capacity
	p.recordPeerConfig(s, c.State.ConfigVersion)
	p.applyOverdueReport(now, c.State.OverdueInstances)
}

// applyToGateway passes the combined state of the peers on to the gateway.
func (p *peers) applyToGateway() {
	now := p.g.clock.Now()
	loads := map[string]targetLoad{}
	loading := map[string]bool{}
	claims := map[string][]placement.MemoryClaim{}
	p.mu.Lock()
	memoryDelay := p.propagationTime() + p.callIntervalLocked()
	fleetSize, updateMaxAge, updateDelay := p.fleetSizeLocked(), p.updateMaxAge(), p.propagationTime()
	instances, announcementsRead := p.servingInstances(), p.announcementsRead
	reporting, silent, slow := 0, map[string]int{}, map[string]int{}
	for name, s := range p.known {
		if !p.isFresh(now, s) {
			continue
		}
		reporting++
		addMemoryClaims(claims, name, s.state.MemoryClaims)
		for _, id := range s.state.SilentTargets {
			silent[id]++
		}
		for _, id := range s.state.SlowTargets {
			slow[id]++
		}
		for target, l := range s.state.Loads {
			sum := loads[target]
			loads[target] = targetLoad{
				PendingPromptTokens: sum.PendingPromptTokens + float64(l.PendingPromptTokens),
				KVCacheTokens:       sum.KVCacheTokens + l.KVCacheTokens, Requests: sum.Requests + l.Requests,
			}
		}
		for _, id := range s.state.LoadingTargets {
			loading[id] = true
		}
	}
	p.mu.Unlock()
	p.g.limits.setFleet(instances, announcementsRead)
	p.g.applyFleetState(now, fleetSize, updateMaxAge, updateDelay, loads, loading, slow)
	p.g.applyMemoryClaims(memoryDelay, claims)
	p.g.suspectTargets(confirmedSilent(silent, reporting))
}

// servingInstances returns the names of the instances that may be serving; instances
// that are leaving are omitted. The caller holds p.mu.
func (p *peers) servingInstances() []string {
	names := make([]string, 0, 1+len(p.known))
	if !p.g.draining.Load() {
		names = append(names, p.g.self.Instance)
	}
	for name, s := range p.known {
		if !s.state.Leaving {
			names = append(names, name)
		}
	}
	return names
}

const (
	// minSilenceReporters is the minimum number of peers that must report a target as
	// silent. A single peer may be cut off from the target itself.
	minSilenceReporters = 2
	// silenceReporterFraction sets the minimum number in large fleets, as a fraction of
	// the reporting peers: a few machines that share a broken link must not decide for
	// all.
	silenceReporterFraction = 0.07
)

// confirmedSilent returns the targets that enough peers report as silent.
func confirmedSilent(reports map[string]int, reporting int) []string {
	var ids []string
	required := max(minSilenceReporters, int(silenceReporterFraction*float64(reporting)))
	for id, n := range reports {
		if n >= required {
			ids = append(ids, id)
		}
	}
	return ids
}

// publishPrompt publishes to the peers that a target has prefilled a prompt, and which
// of its pieces it saves under the scope.
func (p *peers) publishPrompt(pl *enginePlacement, scope string, saved []prefix.Hash) {
	prompt := wire.PrefilledPrompt{
		Target: pl.target.ID, Born: pl.target.StartedMs, SharedPieces: hashesToUint64(pl.send.Request.Placement.Chain), CachedTokens: pl.newlyCachedTokens(),
		CacheScope: scope, SavedPieces: hashesToUint64(saved),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.AddEvent(wire.InstanceEvent{Prompt: &prompt})
}

func hashesToUint64(hashes []prefix.Hash) []uint64 {
	out := make([]uint64, len(hashes))
	for i, h := range hashes {
		out[i] = uint64(h)
	}
	return out
}

func hashesFromUint64(values []uint64) []prefix.Hash {
	out := make([]prefix.Hash, len(values))
	for i, n := range values {
		out[i] = prefix.Hash(n)
	}
	return out
}

// publishCrash publishes to the peers a request that lost its connection to a target.
func (p *peers) publishCrash(c crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.AddEvent(wire.InstanceEvent{CrashFingerprint: c.fingerprint, CrashTarget: c.target})
}
