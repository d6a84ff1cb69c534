package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/prefix"
)

// targetLoad is what an instance has running at one target.
type targetLoad struct {
	// PendingPromptTokens is the prompt tokens whose first token has not come, Held
	// the tokens of memory that running requests take.
	PendingPromptTokens float64
	KVCacheTokens       int
}

// targetLoads is what this instance has running, by target.
func (p *enginePool) targetLoads() map[string]targetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]targetLoad{}
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		if l := (targetLoad{PendingPromptTokens: t.Load.Unanswered(), KVCacheTokens: t.HeldTokens}); l != (targetLoad{}) {
			out[t.Name] = l
		}
	}
	return out
}

// setPeerLoads takes what the other instances have running, by target. It is as old
// as their updates are, so the window is as much longer.
func (p *enginePool) setPeerLoads(delay time.Duration, peers map[string]targetLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.SetMaxTargetBacklog(maxTargetBacklog + delay - exchangeEvery)
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		l := peers[t.Name]
		t.PeersHeldTokens = l.KVCacheTokens
		t.Load.SetPeerUnanswered(l.PendingPromptTokens)
	}
}

// newlyCachedTokens is the tokens that the request has put into its target's cache.
func (pl *enginePlacement) newlyCachedTokens() int {
	return max(0, pl.heldTokens-pl.send.Request.Placement.LeadingTokens(pl.send.Decision.CachedPieces))
}

// recordPeerPrompt takes in a prompt that a peer has sent to a target, and the tokens
// that it has put into the target's cache.
func (p *enginePool) recordPeerPrompt(id directory.Incarnation, chain []prefix.Hash, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.registrations[id.ID]
	if !ok || r.Incarnation() != id {
		return
	}
	p.index.AddInsertedTokens(cacheIdentity(&r), float64(tokens))
	p.index.Stored(cacheIdentity(&r), chain)
}
