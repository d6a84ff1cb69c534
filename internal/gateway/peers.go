package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// exchangeEvery is the least pause between two messages to a peer. What
	// an account spends in it on all instances is its possible debt.
	exchangeEvery = 125 * time.Millisecond
	// exchangeShare lengthens the pause in large fleets. A message and the one
	// that comes back take an instance some 110 us (two fleets of 61 instances
	// compared), so at 200 a second they take two hundredths of a processor;
	// what placement knows of peers' work is as old as the pause.
	exchangeShare = 5 * time.Millisecond
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
	silent      []string
	calling     bool
	sentPrompts int
	sentCrashes int
}

// newState is that of a peer not heard yet. It is told only what happens from
// now on. The caller holds p.mu.
func (p *peers) newState(now time.Duration, a Announced) *peerState {
	return &peerState{
		Announced: a, heard: never, announcedAt: now,
		sentPrompts: p.promptBase + len(p.prompts), sentCrashes: p.crashBase + len(p.crashes),
	}
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
// instance serves alone, with its part of a fleet of unknown size.
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
				p.known[a.Instance] = p.newState(now, a)
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
