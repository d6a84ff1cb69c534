package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/feedturn"
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
	// announceEvery is the pause between announcements of the first of the
	// instances that hear each other, while a peer is silent.
	announceEvery = 2 * time.Second
	// calmAnnounceEvery is that pause while all peers are heard, and
	// othersAnnounceEvery the pause of the other instances.
	calmAnnounceEvery   = 15 * time.Second
	othersAnnounceEvery = time.Minute
	// goneAfter is when a silent peer that is no longer announced counts as
	// gone, and its part of the accounts' rates falls to the others. One that
	// is only cut off from the others is announced all the while, by itself or
	// by the first of those that it hears; one that is cut off from the store
	// too has stopped serving callers with keys by then, since it cannot check
	// them.
	goneAfter = 7 * time.Second
	// maxSentPrompts bounds the prompts told in one message.
	maxSentPrompts = 128
)

// peers is this instance's view of the other instances.
type peers struct {
	g    *Gateway
	node *peer.Node

	mu    sync.Mutex
	known map[string]*peerState // by instance
	// dropped are the announcements of peers that are gone: they stay in the
	// store, and would bring each back whenever they are read.
	dropped map[string]int64
	// prompts are what this instance's requests have left at targets, for
	// each peer since its last message.
	prompts []wire.SentPrompt
	// promptBase counts the prompts dropped from the front.
	promptBase int
	crashBase  int
	crashes    []uint64
	// askedConfig is the peer that is being asked for its configuration.
	askedConfig *peerState
	// read is set once the announcements were read.
	read bool
	// announcing is set while a call to the store is under way, announceAt when
	// the next one is due.
	announcing bool
	announceAt time.Duration
}

type peerState struct {
	Announced
	heard time.Duration
	// announcedAt is when a new announcement of it was last seen in the store,
	// by itself or by another instance.
	announcedAt time.Duration
	// missedAt is when the first of the instances last told that it does not
	// hear this one either.
	missedAt time.Duration
	leaving  bool
	// cut and holdsOrders are the peer's own words.
	cut         bool
	holdsOrders bool
	// config is the configuration that it has.
	config int64
	// told is what it knows of this instance's spending.
	told        map[string]float64
	loads       map[string]wire.TargetLoad
	loading     []string
	silent      []string
	calling     bool
	sentPrompts int
	sentCrashes int
}

// newState is that of a peer not heard yet. It is told only what happens from
// now on. The caller holds p.mu.
func (p *peers) newState(now time.Duration, a Announced) *peerState {
	return &peerState{
		Announced: a, heard: never, announcedAt: now, missedAt: never,
		sentPrompts: p.promptBase + len(p.prompts), sentCrashes: p.crashBase + len(p.crashes),
	}
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, known: map[string]*peerState{}, dropped: map[string]int64{}}
}

// run finds the peers and exchanges messages with them until ctx ends.
func (p *peers) run(ctx context.Context) {
	if !p.start(ctx) {
		return
	}
	for {
		p.announceWhenDue(ctx)
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
	node.Handle(wire.KindOrderLease, p.serveLease)
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

// heardCount is the number of peers that are heard.
func (p *peers) heardCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heardLocked(p.g.clock.Now())
}

func (p *peers) heardLocked(now time.Duration) int {
	n := 0
	for _, s := range p.known {
		if p.hears(now, s) {
			n++
		}
	}
	return n
}

// rank is the number of heard peers that reach the store and whose names come
// before this instance's.
func (p *peers) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rankLocked(p.g.clock.Now())
}

func (p *peers) rankLocked(now time.Duration) int {
	rank := 0
	for name, s := range p.known {
		if name < p.g.self.Instance && !s.leaving && !s.cut && p.hears(now, s) {
			rank++
		}
	}
	return rank
}

// readsForDomain says whether this instance reads the store's feeds for its
// failure domain.
func (p *peers) readsForDomain() bool {
	if p.g.closing.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	var heard []feedturn.Peer
	for name, s := range p.known {
		if s.Domain == p.g.self.Domain && !s.leaving && p.hears(now, s) {
			heard = append(heard, feedturn.Peer{Name: name, Lost: s.cut})
		}
	}
	return feedturn.Reads(p.g.self.Instance, heard)
}

// ordersHeld says that a heard peer holds the lease for orders.
func (p *peers) ordersHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	for _, s := range p.known {
		if s.holdsOrders && p.hears(now, s) {
			return true
		}
	}
	return false
}
