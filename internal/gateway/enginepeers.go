package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/prefix"
)

// targetLoad is the work of one or several instances at one target.
type targetLoad struct {
	// PendingPromptTokens is the number of prompt tokens of requests whose first token has
	// not arrived, KVCacheTokens the number of tokens that running requests occupy in the
	// target's memory. Requests is the number of requests in flight.
	PendingPromptTokens float64
	KVCacheTokens       int
	Requests            int
}

// targetLoads returns the work of this instance at each target that has any.
func (s *engineService) targetLoads() map[string]targetLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]targetLoad{}
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		if l := (targetLoad{PendingPromptTokens: t.Load.Unanswered(), KVCacheTokens: t.HeldTokens, Requests: t.InFlight}); l != (targetLoad{}) {
			out[t.Name] = l
		}
	}
	return out
}

// setPeerLoads sets the total work of the other instances at each target. Their reports are
// up to delay old, so the backlog limit is raised by the part of the delay that exceeds the
// exchange interval.
func (s *engineService) setPeerLoads(delay time.Duration, peers map[string]targetLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetMaxTargetBacklog(maxTargetBacklog + delay - exchangeInterval)
	s.updateCapacitiesIfDue()
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		l := peers[t.Name]
		t.PeersHeldTokens = l.KVCacheTokens
		t.Load.SetPeerUnanswered(l.PendingPromptTokens)
		t.PeersInFlight = l.Requests
	}
}

// newlyCachedTokens returns the number of tokens that the request has added to its target's
// cache.
func (pl *enginePlacement) newlyCachedTokens() int {
	return max(0, pl.heldTokens-pl.send.Request.Placement.LeadingTokens(pl.send.Decision.CachedPieces))
}

// recordPeerPrompt records a prompt that a target has prefilled for a peer, and the number
// of tokens that it has added to the target's cache.
func (s *engineService) recordPeerPrompt(id directory.Incarnation, chain []prefix.Hash, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.registrations[id.ID]
	if !ok || r.Incarnation() != id {
		return
	}
	s.index.AddInsertedTokens(cacheIdentity(&r), float64(tokens))
	s.index.Stored(cacheIdentity(&r), chain)
}
