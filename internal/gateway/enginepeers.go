package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/prefix"
)

// load is what an instance has running at one target.
type load struct {
	// Unanswered is the prompt tokens whose first token has not come, Held
	// the tokens of memory that running requests take.
	Unanswered float64
	Held       int
}

// loads is what this instance has running, by target.
func (p *enginePool) loads() map[string]load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]load{}
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		if l := (load{Unanswered: t.Load.Unanswered(), Held: t.HeldTokens}); l != (load{}) {
			out[t.Name] = l
		}
	}
	return out
}

// setPeers takes what the other instances have running, by target. It is as old
// as their updates are, so the window is as much longer.
func (p *enginePool) setPeers(delay time.Duration, peers map[string]load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.SetMaxTargetBacklog(engineWindow + delay - exchangeInterval)
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		l := peers[t.Name]
		t.PeersHeldTokens = l.Held
		t.Load.SetPeerUnanswered(l.Unanswered)
	}
}

// took is the tokens that the request has put into its target's cache.
func (pl *placed) took() int {
	return max(0, pl.held-pl.send.Request.Placement.LeadingTokens(pl.send.Decision.CachedPieces))
}

// noteCached takes in a prompt that a peer has sent to a target, and the tokens
// that it has put into the target's cache.
func (p *enginePool) noteCached(id directory.Incarnation, chain []prefix.Hash, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.regs[id.ID]
	if !ok || r.Incarnation() != id {
		return
	}
	p.index.AddInsertedTokens(identity(&r), float64(tokens))
	p.index.Stored(identity(&r), chain)
}
