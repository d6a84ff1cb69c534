package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// exchangeEvery is the least pause between two messages to a peer. What
	// an account spends in it on all instances is its possible debt.
	exchangeEvery = 125 * time.Millisecond
	// exchangeShare lengthens the pause in large fleets: one message takes an
	// instance well under a thousandth of this time, so its messages to all
	// peers stay under a hundredth of a processor.
	exchangeShare = 15 * time.Millisecond
	// exchangeTimeout bounds one exchange; a peer that takes longer counts
	// as silent.
	exchangeTimeout = 800 * time.Millisecond
	// minHeardFor is how long a peer's last message is held for its present
	// state, and heardMessages that time in pauses between two of them, so
	// that one lost changes nothing.
	minHeardFor   = time.Second
	heardMessages = 4
	// announceEvery is the pause between announcements while a peer is
	// silent, or while this instance may be unknown to one.
	announceEvery = 2 * time.Second
	// calmAnnounceEvery is that pause while all peers are heard.
	calmAnnounceEvery = 15 * time.Second
	// goneAfter is when a silent peer that no longer announces itself counts
	// as gone, and its part of the accounts' rates falls to the others. A peer
	// that is only cut off from the others announces itself all the while; one
	// that is cut off from the store too has stopped serving callers with keys
	// by then, since it cannot check them.
	goneAfter = 7 * time.Second
	// toldVersions is how many versions of each model are told to peers, which
	// may have restarted: those that still bound what may serve.
	toldVersions = 4
	// maxSentPrompts bounds the prompts told in one message.
	maxSentPrompts = 128
)

// peers is this instance's view of the other instances.
type peers struct {
	g    *Gateway
	node *peer.Node

	mu    sync.Mutex
	known map[string]*peerState // by instance
	// prompts are what this instance's requests have left at targets, for
	// each peer since its last message.
	prompts []wire.SentPrompt
	// promptBase counts the prompts dropped from the front.
	promptBase int
	crashBase  int
	crashes    []uint64
	// read is set once the announcements were read.
	read bool
}

type peerState struct {
	Announced
	heard time.Duration
	// announcedAt is when a change of the announcement was last seen.
	announcedAt time.Duration
	leaving     bool
	loads       map[string]wire.TargetLoad
	loading     []string
	soon        []string
	calling     bool
	sentPrompts int
	sentCrashes int
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, known: map[string]*peerState{}}
}

// run finds the peers and exchanges messages with them until ctx ends.
func (p *peers) run(ctx context.Context) {
	if !p.start(ctx) {
		return
	}
	var wait time.Duration
	for {
		now := p.g.clock.Now()
		if now >= wait {
			wait = now + p.announce(ctx)
		}
		p.exchangeAll(ctx)
		p.apply()
		if !sleep(ctx, p.pace()) {
			return
		}
	}
}

// start gets the secret and listens for peers. Until that is done this
// instance serves alone.
func (p *peers) start(ctx context.Context) bool {
	var secret []byte
	for secret == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		var err error
		secret, err = p.g.store.PeerSecret(call, []byte(p.g.self.Incarnation))
		cancel()
		if err != nil {
			logline.Error(err, "peer_secret_unread")
			secret = nil
			if !sleep(ctx, p.g.jitter(time.Second)) {
				return false
			}
		}
	}
	listener, err := net.Listen("tcp", p.g.self.Address)
	if err != nil {
		logline.Error(errors.Wrapf(err, "listen for peers at %s", p.g.self.Address), "peers_off")
		return false
	}
	node := peer.NewNode(peer.Options{Self: p.g.self, Secret: secret})
	node.Handle(wire.KindExchange, p.serve)
	node.Serve(listener)
	p.mu.Lock()
	p.node = node
	p.mu.Unlock()
	return true
}

func (p *peers) close() {
	p.mu.Lock()
	node := p.node
	p.mu.Unlock()
	if node != nil {
		node.Close()
	}
}

// announce writes where this instance is, reads where the others are, and
// gives the pause until the next time.
func (p *peers) announce(ctx context.Context) time.Duration {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	self := Announcement{Instance: p.g.self.Instance, Incarnation: p.g.self.Incarnation, Address: p.g.self.Address, Domain: p.g.self.Domain}
	if !p.g.closing.Load() {
		if err := p.g.store.Announce(call, self); err != nil {
			logline.Error(err, "announce_failed")
			return announceEvery
		}
	}
	all, err := p.g.store.Announcements(call)
	if err != nil {
		logline.Error(err, "announcements_unread")
		return announceEvery
	}
	p.take(all)
	if p.allHeard() {
		return calmAnnounceEvery
	}
	return announceEvery
}

// take takes in the announcements, as read whole.
func (p *peers) take(all []Announced) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.read = true
	now := p.g.clock.Now()
	there := map[string]bool{p.g.self.Instance: true}
	for _, a := range all {
		there[a.Instance] = true
		if a.Instance == p.g.self.Instance {
			continue
		}
		s := p.known[a.Instance]
		if s == nil || s.Incarnation != a.Incarnation {
			if s == nil || a.Revision > s.Revision {
				p.known[a.Instance] = &peerState{Announced: a, heard: never, announcedAt: now, sentPrompts: p.promptBase + len(p.prompts), sentCrashes: p.crashBase + len(p.crashes)}
				logline.Info("peer_found", "peer", a.Instance, "address", a.Address, "incarnation", a.Incarnation)
			}
			continue
		}
		if a.Revision != s.Revision {
			s.Announced, s.announcedAt = a, now
		}
	}
	for name, s := range p.known {
		silent := now - max(s.heard, s.announcedAt)
		if (!there[name] || s.leaving) && now-s.heard > p.heardFor() || silent > goneAfter {
			delete(p.known, name)
			logline.Info("peer_gone", "peer", name, "silent_for", silent, "announced", there[name])
		}
	}
}

func (p *peers) allHeard() bool {
	n := p.heardCount()
	return n > 0 && n+1 == p.fleetSize()
}

// fleetSize is the number of instances that may be serving, this one too.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sizeLocked()
}

func (p *peers) sizeLocked() int {
	if !p.read {
		return max(unknownFleet, 1+len(p.known))
	}
	return 1 + len(p.known)
}

// pace is the pause between two messages to a peer. The caller does not hold
// p.mu.
func (p *peers) pace() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paceLocked()
}

func (p *peers) paceLocked() time.Duration {
	return max(exchangeEvery, exchangeShare*time.Duration(len(p.known)))
}

// heardFor is how long a peer's last message is held for its present state.
// The caller holds p.mu.
func (p *peers) heardFor() time.Duration {
	return max(minHeardFor, heardMessages*p.paceLocked())
}

// never is the time of a message that was not yet heard.
const never = -time.Hour

// heardCount is the number of peers that are heard.
func (p *peers) heardCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, n := p.g.clock.Now(), 0
	for _, s := range p.known {
		if now-s.heard <= p.heardFor() {
			n++
		}
	}
	return n
}

// exchangeAll starts an exchange with every peer that has none running.
func (p *peers) exchangeAll(ctx context.Context) {
	p.mu.Lock()
	var call []*peerState
	for _, s := range p.known {
		if !s.calling {
			s.calling = true
			call = append(call, s)
		}
	}
	p.trim()
	p.mu.Unlock()
	if len(call) == 0 {
		return
	}
	body := p.g.state()
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
	prompts, crashes := p.promptBase+len(p.prompts), p.crashBase+len(p.crashes)
	address, node := s.Address, p.node
	p.mu.Unlock()
	asked := p.g.clock.Now()
	var answer wire.ExchangeAnswer
	from, err := node.Call(ctx, address, wire.KindExchange, body, &answer)
	p.mu.Lock()
	s.calling = false
	if err == nil && from.Incarnation == s.Incarnation {
		s.sentPrompts, s.sentCrashes = prompts, crashes
		s.leaving = answer.Leaving
	}
	p.mu.Unlock()
	if err != nil {
		if ctx.Err() != nil {
			node.Drop(address)
		}
		return
	}
	p.g.takeAnswer(asked, from, answer)
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
		s = &peerState{
			Announced:   Announced{Announcement: Announcement{Instance: from.Instance, Incarnation: from.Incarnation, Address: from.Address, Domain: from.Domain}},
			announcedAt: now, sentPrompts: p.promptBase + len(p.prompts), sentCrashes: p.crashBase + len(p.crashes),
		}
		p.known[from.Instance] = s
		logline.Info("peer_met", "peer", from.Instance, "address", from.Address, "incarnation", from.Incarnation)
	}
	s.heard, s.leaving, s.loads, s.loading, s.soon = now, m.Leaving, m.Loads, m.Loading, m.Soon
	p.mu.Unlock()
	return p.g.takeMessage(now, from, m), nil
}

// apply puts what is known of the peers into force here.
func (p *peers) apply() {
	now := p.g.clock.Now()
	loads := map[string]load{}
	loading, soon := map[string]bool{}, map[string]bool{}
	p.mu.Lock()
	fleet, silence := p.sizeLocked(), p.heardFor()
	for _, s := range p.known {
		if now-s.heard > p.heardFor() {
			continue
		}
		for target, l := range s.loads {
			sum := loads[target]
			loads[target] = load{Unanswered: sum.Unanswered + l.Unanswered, Held: sum.Held + l.Held}
		}
		for _, id := range s.loading {
			loading[id] = true
		}
		for _, id := range s.soon {
			soon[id] = true
		}
	}
	p.mu.Unlock()
	p.g.takePeers(now, fleet, silence, loads, loading, soon)
}

// sentPrompt notes a prompt that a target has prefilled, and the pieces that it
// saves under the scope, to tell the peers.
func (p *peers) sentPrompt(pl *placed, scope string, saved []prefix.Hash) {
	chain := pl.send.Request.Place.Chain
	if len(chain) == 0 {
		return
	}
	m := wire.SentPrompt{Target: pl.target.ID, Born: pl.target.Born, Chain: numbers(chain), Scope: scope, Pieces: numbers(saved)}
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

// state is what this instance tells its peers.
func (g *Gateway) state() wire.Exchange {
	m := wire.Exchange{From: g.self, Leaving: g.closing.Load(), Loads: map[string]wire.TargetLoad{}, Stores: g.cache.answering()}
	if t := g.table.Load(); t != nil {
		m.ConfigVersion = t.Config().Version
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Spent = g.quota.Spent()
	m.Loading, m.Soon = g.ordered, g.orderedSoon
	for _, pool := range g.engines {
		for id, l := range pool.loads() {
			m.Loads[id] = wire.TargetLoad{Unanswered: l.Unanswered, Held: l.Held}
		}
	}
	return m
}

// takeMessage takes in a peer's message and answers it.
func (g *Gateway) takeMessage(now time.Duration, from wire.Identity, m wire.Exchange) wire.ExchangeAnswer {
	g.mu.Lock()
	g.quota.Heard(now, from.Incarnation, m.Spent)
	for _, f := range m.Crashed {
		g.strikes.add(now, f)
	}
	answer := wire.ExchangeAnswer{ContactAge: -1, Leaving: g.closing.Load()}
	if age := g.contactAge(); age < startAge {
		answer.ContactAge = age.Milliseconds() + 1
	}
	for model, v := range g.versions {
		for _, n := range v.recent(toldVersions) {
			answer.Weights = append(answer.Weights, wire.NamedWeights{Model: model, Version: n.version, Age: (now - n.at).Milliseconds()})
		}
	}
	pools := make([]*enginePool, 0, len(g.engines))
	for _, pool := range g.engines {
		pools = append(pools, pool)
	}
	g.mu.Unlock()
	g.cache.told(m.Stores)
	for _, s := range m.Prompts {
		if len(s.Pieces) > 0 {
			g.cache.saved(s.Scope, hashes(s.Pieces))
		}
		chain := hashes(s.Chain)
		for _, pool := range pools {
			pool.believe(directory.Incarnation{ID: s.Target, Born: s.Born}, chain)
		}
	}
	if t := g.table.Load(); t != nil {
		answer.ConfigVersion = t.Config().Version
		if answer.ConfigVersion > m.ConfigVersion {
			raw, err := routing.Encode(t.Config())
			if err != nil {
				logline.Error(err, "config_not_passed_on", "peer", from.Instance)
			}
			answer.Config = raw
		}
	}
	return answer
}

// takeAnswer takes in a peer's answer to a message sent at that time. What the
// peer knew when it answered, this instance knows now: so the peer's contact
// with the store counts as one of its own, made that much before it asked.
func (g *Gateway) takeAnswer(asked time.Duration, from wire.Identity, a wire.ExchangeAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(a.Config) > 0 {
		c, err := routing.Decode(a.Config)
		if err != nil {
			logline.Error(err, "config_unreadable", "peer", from.Instance)
			return
		}
		g.putInForce(c, from.Instance)
	}
	for _, v := range a.Weights {
		g.nameVersion(routing.WeightsVersion{Model: v.Model, Version: v.Version}, asked-time.Duration(v.Age)*time.Millisecond)
	}
	t := g.table.Load()
	if a.ContactAge >= 0 && t != nil && t.Config().Version >= a.ConfigVersion {
		g.contacts.Log(asked - time.Duration(a.ContactAge)*time.Millisecond)
	}
}

// takePeers puts the peers' loads and the size of the fleet into force.
func (g *Gateway) takePeers(now time.Duration, fleet int, silence time.Duration, loads map[string]load, loading, soon map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.SetFleet(now, fleet, silence)
	g.shareReserves(fleet)
	for _, f := range g.strikes.news {
		g.peers.struck(f)
	}
	g.strikes.news = nil
	for _, id := range g.ordered {
		loading[id] = true
	}
	for _, id := range g.orderedSoon {
		soon[id] = true
	}
	g.loadingNow, g.loadingSoon = loading, soon
	g.updateRollout()
	for _, pool := range g.engines {
		pool.setPeers(loads)
	}
}
