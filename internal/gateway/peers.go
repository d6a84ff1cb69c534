package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/hubs"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// exchangeEvery is the least pause between two messages to a peer. What
	// an account spends in it on all instances is its possible debt.
	exchangeInterval = 125 * time.Millisecond
	// exchangeShare lengthens the pause for each peer that an instance calls, so
	// that its messages take a bounded part of its processor.
	exchangeIntervalPerPeer = 5 * time.Millisecond
	// followEvery is the pause between two messages to the hub that an instance
	// follows.
	followInterval = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange; a peer that takes longer is not
	// called for retryFailed.
	exchangeTimeout = 800 * time.Millisecond
	// lateAfter is when an instance calls another hub beside one that has not
	// answered: after the pause of two messages, and a bit.
	lateCallThreshold = 300 * time.Millisecond
	// retryFailed is how long an instance follows another hub after a failed
	// call.
	failedPeerBackoff = 2 * time.Second
	// minFreshFor is how long a peer's last update stands for its present
	// state, and freshUpdates that time in the time that an update takes, so
	// that one lost changes nothing.
	minUpdateMaxAge    = time.Second
	updateMaxAgeFactor = 4
	// announceEvery is the pause between announcements of the first of the
	// instances in the order of duties, while a peer is silent.
	fastAnnounceInterval = 2 * time.Second
	// calmAnnounceEvery is that pause while there are updates of all peers, and
	// othersAnnounceEvery the pause of the other instances.
	firstAnnounceInterval = 15 * time.Second
	otherAnnounceInterval = time.Minute
	// goneAfter is when a silent peer that is no longer announced counts as
	// gone, and its part of the accounts' rates falls to the others. One that
	// is only cut off from the others is announced all the while, by itself or
	// by the first of those that it exchanges updates with; one that is cut off
	// from the store too has stopped serving callers with keys by then, since it
	// cannot check them.
	peerExpiry = 7 * time.Second
)

// peers is this instance's view of the other instances.
type peers struct {
	g    *Gateway
	node *peer.Node

	// taking is held while updates are taken in, so that those of one origin
	// come into force in their order. It is locked before all others.
	mergeMu sync.Mutex

	mu    sync.Mutex
	table *replica.Table
	known map[string]*peerState // by instance
	// plan is the last plan of calls, and turn counts the plans.
	plan  hubs.Plan
	round int
	// dropped are the announcements of peers that are gone: they stay in the
	// store, and would bring each back whenever they are read.
	removedRevisions map[string]int64
	// read is set once the announcements were read.
	announcementsRead bool
	// announcing is set while a call to the store is under way. announcedAt is
	// when the last one was answered, never after a failure, and announceAt when
	// the next one is to be thought of.
	announcing  bool
	announcedAt time.Duration
	announceAt  time.Duration
}

type peerState struct {
	Announced
	// updatedAt is when the peer made the last update that has come here.
	updatedAt time.Duration
	// via is the instance from which that came.
	via string
	// announcedAt is when a new announcement of it was last seen in the store,
	// by itself or by another instance.
	announcedAt time.Duration
	// missedAt is when the first of the instances last reported that it has no
	// update of this one either.
	reportedOverdueAt time.Duration
	// state is its last update, config the newest configuration that it has,
	// fleet the instances that it knows, as it answered last.
	state         wire.InstanceState
	configVersion int64
	fleetSize     int
	// calling is set while a call is under way, since calledAt; failedAt is when
	// the last one failed, never after an answer.
	callInFlight bool
	calledAt     time.Duration
	failedAt     time.Duration
	// sent is the version of this instance's table that the peer has, received
	// the place in the peer's table that this instance has.
	ackedVersion   uint64
	receivedCursor wire.UpdateCursor
}

// newState is that of a peer without an update yet.
func newPeerState(now time.Duration, a Announced) *peerState {
	return &peerState{Announced: a, updatedAt: never, announcedAt: now, reportedOverdueAt: never, failedAt: never}
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, table: replica.New(g.self, minUpdateMaxAge), known: map[string]*peerState{}, removedRevisions: map[string]int64{}}
}

// run finds the peers and exchanges messages with them until ctx ends.
func (p *peers) run(ctx context.Context) {
	if !p.startNode(ctx) {
		return
	}
	var transfers sync.WaitGroup
	defer transfers.Wait()
	transfers.Go(func() { p.g.configs.run(ctx) })
	for {
		p.announceIfDue(ctx)
		p.publishAndExchange(ctx)
		p.applyToGateway()
		if !sleep(ctx, p.callInterval()) {
			return
		}
	}
}

// start gets the secret and listens for peers. Until that is done this
// instance serves alone, with its part of a fleet of unknown size.
func (p *peers) startNode(ctx context.Context) bool {
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
	node.Handle(wire.KindExchange, p.handleExchange)
	node.Handle(wire.KindOrderLease, p.handleLeaseRequest)
	node.Handle(wire.KindConfigPart, p.g.configs.handlePartRequest)
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
	return p.fleetSizeLocked()
}

func (p *peers) fleetSizeLocked() int {
	if !p.announcementsRead {
		return max(unknownFleetSize, 1+len(p.known))
	}
	return 1 + len(p.known)
}

// pace is the pause between two plans of calls.
func (p *peers) callInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callIntervalLocked()
}

func (p *peers) callIntervalLocked() time.Duration {
	if p.plan.Mesh {
		return max(exchangeInterval, exchangeIntervalPerPeer*time.Duration(len(p.known)))
	}
	if p.plan.Hub {
		return max(exchangeInterval, exchangeIntervalPerPeer*time.Duration(len(p.plan.Calls)))
	}
	return followInterval
}

// updateTime is the time after which an update of an instance has reached all
// others: in a mesh one pause, else those of the instance, of a hub, and of the
// instances that follow one. The caller holds p.mu.
func (p *peers) propagationTime() time.Duration {
	if p.plan.Mesh {
		return p.callIntervalLocked()
	}
	return exchangeInterval + followInterval
}

// freshFor is how long a peer's last update stands for its present state. The
// caller holds p.mu.
func (p *peers) updateMaxAge() time.Duration {
	return max(minUpdateMaxAge, updateMaxAgeFactor*p.propagationTime())
}

// fresh says whether a peer's last update stands for its present state. The
// caller holds p.mu.
func (p *peers) isFresh(now time.Duration, s *peerState) bool {
	return now-s.updatedAt <= p.updateMaxAge()
}

// reporting is the number of peers with a fresh update.
func (p *peers) reportingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportingCountLocked(p.g.clock.Now())
}

func (p *peers) reportingCountLocked(now time.Duration) int {
	n := 0
	for _, s := range p.known {
		if p.isFresh(now, s) {
			n++
		}
	}
	return n
}

// instance is this instance in the order of duties.
func (p *peers) hubInstance() hubs.Instance {
	return hubs.Instance{Name: p.g.self.Instance, Domain: p.g.self.Domain, Capacity: p.g.settings.Capacity}
}

func (s *peerState) hubInstance() hubs.Instance {
	return hubs.Instance{Name: s.Instance, Domain: s.Domain, Capacity: s.Capacity}
}

// rank is the number of peers with a fresh update that reach the store and come
// before this instance in the order of duties.
func (p *peers) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rankLocked(p.g.clock.Now())
}

func (p *peers) rankLocked(now time.Duration) int {
	rank, self := 0, p.hubInstance()
	for _, s := range p.known {
		if hubs.Compare(s.hubInstance(), self) < 0 && !s.state.Leaving && !s.state.StoreUnreachable && p.isFresh(now, s) {
			rank++
		}
	}
	return rank
}

// reads says whether this instance reads the store's feeds for the fleet.
func (p *peers) isFleetReader() bool { return !p.g.draining.Load() && p.rank() == 0 }

// firstOfDomain says whether this instance comes first in the order of duties among all
// of its failure domain that are announced, also before they report.
func (p *peers) isFirstInDomain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.known {
		if s.Domain == p.g.self.Domain && !s.state.Leaving && hubs.Compare(s.hubInstance(), p.hubInstance()) < 0 {
			return false
		}
	}
	return p.announcementsRead
}

// readsForDomain says whether this instance is the first of its failure domain to
// read the store's feeds when the fleet's reader does not.
func (p *peers) isDomainReader() bool {
	if p.g.draining.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	var members []feedturn.Peer
	for _, s := range p.known {
		if s.Domain == p.g.self.Domain && !s.state.Leaving && p.isFresh(now, s) {
			members = append(members, feedturn.Peer{Instance: s.hubInstance(), StoreUnreachable: s.state.StoreUnreachable})
		}
	}
	return feedturn.IsReader(p.hubInstance(), members)
}

// ordersHeld says that a peer holds the lease for orders.
func (p *peers) leaseHeldByPeer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	for _, s := range p.known {
		if s.state.OrderLease != nil && p.isFresh(now, s) {
			return true
		}
	}
	return false
}
