package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/hubs"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/targetpath"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// exchangeInterval is the minimum interval between two exchanges with a peer. The
	// tokens that an account spends on all instances in one interval bound its
	// overspending.
	exchangeInterval = 125 * time.Millisecond
	// exchangeIntervalPerPeer makes the interval longer for each peer that an instance
	// calls, so that its exchanges use a bounded fraction of its CPU.
	exchangeIntervalPerPeer = 5 * time.Millisecond
	// followInterval is the interval between two exchanges of a follower with its hub.
	followInterval = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange. A peer that takes longer isn't called for
	// failedPeerBackoff.
	exchangeTimeout = 800 * time.Millisecond
	// lateCallThreshold is the time without a response after which an instance calls a
	// second hub: slightly more than two exchange intervals.
	lateCallThreshold = 300 * time.Millisecond
	// failedPeerBackoff is the time after a failed call for which an instance follows
	// another hub.
	failedPeerBackoff = 2 * time.Second
	// minUpdateMaxAge is the minimum time for which a peer's last update counts as
	// fresh. updateMaxAgeFactor gives that time in multiples of the propagation time,
	// so that the loss of one update makes no difference.
	minUpdateMaxAge    = time.Second
	updateMaxAgeFactor = 4
	// fastAnnounceInterval is the interval between announcements of the first-ranked
	// instance while a peer is silent.
	fastAnnounceInterval = 2 * time.Second
	// firstAnnounceInterval is the interval for the first-ranked instance while all
	// peers report, otherAnnounceInterval the one for all other instances.
	firstAnnounceInterval = 15 * time.Second
	otherAnnounceInterval = time.Minute
	// peerExpiry is the time after which a silent peer that is no longer announced is
	// removed, so that the others get its share of the accounts' rates. A peer that is
	// only cut off from this side keeps being announced, by itself or by the
	// first-ranked instance on its own side. A peer that is cut off from the store as
	// well can't check keys and has stopped serving callers with keys by then.
	peerExpiry = 7 * time.Second
)

// peers holds this instance's view of the other instances.
type peers struct {
	g    *Gateway
	node *peer.Node

	// mergeMu is held while updates are merged and applied, so that updates of one
	// origin are applied in order. It is locked before all other locks.
	mergeMu sync.Mutex

	mu    sync.Mutex
	table *replica.Table
	known map[string]*peerState // by instance
	// plan is the last plan of calls, round the number of plans made so far.
	plan  hubs.Plan
	round int
	// removedRevisions holds the revisions of the announcements of removed peers. These
	// stay in the store and would add the peer again on every read.
	removedRevisions map[string]int64
	// lost holds the peers that were removed for their silence while the contact with the
	// store was not recent. They may be alive.
	lost map[string]hubs.Instance
	// announcementsRead is set once the announcements have been read.
	announcementsRead bool
	// announcing is set while an announcement is in flight. announcedAt is the time at
	// which the last one was answered, or never if it failed. announceAt is the time at
	// which announceDue considers the next one.
	announcing  bool
	announcedAt time.Duration
	announceAt  time.Duration
}

type peerState struct {
	Announced
	// updatedAt is the time at which the peer made its newest update that has arrived
	// here.
	updatedAt time.Duration
	// via is the instance that forwarded that update, or the peer itself.
	via string
	// announcedAt is the time at which a new announcement of the peer was last seen in
	// the store, written by itself or by another instance.
	announcedAt time.Duration
	// reportedOverdueAt is the time at which the first-ranked instance last reported
	// that it has no fresh update of this peer either.
	reportedOverdueAt time.Duration
	// state is the peer's last update, configVersion the newest configuration that it
	// has, and fleetSize the number of instances it knows according to its last
	// response.
	state         wire.InstanceState
	configVersion int64
	fleetSize     int
	// callInFlight is set while a call that started at calledAt is in flight. failedAt
	// is the time of the last call if it failed, or never after a response.
	callInFlight bool
	calledAt     time.Duration
	failedAt     time.Duration
	// ackedVersion is the version of this instance's table that the peer has,
	// receivedCursor this instance's position in the peer's table.
	ackedVersion   uint64
	receivedCursor wire.UpdateCursor
}

// newPeerState returns the state of a peer before its first update.
func newPeerState(now time.Duration, a Announced) *peerState {
	return &peerState{Announced: a, updatedAt: never, announcedAt: now, reportedOverdueAt: never, failedAt: never}
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, table: replica.New(g.self, minUpdateMaxAge), known: map[string]*peerState{}, removedRevisions: map[string]int64{}, lost: map[string]hubs.Instance{}}
}

// run discovers the peers and exchanges state with them until ctx ends.
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
		interval, before := p.callInterval(), p.g.clock.Now()
		if !sleep(ctx, interval) {
			return
		}
		now := p.g.clock.Now()
		p.g.newConns.tick(now, now-before-interval, p.newConnectionRates())
	}
}

// startNode gets the peer secret and listens for peers. Until it succeeds, this
// instance serves alone with its share in a fleet of unknown size.
func (p *peers) startNode(ctx context.Context) bool {
	var secret []byte
	for secret == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		var err error
		secret, err = p.g.store.PeerSecret(callCtx, []byte(p.g.self.Incarnation))
		cancel()
		if err != nil {
			logline.Error(err, "peer_secret_read_failed")
			secret = nil
			if !sleep(ctx, p.g.jitter(time.Second)) {
				return false
			}
		}
	}
	listener, err := peer.Listen(ctx, p.g.self.Address)
	if err != nil {
		logline.Error(err, "peer_listen_failed")
		return false
	}
	node := peer.NewNode(peer.Options{
		Self: p.g.self, Secret: secret, Idempotent: []wire.Kind{wire.KindExchange, wire.KindConfigPart, wire.KindStreamOrigin},
	})
	node.Handle(wire.KindExchange, p.handleExchange)
	node.Handle(wire.KindOrderLease, p.handleLeaseRequest)
	node.Handle(wire.KindConfigPart, p.g.configs.handlePartRequest)
	node.Handle(wire.KindStreamOrigin, p.g.handleOriginRequest)
	node.Handle(wire.KindSlotLoan, p.g.handleLoanRequest)
	node.HandleStream(wire.KindRelay, p.g.relays.Handle)
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

// discoveryWait is how long an instance is not ready after its start because it knows no peer and
// could not look up whether there are any.
const discoveryWait = time.Second

// isDiscovered reports whether this instance knows the fleet, of which it takes its part, or has
// tried for discoveryWait.
func (p *peers) isDiscovered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	return p.announcementsRead || now > discoveryWait || p.reportingCountLocked(now) > 0
}

// fleetSize returns the number of instances that may be serving, including this one.
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

// callInterval returns the interval between two plans of calls.
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

// propagationTime returns the time within which an update of an instance reaches all
// others: one call interval in a mesh, otherwise the interval of a hub plus that of its
// followers. The caller holds p.mu.
func (p *peers) propagationTime() time.Duration {
	if p.plan.Mesh {
		return p.callIntervalLocked()
	}
	return exchangeInterval + followInterval
}

// updateMaxAge returns the time for which a peer's last update counts as fresh. The
// caller holds p.mu.
func (p *peers) updateMaxAge() time.Duration {
	return max(minUpdateMaxAge, updateMaxAgeFactor*p.propagationTime())
}

// isFresh reports whether a peer's last update still describes its present state. The
// caller holds p.mu.
func (p *peers) isFresh(now time.Duration, s *peerState) bool {
	return now-s.updatedAt <= p.updateMaxAge()
}

// reportingCount returns the number of peers with a fresh update.
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

// mayRelay reports whether an instance may relay connections for this one.
func (p *peers) mayRelay(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[instance]
	return s != nil && p.isRelay(p.g.clock.Now(), s)
}

// isRelay is mayRelay for callers that hold p.mu.
func (p *peers) isRelay(now time.Duration, s *peerState) bool {
	return p.isFresh(now, s) && !s.state.Leaving
}

// relayPeers returns the instances that may relay connections for this one.
func (p *peers) relayPeers() []targetpath.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return nil
	}
	now := p.g.clock.Now()
	var out []targetpath.Peer
	for name, s := range p.known {
		if p.isRelay(now, s) {
			out = append(out, targetpath.Peer{Name: name, Address: s.Address, Domain: s.Domain, Unreached: s.state.BlockedTargets + s.state.UnreachableTargets})
		}
	}
	return out
}

// openStream opens a stream to a peer. There is a node if relayPeers has returned peers.
func (p *peers) openStream(ctx context.Context, address string, kind wire.Kind, request, response any) (*peer.Stream, error) {
	p.mu.Lock()
	node := p.node
	p.mu.Unlock()
	return node.OpenStream(ctx, address, kind, request, response)
}

// hasDirectPaths reports whether a reporting peer needs no relays.
func (p *peers) hasDirectPaths() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	for _, s := range p.known {
		if p.isRelay(now, s) && s.state.BlockedTargets == 0 {
			return true
		}
	}
	return false
}

// reachMore reports whether a reporting peer reaches clearly more targets than this instance,
// which does not reach the given number.
func (p *peers) reachMore(unreached int) bool {
	return unreached >= minPartitionedTargets && slices.ContainsFunc(p.relayPeers(), func(peer targetpath.Peer) bool {
		return peer.Unreached <= unreached/2
	})
}

// minPartitionedTargets is the number of unreachable targets from which an instance suspects that
// it is partitioned.
const minPartitionedTargets = 3

// hubInstance returns this instance's properties for ranking.
func (p *peers) hubInstance() hubs.Instance {
	return hubs.Instance{Name: p.g.self.Instance, Domain: p.g.self.Domain, Capacity: p.g.settings.Capacity}
}

func (s *peerState) hubInstance() hubs.Instance {
	return hubs.Instance{Name: s.Instance, Domain: s.Domain, Capacity: s.Capacity}
}

// rank returns the number of peers with a fresh update that reach the store and rank
// before this instance.
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

// isFirstReporting reports whether this instance ranks before all peers with a fresh update,
// whether or not they reach the store.
func (p *peers) isFirstReporting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, self := p.g.clock.Now(), p.hubInstance()
	for _, s := range p.known {
		if !s.state.Leaving && p.isFresh(now, s) && hubs.Compare(s.hubInstance(), self) < 0 {
			return false
		}
	}
	return true
}

// isFleetReader reports whether this instance reads the store's feeds for the fleet.
func (p *peers) isFleetReader() bool { return !p.g.draining.Load() && p.rank() == 0 }

// isFirstInDomain reports whether this instance ranks first among all announced
// instances of its failure domain, including those that don't report yet.
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

// isDomainReader reports whether this instance is the first of its failure domain to
// read the store's feeds if the fleet's reader doesn't.
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

// leaseHeldByPeer reports whether a peer holds the order lease.
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
