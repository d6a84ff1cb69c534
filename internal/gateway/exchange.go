package gateway

import (
	"context"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/wire"
)

// exchangeAll starts an exchange with every peer that has none running.
func (p *peers) exchangeAll(ctx context.Context) {
	p.mu.Lock()
	now := p.g.clock.Now()
	p.look(now)
	var call []*peerState
	for _, s := range p.known {
		if !s.calling {
			s.calling = true
			call = append(call, s)
		}
	}
	p.trim()
	unheard := p.unheard(now)
	p.mu.Unlock()
	if len(call) == 0 {
		return
	}
	body := p.g.state()
	body.Unheard = unheard
	for _, s := range call {
		go p.exchange(ctx, s, body)
	}
}

// trim drops what all peers have been told.
func (p *peers) trim() {
	if drop := len(p.prompts) - maxSentPrompts; drop > 0 {
		p.prompts = append([]wire.SentPrompt(nil), p.prompts[drop:]...)
		p.promptBase += drop
	}
	if drop := len(p.crashes) - maxSentPrompts; drop > 0 {
		p.crashes = append([]uint64(nil), p.crashes[drop:]...)
		p.crashBase += drop
	}
}

func (p *peers) exchange(ctx context.Context, s *peerState, body wire.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p.mu.Lock()
	body.Prompts = p.prompts[max(0, s.sentPrompts-p.promptBase):]
	body.Crashed = p.crashes[max(0, s.sentCrashes-p.crashBase):]
	body.WantConfig = p.asksForConfig(s, body.ConfigVersion)
	spent := body.Spent
	body.Spent = newly(spent, s.told)
	prompts, crashes := p.promptBase+len(p.prompts), p.crashBase+len(p.crashes)
	address, node := s.Address, p.node
	p.mu.Unlock()
	asked := p.g.clock.Now()
	var answer wire.ExchangeAnswer
	from, err := node.Call(ctx, address, wire.KindExchange, body, &answer)
	p.mu.Lock()
	s.calling = false
	if body.WantConfig {
		p.askedConfig = nil
	}
	if err == nil && from.Incarnation == s.Incarnation {
		s.sentPrompts, s.sentCrashes, s.told = prompts, crashes, spent
		s.leaving, s.config = answer.Leaving, max(s.config, answer.ConfigVersion)
	}
	if err != nil {
		// The peer may forget this instance while it does not hear it.
		s.told = nil
	}
	p.mu.Unlock()
	if err != nil {
		if ctx.Err() != nil {
			node.Drop(address)
		}
		return
	}
	p.g.takeAnswer(asked, from, body.TargetsNext, answer)
}

// asksForConfig says whether to ask this peer for its configuration: it has a
// newer one, and no other peer is being asked. A fleet that asked everybody at
// once would fill the small instances' links with copies. The caller holds p.mu.
func (p *peers) asksForConfig(s *peerState, have int64) bool {
	if s.config <= have || p.askedConfig != nil {
		return false
	}
	p.askedConfig = s
	return true
}

// newly is what has changed of the counts since they were told; all of them
// when nothing was.
func newly(spent, told map[string]float64) map[string]float64 {
	if told == nil {
		return spent
	}
	out := map[string]float64{}
	for account, tokens := range spent {
		if told[account] != tokens {
			out[account] = tokens
		}
	}
	return out
}

// serve answers a peer's message.
func (p *peers) serve(_ context.Context, from wire.Identity, f wire.Frame) (any, error) {
	var m wire.Exchange
	if err := f.Into(&m); err != nil {
		return nil, err
	}
	now := p.g.clock.Now()
	p.mu.Lock()
	s := p.known[from.Instance]
	if s == nil || s.Incarnation != from.Incarnation {
		s = p.newState(now, Announced{Announcement: Announcement{
			Instance: from.Instance, Incarnation: from.Incarnation, Address: from.Address, Domain: from.Domain,
		}})
		p.known[from.Instance] = s
		logline.Info("peer_met", "peer", from.Instance, "address", from.Address, "incarnation", from.Incarnation)
	}
	s.heard, s.leaving, s.loads, s.loading, s.silent = now, m.Leaving, m.Loads, m.Loading, m.Silent
	s.cut, s.holdsOrders, s.config = m.Cut, m.HoldsOrders, max(s.config, m.ConfigVersion)
	p.takeUnheard(now, m.Unheard)
	p.mu.Unlock()
	return p.g.takeMessage(now, from, m), nil
}

// apply puts what is known of the peers into force here.
func (p *peers) apply() {
	now := p.g.clock.Now()
	loads := map[string]load{}
	loading := map[string]bool{}
	p.mu.Lock()
	fleet, silence := p.sizeLocked(), p.heardFor()
	pace := p.paceLocked()
	heard, silent := 0, map[string]int{}
	for _, s := range p.known {
		if !p.hears(now, s) {
			continue
		}
		heard++
		for _, id := range s.silent {
			silent[id]++
		}
		for target, l := range s.loads {
			sum := loads[target]
			loads[target] = load{Unanswered: sum.Unanswered + l.Unanswered, Held: sum.Held + l.Held}
		}
		for _, id := range s.loading {
			loading[id] = true
		}
	}
	p.mu.Unlock()
	p.g.takePeers(now, fleet, silence, pace, loads, loading)
	p.g.suspect(agreed(silent, heard))
}

const (
	// minWitnesses is the peers that must have found a target silent. One may
	// be cut off from it by itself.
	minWitnesses = 2
	// witnessShare is that number in large fleets, as a part of the peers
	// heard: a few machines that share a broken link must not decide for all.
	witnessShare = 0.07
)

// agreed lists the targets that enough of the heard peers have found silent.
func agreed(silent map[string]int, heard int) []string {
	var ids []string
	need := max(minWitnesses, int(witnessShare*float64(heard)))
	for id, n := range silent {
		if n >= need {
			ids = append(ids, id)
		}
	}
	return ids
}

// sentPrompt notes a prompt that a target has prefilled, and the pieces that it
// saves under the scope, to tell the peers.
func (p *peers) sentPrompt(pl *placed, scope string, saved []prefix.Hash) {
	m := wire.SentPrompt{
		Target: pl.target.ID, Born: pl.target.Born, Chain: numbers(pl.send.Request.Place.Chain), Tokens: pl.took(),
		Scope: scope, Pieces: numbers(saved),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prompts = append(p.prompts, m)
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

// struck notes a request that broke off, to tell the peers.
func (p *peers) struck(fingerprint uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, fingerprint)
}
