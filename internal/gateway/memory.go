package gateway

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/callerconn"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/sendbuffer"
	"github.com/mastictray/mastictray/internal/wire"
)

// maxMemoryClaims bounds the claims to targets' memory that an instance publishes at a time for
// a service, and with them the size of its updates. Requests wait until theirs are published.
const maxMemoryClaims = 16

// publishMemoryClaims returns this instance's claims to room in the memory of targets, to be
// sent to the others.
func (s *engineService) publishMemoryClaims() []wire.MemoryClaim {
	if s.sharesMemoryAs == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var claims []wire.MemoryClaim
	// Those published before come first: the others rely on them.
	for _, published := range []bool{true, false} {
		for i := range s.pool.Len() {
			t := s.pool.Target(i)
			if _, ok := t.Memory.Claim(s.now()); !ok || t.Memory.Published() != published || len(claims) == maxMemoryClaims {
				continue
			}
			c, _ := t.Memory.Publish(s.now())
			claims = append(claims, wire.MemoryClaim{Target: t.Name, Tokens: c.Tokens, Ticket: c.Ticket})
			if !published {
				logline.InfoSampled("memory_claimed", "target", t.Name, "tokens", c.Tokens, "ticket", c.Ticket,
					"held", t.HeldTokens, "peers_held", t.PeersHeldTokens, "memory", t.MemoryTokens)
			}
		}
	}
	slices.SortFunc(claims, func(a, b wire.MemoryClaim) int { return cmp.Compare(a.Target, b.Target) })
	return claims
}

// addMemoryClaims adds an instance's published claims to those by target.
func addMemoryClaims(byTarget map[string][]placement.MemoryClaim, instance string, published []wire.MemoryClaim) {
	for _, c := range published {
		byTarget[c.Target] = append(byTarget[c.Target], placement.MemoryClaim{Instance: instance, Tokens: c.Tokens, Ticket: c.Ticket})
	}
}

// applyMemoryClaims sets the claims of the other instances, by target. Each instance learns of
// another one's requests and claims within delay. It must be called after the peers' loads are
// set: a claim that has become a request then counts twice rather than not at all.
func (g *Gateway) applyMemoryClaims(delay time.Duration, byTarget map[string][]placement.MemoryClaim) {
	if !g.settings.Features.BoundedMemory {
		return
	}
	for _, service := range g.listEngineServices() {
		service.setPeerClaims(delay, byTarget)
	}
}

func (s *engineService) setPeerClaims(delay time.Duration, byTarget map[string][]placement.MemoryClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		t.Memory.SetPeers(s.now(), delay, t.PeersHeldTokens, byTarget[t.Name])
		t.Memory.Observe(s.now(), t.HeldTokens+t.PeersHeldTokens)
	}
}

// slowCallerOptions returns how responses are kept for callers that read slowly.
func (g *Gateway) slowCallerOptions() *callerconn.Options {
	return &callerconn.Options{
		Now: g.clock.Now, Budget: responseBudget{g.memory}, Stats: &g.slowCallers, OnGiveUp: logCallerGivenUp,
	}
}

func logCallerGivenUp(remote net.Addr, bytes int) {
	logline.Info("caller_given_up", "caller", remote.String(), "kept_bytes", bytes, "after", sendbuffer.DefaultStallTimeout)
}

// TargetMemory is what is known of a target's memory, in tokens.
type TargetMemory struct {
	Memory int `json:"memory"`
	// Held is what requests of this instance hold, PeersHeld what those of others held by
	// their last reports.
	Held      int `json:"held"`
	PeersHeld int `json:"peers_held"`
	// Claimed is what this instance has claimed, PeersClaimed what the others have.
	Claimed      int `json:"claimed"`
	PeersClaimed int `json:"peers_claimed"`
}

// memoryStatus returns what is known of the targets' memory; nil if instances don't share it.
func (s *engineService) memoryStatus() map[string]TargetMemory {
	if s.sharesMemoryAs == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]TargetMemory, s.pool.Len())
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		claim, _ := t.Memory.Claim(s.now())
		out[t.Name] = TargetMemory{
			Memory: t.MemoryTokens, Held: t.HeldTokens, PeersHeld: t.PeersHeldTokens,
			Claimed: claim.Tokens, PeersClaimed: t.Memory.PeersClaimed(),
		}
	}
	return out
}

// targetMemory returns what is known of the memory of the targets of all services.
func (g *Gateway) targetMemory() map[string]TargetMemory {
	var out map[string]TargetMemory
	for _, service := range g.listEngineServices() {
		for name, m := range service.memoryStatus() {
			if out == nil {
				out = map[string]TargetMemory{}
			}
			out[name] = m
		}
	}
	return out
}

// updateMemoryGauges sets the gauges of the targets' memory and of slow callers.
func (g *Gateway) updateMemoryGauges() {
	if !g.settings.Features.BoundedMemory {
		return
	}
	held, claimed, claims, fullest := 0, 0, 0, 0.0
	for _, m := range g.targetMemory() {
		held += m.Held
		claimed += m.Claimed
		if m.Claimed > 0 {
			claims++
		}
		if m.Memory > 0 {
			fullest = max(fullest, float64(m.Held+m.PeersHeld)/float64(m.Memory))
		}
	}
	g.metrics.gauge(`mastictray_target_memory_held_tokens`).Set(float64(held))
	g.metrics.gauge(`mastictray_target_memory_claimed_tokens`).Set(float64(claimed))
	g.metrics.gauge(`mastictray_target_memory_claims`).Set(float64(claims))
	g.metrics.gauge(`mastictray_target_memory_fullest_ratio`).Set(fullest)
	g.metrics.gauge(`mastictray_slow_callers`).Set(float64(g.slowCallers.Slow.Load()))
	g.metrics.gauge(`mastictray_slow_callers_kept_bytes`).Set(float64(g.slowCallers.Bytes.Load()))
	g.metrics.gauge(`mastictray_slow_callers_paused_responses`).Set(float64(g.slowCallers.Paused.Load()))
	g.metrics.gauge(`mastictray_slow_callers_given_up`).Set(float64(g.slowCallers.GivenUp.Load()))
}
