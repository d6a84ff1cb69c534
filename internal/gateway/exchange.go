package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/hubs"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

// exchangeAll publishes this instance's state and starts the exchanges that are
// due.
func (p *peers) exchangeAll(ctx context.Context) {
	state, spent := p.g.state()
	message := p.g.message()
	p.mu.Lock()
	now := p.g.clock.Now()
	p.look(now)
	state.OverdueInstances = p.overdue(now)
	p.table.SetStaleAfter(p.freshFor())
	p.table.Publish(now, state, spent)
	p.planCalls(now)
	message.Hub = p.plan.Hub
	for _, c := range p.plan.Calls {
		s := p.known[c.Name]
		s.calling, s.calledAt = true, now
		go p.exchange(ctx, s, c.Follow, message)
	}
	p.mu.Unlock()
}

// planCalls chooses the peers to call now. The caller holds p.mu.
func (p *peers) planCalls(now time.Duration) {
	view, fleet := make([]hubs.Peer, 0, len(p.known)), 1+len(p.known)
	for _, s := range p.known {
		fleet = max(fleet, s.fleet)
		fresh := p.fresh(now, s)
		view = append(view, hubs.Peer{
			Instance: s.instance(), Fresh: fresh, CallInFlight: s.calling, CallLate: s.calling && now-s.calledAt > lateAfter,
			Reachable: !s.state.Leaving && now-s.failedAt > retryFailed && (fresh || s.updatedAt == never),
		})
	}
	was := p.plan
	p.plan = hubs.PlanCalls(p.instance(), view, fleet, p.turn)
	p.turn++
	if was.Hub != p.plan.Hub || was.Mesh != p.plan.Mesh {
		logline.Info("hub_role", "hub", p.plan.Hub, "mesh", p.plan.Mesh, "known", len(p.known), "reporting", p.reportingLocked(now))
	}
}

// exchange makes one call to a peer.
func (p *peers) exchange(ctx context.Context, s *peerState, follow bool, m wire.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p.mu.Lock()
	asked := p.g.clock.Now()
	m.BaseVersion, m.ExpectedReceiver = s.sent, replica.OriginID(s.Incarnation)
	m.Updates = p.table.UpdatesSince(asked, m.BaseVersion, replica.ScopeFollowers, m.ExpectedReceiver)
	m.Follow, m.ReceivedCursor = follow, s.received
	sent, address := p.table.Cursor().Version, s.Address
	p.mu.Unlock()
	var answer wire.ExchangeResponse
	from, err := p.call(ctx, address, wire.KindExchange, m, &answer)
	if errors.Is(err, peer.ErrRefused) {
		logline.Error(err, "exchange_refused", "peer", s.Instance)
	}
	if err != nil {
		p.g.metrics.exchangeFailed(err)
	}
	lacking := err == nil && p.takeUpdates(asked, from.Instance, answer.Updates, false)
	p.mu.Lock()
	s.calling = false
	switch {
	case err != nil:
		s.failedAt = p.g.clock.Now()
	case from.Incarnation != s.Incarnation:
		s.failedAt, s.sent, s.received = never, 0, wire.UpdateCursor{}
	default:
		s.failedAt, s.sent = never, sent
		if answer.NeedsResync {
			s.sent = 0
		}
		if follow {
			s.received = answer.Cursor
		}
		if lacking {
			s.received = wire.UpdateCursor{}
		}
		s.state.Leaving, s.fleet = answer.Leaving, answer.FleetSize
		p.noteConfig(s, answer.ConfigVersion)
	}
	p.mu.Unlock()
	if err == nil {
		p.g.takeAnswer(asked, from, m.RegistrationsOffset, answer)
	}
}

// call makes a call to a peer. A connection on which one takes too long may be silent
// for good: the next call makes a new one.
func (p *peers) call(ctx context.Context, address string, kind wire.Kind, body, answer any) (wire.Identity, error) {
	p.mu.Lock()
	node := p.node
	p.mu.Unlock()
	from, err := node.Call(ctx, address, kind, body, answer)
	if err != nil && ctx.Err() != nil {
		node.Drop(address)
	}
	return from, err
}

// noteConfig takes in which configuration a peer has. The caller holds p.mu.
func (p *peers) noteConfig(s *peerState, version int64) {
	s.config = max(s.config, version)
	p.g.configs.report(version, s.Instance)
}

// serve answers a peer's message.
func (p *peers) serve(_ context.Context, from wire.Identity, f wire.Frame) (any, error) {
	var m wire.Exchange
	if err := f.DecodeBody(&m); err != nil {
		return nil, err
	}
	now := p.g.clock.Now()
	// Updates that build on what an earlier process here has got are not for this
	// one, also where it knows their origins from others.
	lacking := m.BaseVersion > 0 && m.ExpectedReceiver != replica.OriginID(p.g.self.Incarnation)
	if !lacking {
		lacking = p.takeUpdates(now, from.Instance, m.Updates, m.Follow && !m.Hub)
	}
	answer := p.g.answer(now, from, m)
	p.mu.Lock()
	defer p.mu.Unlock()
	answer.NeedsResync, answer.FleetSize = lacking, 1+len(p.known)
	if m.Follow {
		answer.Cursor = p.table.Cursor()
		answer.Updates = p.table.UpdatesSince(now, p.table.VersionOf(m.ReceivedCursor), replica.ScopeAll, replica.OriginID(from.Incarnation))
	}
	return answer, nil
}

// takeUpdates takes in updates that came from an instance, with ages that count
// back from a time. Lacking says that some build on others that are not here.
func (p *peers) takeUpdates(from time.Duration, via string, updates []wire.InstanceUpdate, passOn bool) (lacking bool) {
	if len(updates) == 0 {
		return false
	}
	p.taking.Lock()
	defer p.taking.Unlock()
	p.mu.Lock()
	now := p.g.clock.Now()
	changes, lacking := p.table.Merge(from, updates, passOn)
	for i := range changes {
		p.note(now, via, &changes[i])
	}
	p.mu.Unlock()
	p.g.takeChanges(now, changes)
	return lacking
}

// note takes in the update of a peer. The caller holds p.mu.
func (p *peers) note(now time.Duration, via string, c *replica.Change) {
	id := c.Identity
	if id.Instance == p.g.self.Instance {
		return // an earlier process of this instance
	}
	s := p.known[id.Instance]
	if s != nil && s.Incarnation != id.Incarnation && c.At <= s.updatedAt {
		return // an earlier process of that one
	}
	if s == nil || s.Incarnation != id.Incarnation {
		if now-c.At > p.freshFor() {
			return
		}
		s = newState(now, Announced{Announcement: Announcement{
			Instance: id.Instance, Incarnation: id.Incarnation, Address: id.Address, Domain: id.Domain,
		}})
		p.known[id.Instance] = s
		logline.Sampled("peer_met", "peer", id.Instance, "address", id.Address, "incarnation", id.Incarnation, "via", via)
	}
	s.updatedAt, s.via, s.state, s.Capacity = c.At, via, c.State, c.State.Capacity
	p.noteConfig(s, c.State.ConfigVersion)
	p.takeOverdue(now, c.State.OverdueInstances)
}

// apply puts what is known of the peers into force here.
func (p *peers) apply() {
	now := p.g.clock.Now()
	loads := map[string]targetLoad{}
	loading := map[string]bool{}
	p.mu.Lock()
	fleet, silence, delay := p.sizeLocked(), p.freshFor(), p.updateTime()
	names, found := p.serving(), p.read
	reporting, silent := 0, map[string]int{}
	for _, s := range p.known {
		if !p.fresh(now, s) {
			continue
		}
		reporting++
		for _, id := range s.state.SilentTargets {
			silent[id]++
		}
		for target, l := range s.state.Loads {
			sum := loads[target]
			loads[target] = targetLoad{PendingPromptTokens: sum.PendingPromptTokens + float64(l.PendingPromptTokens), KVCacheTokens: sum.KVCacheTokens + l.KVCacheTokens}
		}
		for _, id := range s.state.LoadingTargets {
			loading[id] = true
		}
	}
	p.mu.Unlock()
	p.g.limits.setFleet(names, found)
	p.g.takePeers(now, fleet, silence, delay, loads, loading)
	p.g.suspect(agreed(silent, reporting))
}

// serving are the instances that may be serving, without those that leave. The caller
// holds p.mu.
func (p *peers) serving() []string {
	names := make([]string, 0, 1+len(p.known))
	if !p.g.closing.Load() {
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
	// minWitnesses is the peers that must have found a target silent. One may
	// be cut off from it by itself.
	minWitnesses = 2
	// witnessShare is that number in large fleets, as a part of the peers that
	// report: a few machines that share a broken link must not decide for all.
	witnessShare = 0.07
)

// agreed lists the targets that enough of the peers have found silent.
func agreed(silent map[string]int, reporting int) []string {
	var ids []string
	need := max(minWitnesses, int(witnessShare*float64(reporting)))
	for id, n := range silent {
		if n >= need {
			ids = append(ids, id)
		}
	}
	return ids
}

// sentPrompt notes a prompt that a target has prefilled, and the pieces that it
// saves under the scope, for the peers.
func (p *peers) sentPrompt(pl *enginePlacement, scope string, saved []prefix.Hash) {
	m := wire.PrefilledPrompt{
		Target: pl.target.ID, Born: pl.target.StartedMs, SharedPieces: numbers(pl.send.Request.Placement.Chain), CachedTokens: pl.newlyCachedTokens(),
		CacheScope: scope, SavedPieces: numbers(saved),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.AddEvent(wire.InstanceEvent{Prompt: &m})
}

func numbers(hashes []prefix.Hash) []uint64 {
	out := make([]uint64, len(hashes))
	for i, h := range hashes {
		out[i] = uint64(h)
	}
	return out
}

func hashes(numbers []uint64) []prefix.Hash {
	out := make([]prefix.Hash, len(numbers))
	for i, n := range numbers {
		out[i] = prefix.Hash(n)
	}
	return out
}

// crashed notes a request that broke off, for the peers.
func (p *peers) crashed(fingerprint uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.AddEvent(wire.InstanceEvent{CrashFingerprint: fingerprint})
}
