package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/rollout"
	"github.com/mastictray/mastictray/internal/settings"
	"github.com/mastictray/mastictray/internal/wire"
)

// Entry is one entry instance's process.
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
	server   *server
	callers  *callerServer
	admin    *adminServer
	metrics  *entryMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// drain is closed when an operator asks for a graceful shutdown.
	drain     chan struct{}
	drainOnce sync.Once
}

// New builds the process from checked settings. Nothing listens yet.
func New(s *settings.Settings) (*Entry, error) {
	secret, err := s.PeerSecret()
	if err != nil {
		return nil, err
	}
	secure, err := newListenerSecurity(s)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{settings: s, clock: newClock(), ctx: ctx, cancel: cancel, metrics: newEntryMetrics(), drain: make(chan struct{})}
	self := wire.Identity{Instance: s.InstanceID, Incarnation: uuid.Must(uuid.NewV7()).String(), Address: s.PeerListen, Domain: s.Domain}
	e.node = peer.NewNode(peer.Options{Self: self, Secret: secret, TLS: secure.peers})
	e.platform = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConns}}
	e.log = platform.NewHTTPLog(s.LogURL, e.platform)
	e.build(secure)
	return e, nil
}

const platformConns = 8

func (e *Entry) build(secure listenerSecurity) {
	s := e.settings
	var list platform.InstanceLister
	if s.InstancesURL != "" {
		list = platform.NewHTTPInstances(s.InstancesURL, e.platform)
	}
	e.members = newMembers(e.clock, e.node, list, s.Peers)
	e.rates = newRateDriver(e.clock, e.node, e.log, fleet{domains: s.FleetDomains, slotsPerDomain: s.MintSlots})
	e.members.rates = e.rates
	e.config = newConfigDriver(e.ctx, e.clock, e.node, e.log, s.Domain, e.members.addresses)
	e.claims = newClaimDriver(e.ctx, e.clock, e.node, e.log, e.members.addresses)
	e.rollouts = newRolloutDriver(e.clock, rollout.DefaultSettings, e.log, e.node.Self().Incarnation)
	e.rollouts.intent = e.config.intent
	e.rollouts.duty = func() (platform.Offset, bool) { return e.rates.valid(dutyRollout) }
	e.rates.folded = append(e.rates.folded, func(offset platform.Offset, env logrec.Envelope) {
		duty, _ := e.rates.holder.Table().State(dutyRollout)
		e.rollouts.fold(offset, env, duty.Token)
	})
	e.pools = newPools(e.ctx, e.clock, s.Domain)
	e.config.onChange(func(st *config.State) {
		e.rates.setAccounts(st)
		e.pools.configure(st, e.members.count())
	})
	e.members.changed = e.pools.setDraining
	e.poison = newPoisonDriver(e.clock, e.node)
	e.members.poison, e.members.claims, e.members.replaced = e.poison, e.claims, e.Drain
	e.pools.poller.onIncarnation = e.members.observed
	e.server = &server{
		clock: e.clock, config: e.config, rates: e.rates, claims: e.claims, pools: e.pools, poison: e.poison, retryBudget: overload.NewSharedRetryBudget(overload.DefaultRetryRatio, overload.DefaultRetryReserve, overload.DefaultInitialRetries),
		targetClient: newTargetClient(), metrics: e.metrics, maxBody: s.MaxBodyBytes,
	}
	e.callers = newCallerServer(s, e.server, secure.callers)
	e.server.overConnectionLimit = e.callers.overConnectionLimit
	e.admin = newAdminServer(e, secure.admin)
}

// Run serves until ctx ends, then drains. It returns when the last stream is
// out.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	e.node.Serve(listeners.peer)
	e.start(func() { tail(e.ctx, e.log, platform.StreamConfig, e.config) })
	e.start(func() { tail(e.ctx, e.log, platform.StreamControl, e.rates) })
	e.start(func() { tail(e.ctx, e.log, platform.StreamClaims, e.claims) })
	e.start(func() { e.config.askPeers(e.ctx) })
	e.start(func() { e.config.thaw.run(e.ctx) })
	e.start(func() { e.rates.run(e.ctx) })
	e.start(func() { e.rates.runSplit(e.ctx) })
	e.start(func() { e.claims.run(e.ctx) })
	e.start(func() { e.rollouts.run(e.ctx) })
	e.start(func() { e.members.run(e.ctx) })
	e.start(func() { e.poison.run(e.ctx) })
	snapshots := &snapshotter{clock: e.clock, config: e.config, rates: e.rates, log: e.log, self: e.node.Self().Incarnation}
	e.start(func() { snapshots.run(e.ctx) })
	e.start(func() { e.admin.serve(listeners.admin) })
	e.start(func() { _ = e.callers.serve(listeners.caller) })
	logline.Info("entry_started", "instance", e.settings.InstanceID, "incarnation", e.node.Self().Incarnation,
		"domain", e.settings.Domain, "callers", listeners.caller.Addr(), "peers", listeners.peer.Addr(), "admin", listeners.admin.Addr())
	select {
	case <-ctx.Done():
	case <-e.drain:
	}
	e.shutdown()
	return nil
}

// Drain begins a graceful shutdown; Run returns when it is over.
func (e *Entry) Drain() { e.drainOnce.Do(func() { close(e.drain) }) }

func (e *Entry) start(f func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f()
	}()
}

// listeners are the three sockets of the process.
type listeners struct{ caller, peer, admin net.Listener }

func (e *Entry) listen() (listeners, error) {
	var l listeners
	var err error
	for _, x := range []struct {
		name string
		addr string
		into *net.Listener
	}{
		{"peers", e.settings.PeerListen, &l.peer},
		{"admin", e.settings.AdminListen, &l.admin},
		{"callers", e.settings.CallerListen, &l.caller},
	} {
		if *x.into, err = net.Listen("tcp", x.addr); err != nil {
			return l, errors.Wrapf(err, "listen for %s at %s", x.name, x.addr)
		}
	}
	return l, nil
}

// shutdown drains: it stops being ready first and goes on accepting while the
// balancer still sends, then takes no new requests, finishes every stream,
// gives its leases back and ends.
func (e *Entry) shutdown() {
	logline.Info("drain_started", "balancer_lag", e.settings.BalancerLag)
	e.admin.ready.Store(false)
	e.members.leave()
	time.Sleep(e.settings.BalancerLag)
	e.drainCallers()
	leaveCtx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	e.rates.leave(leaveCtx)
	e.cancel()
	e.admin.close()
	e.node.Close()
	e.wg.Wait()
	for _, c := range []*http.Client{e.platform, e.pools.poller.loadClient, e.pools.poller.eventsClient, e.rollouts.http, e.server.targetClient.pooled} {
		c.CloseIdleConnections()
	}
	logline.Info("entry_stopped", "instance", e.settings.InstanceID)
}

func (e *Entry) drainCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout)
	defer cancel()
	e.server.shuttingDown.Store(true)
	if err := e.callers.shutdown(ctx); err != nil {
		logline.Error(err, "drain_incomplete")
	}
}
