package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/membudget"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/readretry"
	"github.com/mastictray/mastictray/internal/responsecheck"
	"github.com/mastictray/mastictray/internal/rollout"
	"github.com/mastictray/mastictray/internal/settings"
	"github.com/mastictray/mastictray/internal/socketbuffer"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/wire"
)

// Entry is the process of one entry instance.
type Entry struct {
	settings *settings.Settings
	clock    clock
	node     *peer.Node
	platform *http.Client
	log      platform.Log
	config   *configDriver
	rates    *rateDriver
	claims   *claimDriver
	rollouts *rolloutDriver
	members  *members
	pools    *pools
	poison   *poisonDriver
	pieces   *crashingPieces
	server   *server
	// dialer connects to targets, also through peers; dialDirect does so only directly.
	dialer     *connrelay.Dialer
	dialDirect targetconn.DialFunc
	// polls holds the relayed connections of polls. pathOpenedAt is when a blocked path last
	// opened, in nanoseconds of clock; 0 if none has.
	polls        relayedPolls
	pathOpenedAt atomic.Int64
	// relays relays connections of peers to targets.
	relays  *connrelay.Server
	callers *callerServer
	admin   *adminServer
	metrics *entryMetrics
	// memory bounds the memory of callers' connections and requests; nil if it isn't bounded.
	memory *callerlimit.Memory

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// drainRequested is closed to start a graceful shutdown.
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New creates the process from validated settings. It opens no listener.
func New(s *settings.Settings) (*Entry, error) {
	secret, err := s.PeerSecret()
	if err != nil {
		return nil, err
	}
	sec, err := newListenerSecurity(s)
	if err != nil {
		return nil, err
	}
	// Responses have no share of their own: those without room are relayed as they arrive.
	memory := callerlimit.NewMemory(int64(s.MemoryMB)<<20, membudget.Responses, membudget.Relays)
	if !memory.HoldsBody(s.MaxBodyBytes, engineBodyCopies) {
		return nil, errors.Newf("memory-mb=%d has no room for one request of max-body-bytes=%d", s.MemoryMB, s.MaxBodyBytes)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{settings: s, memory: memory, clock: newClock(), ctx: ctx, cancel: cancel, metrics: newEntryMetrics(), drainRequested: make(chan struct{})}
	e.dialDirect = (&net.Dialer{Timeout: targetDialTimeout, Control: socketbuffer.Targets.Control}).DialContext
	e.polls.conns = map[string][]net.Conn{}
	self := wire.Identity{Instance: s.InstanceID, Incarnation: uuid.Must(uuid.NewV7()).String(), Address: s.PeerListen, Domain: s.Domain}
	e.node = peer.NewNode(peer.Options{
		Self: self, Secret: secret, TLS: sec.peers, Idempotent: []wire.Kind{wire.KindHeartbeat, wire.KindConfigRequest, wire.KindClaimSnapshot},
	})
	e.platform = &http.Client{Transport: &readretry.Transport{
		Base: responsecheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdlePlatformConns}), WaitParam: platform.WaitParam,
	}}
	e.log = platform.NewHTTPLog(s.LogURL, e.platform)
	e.buildComponents(sec)
	return e, nil
}

const maxIdlePlatformConns = 8

// buildComponents creates the drivers and servers and connects them.
func (e *Entry) buildComponents(sec listenerSecurity) {
	s := e.settings
	var lister platform.InstanceLister
	if s.InstancesURL != "" {
		lister = platform.NewHTTPInstances(s.InstancesURL, e.platform)
	}
	e.members = newMembers(e.clock, e.node, lister, s.Peers)
	e.buildTargetPaths()
	e.rates = newRateDriver(e.clock, e.node, e.log, fleetLayout{domains: s.FleetDomains, slotsPerDomain: s.MintSlots})
	e.members.rates = e.rates
	e.config = newConfigDriver(e.ctx, e.clock, e.node, e.log, s.Domain, e.members.peerAddresses)
	e.claims = newClaimDriver(e.ctx, e.clock, e.node, e.log, e.members.peerAddresses)
	e.rollouts = newRolloutDriver(e.clock, rollout.DefaultSettings, e.log, e.node.Self().Incarnation)
	e.rollouts.intent = e.config.intent
	e.rollouts.fencingToken = func() (platform.Offset, bool) { return e.rates.dutyToken(dutyRollout) }
	e.rates.recordHandlers = append(e.rates.recordHandlers, func(offset platform.Offset, env logrec.Envelope) {
		duty, _ := e.rates.holder.Table().State(dutyRollout)
		e.rollouts.applyRecord(offset, env, duty.Token)
	})
	e.pools = newPools(e.ctx, e.clock, s.Domain, e.dialPoll)
	e.config.onChange(func(state *config.State) {
		e.rates.setAccounts(state)
		e.pools.configure(state, e.members.liveInstanceCount())
	})
	e.members.updateListed = e.pools.announcements.applyListed
	e.members.updateDraining = e.pools.setDraining
	e.poison = newPoisonDriver(e.clock, e.node)
	e.pieces = newCrashingPieces(e.clock, e.node, e.members.livePeers)
	e.members.poison, e.members.claims, e.members.onReplaced = e.poison, e.claims, e.Drain
	e.pools.poller.onIncarnation = e.members.observeIncarnation
	e.server = &server{
		clock: e.clock, config: e.config, rates: e.rates, claims: e.claims, pools: e.pools, poison: e.poison, pieces: e.pieces, retryBudget: overload.NewSharedRetryBudget(overload.DefaultRetryRatio, overload.DefaultRetryReserve, overload.DefaultInitialRetries),
		targetClient: newTargetClient(e.dialTarget), dialer: e.dialer, metrics: e.metrics, memory: e.memory, maxBody: s.MaxBodyBytes,
	}
	e.pools.announcements.follow(e.server.targetClient.pooled, e.server.targetClient.unpooled, e.pools.poller.loadClient, e.pools.poller.eventsClient, e.rollouts.httpClient)
	e.callers = newCallerServer(s, e.clock, e.memory, e.server, sec.callers)
	e.server.overConnectionLimit = e.callers.overConnectionLimit
	e.admin = newAdminServer(e, sec.admin)
}

// Run serves until ctx ends or Drain is called, then shuts down gracefully. It
// returns when all responses have been sent or the drain timeout has passed.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	e.node.Serve(listeners.peer)
	e.startBackground(func() { tail(e.ctx, e.log, platform.StreamConfig, e.config) })
	e.startBackground(func() { tail(e.ctx, e.log, platform.StreamControl, e.rates) })
	e.startBackground(func() { tail(e.ctx, e.log, platform.StreamClaims, e.claims) })
	e.startBackground(func() { e.config.pollPeers(e.ctx) })
	e.startBackground(func() { e.config.guard.run(e.ctx) })
	e.startBackground(func() { e.rates.run(e.ctx) })
	e.startBackground(func() { e.rates.runSplit(e.ctx) })
	e.startBackground(func() { e.claims.run(e.ctx) })
	e.startBackground(func() { e.rollouts.run(e.ctx) })
	e.startBackground(func() { e.members.run(e.ctx) })
	e.startBackground(func() { e.poison.run(e.ctx) })
	e.startBackground(func() { e.pieces.run(e.ctx) })
	e.startBackground(func() { e.probePaths(e.ctx) })
	snapshots := &snapshotter{clock: e.clock, config: e.config, rates: e.rates, log: e.log, incarnation: e.node.Self().Incarnation}
	e.startBackground(func() { snapshots.run(e.ctx) })
	e.startBackground(func() { e.admin.serve(listeners.admin) })
	e.startBackground(func() { _ = e.callers.serve(listeners.caller) })
	logline.Info("entry_started", "instance", e.settings.InstanceID, "incarnation", e.node.Self().Incarnation,
		"domain", e.settings.Domain, "callers", listeners.caller.Addr(), "peers", listeners.peer.Addr(), "admin", listeners.admin.Addr())
	select {
	case <-ctx.Done():
	case <-e.drainRequested:
	}
	e.shutdown()
	return nil
}

// Drain starts a graceful shutdown, after which Run returns.
func (e *Entry) Drain() { e.drainOnce.Do(func() { close(e.drainRequested) }) }

// startBackground runs f in a goroutine that shutdown waits for.
func (e *Entry) startBackground(f func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f()
	}()
}

// listeners holds the three listening sockets of the process.
type listeners struct{ caller, peer, admin net.Listener }

func (e *Entry) listen() (listeners, error) {
	var l listeners
	var err error
	if l.peer, err = peer.Listen(e.ctx, e.settings.PeerListen); err != nil {
		return l, err
	}
	for _, spec := range []struct {
		name string
		addr string
		dst  *net.Listener
	}{
		{"admin", e.settings.AdminListen, &l.admin},
		{"callers", e.settings.CallerListen, &l.caller},
	} {
		config := net.ListenConfig{Control: socketbuffer.Callers.Control}
		if *spec.dst, err = config.Listen(e.ctx, "tcp", spec.addr); err != nil {
			return l, errors.Wrapf(err, "listen for %s at %s", spec.name, spec.addr)
		}
	}
	return l, nil
}

// shutdown stops the process gracefully. It first reports not ready and goes on
// serving for BalancerLag, since the load balancer still sends requests. Then it
// refuses new requests, waits for the responses in progress up to DrainTimeout,
// releases the leases and stops all goroutines.
func (e *Entry) shutdown() {
	logline.Info("drain_started", "balancer_lag", e.settings.BalancerLag)
	e.admin.ready.Store(false)
	e.server.draining.Store(true)
	e.members.announceLeave()
	relaysDrained := make(chan struct{})
	go func() {
		defer close(relaysDrained)
		ctx, cancel := context.WithTimeout(context.Background(), e.settings.BalancerLag+e.settings.DrainTimeout)
		defer cancel()
		e.relays.Drain(ctx)
	}()
	time.Sleep(e.settings.BalancerLag)
	e.drainCallers()
	<-relaysDrained
	leaveCtx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	e.rates.releaseLeases(leaveCtx)
	e.cancel()
	e.admin.close()
	e.node.Close()
	e.wg.Wait()
	for _, c := range []*http.Client{e.platform, e.pools.poller.loadClient, e.pools.poller.eventsClient, e.rollouts.httpClient, e.server.targetClient.pooled} {
		c.CloseIdleConnections()
	}
	logline.Info("entry_stopped", "instance", e.settings.InstanceID)
}

// drainCallers refuses new requests and waits for those in progress.
func (e *Entry) drainCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout)
	defer cancel()
	e.server.shuttingDown.Store(true)
	if err := e.callers.shutdown(ctx); err != nil {
		logline.Error(err, "drain_incomplete")
	}
}
