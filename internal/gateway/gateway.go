package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/clock"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/orderlease"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/quota"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/weights"
	"github.com/mastictray/mastictray/internal/wire"
)

// Gateway is one instance's process.
type Gateway struct {
	settings Settings
	clock    clock.Clock
	self     wire.Identity
	dialect  Dialect
	store    Store
	control  TargetControl
	targets  *targetconn.Pool
	metrics  *gatewayMetrics

	// table is the configuration in force; nil until one is known.
	table atomic.Pointer[routing.Table]

	mu       sync.Mutex
	contacts *keys.ContactTracker
	// operatorsNext is where to read on in what operators write; unread before that was
	// read.
	operatorsNext int64
	// versions are the newest weights named, and when this instance learnt
	// of each.
	versions map[string]*namedVersions
	// oldest is the oldest version that may serve, by service and model.
	oldest        map[string]int64
	quota         *quota.Limiter
	directory     *directory.Directory
	registrations registrationFeed
	engines       map[string]*enginePool
	services      map[string]*servicePool
	budgets       map[string]*overload.SharedRetryBudget
	crashes       crashCounts

	feeds feedStates
	peers *peers
	// configs brings configurations here from peers, and from here to them.
	configs *configTransfer
	cache   *cacheStores
	// limits are the rates that targets state.
	limits *targetLimits
	lease  *sharedLease
	// leaseLog is where the lease is kept.
	leaseLog *leaseLog
	planner  *weights.Planner
	// ordered are the targets that load by this instance's orders.
	ordered       []string
	versionRecord versionRecord
	suspension    suspensionDetector
	// wall is the time of day.
	wall func() time.Time
	// ordersHeldAt is when a peer last reported that it holds the lease for orders.
	// Only the loop of rollouts uses it.
	ordersHeldAt time.Duration
	// quietSince is since when no rollout is to be done; never while there is.
	// Only the loop of rollouts uses it.
	quietSince time.Duration
	// loadingNow are those of all instances.
	loadingNow map[string]bool

	closing atomic.Bool
	callers *callerServer
}

// unknownFleet is the size that the fleet is taken to have until its instances
// were read once. A process that starts while the store fails would otherwise
// spend the whole rate of each account, beside all others.
const unknownFleet = 16

// New builds the process. Nothing listens yet.
func New(s Settings, d Dialect, store Store, control TargetControl) *Gateway {
	c := clock.New()
	g := &Gateway{
		settings: s, clock: c, wall: time.Now, dialect: d, store: store, control: control,
		self: wire.Identity{
			Instance: s.Instance, Incarnation: uuid.Must(uuid.NewV7()).String(), Address: s.PeerListen, Domain: s.Domain,
		},
		targets:       targetconn.NewPool(targetconn.DefaultOptions(), c.Now),
		metrics:       newGatewayMetrics(),
		contacts:      keys.NewContactTracker(s.Domain),
		versions:      map[string]*namedVersions{},
		oldest:        map[string]int64{},
		quota:         quota.New(),
		directory:     directory.New(),
		operatorsNext: unread,
		registrations: registrationFeed{next: unread, upTo: never},
		engines:       map[string]*enginePool{},
		services:      map[string]*servicePool{},
		budgets:       map[string]*overload.SharedRetryBudget{},
		crashes:       newCrashCounts(),
		planner:       weights.New(weights.DefaultSettings()),
		quietSince:    never,
	}
	g.quota.SetFleetSize(0, unknownFleet, quota.PeerTimeout)
	lease := orderlease.DefaultSettings()
	lease.HandoverGap = s.LeaseGap
	g.lease = &sharedLease{l: orderlease.New(g.self.Incarnation, lease).WithInstance(g.self.Instance)}
	g.configs = newConfigTransfer(g)
	g.peers = newPeers(g)
	g.leaseLog = &leaseLog{direct: store, cut: g.feeds.cut, relay: g.peers.relayLease}
	g.cache = newCacheStores(g)
	g.limits = newTargetLimits(c.Now, s.Instance)
	g.callers = newCallerServer(g)
	return g
}

// Run serves until ctx ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	logline.Info("started", "instance", g.self.Instance, "incarnation", g.self.Incarnation, "domain", g.self.Domain,
		"callers", g.settings.CallerListen, "peers", g.settings.PeerListen)
	if err := g.callers.listen(); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		g.followOperators, g.followRegistrations, g.peers.run, g.cache.run, g.runRollouts, g.keepVersionRecord, g.sweep,
	} {
		loops.Add(1)
		go func() {
			defer loops.Done()
			loop(work)
		}()
	}
	<-ctx.Done()
	g.drain()
	stop()
	g.peers.close()
	loops.Wait()
	logline.Info("stopped", "instance", g.self.Instance)
	return nil
}

// drain stops being ready first and goes on serving while the balancer still
// sends, then finishes what runs.
func (g *Gateway) drain() {
	logline.Info("draining", "balancer_lag", g.settings.BalancerLag, "running_for", g.settings.DrainTimeout)
	g.closing.Store(true)
	time.Sleep(g.settings.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.DrainTimeout)
	defer cancel()
	g.callers.shutdown(ctx)
	leave, cancelLeave := context.WithTimeout(context.Background(), storeTimeout)
	defer cancelLeave()
	g.releaseLease(leave)
	if err := g.store.Withdraw(leave, g.self.Instance); err != nil {
		logline.Error(err, "withdraw_failed")
	}
}

// ready says whether the balancer should send callers here: only while their
// keys can be checked and targets are known.
func (g *Gateway) ready() bool {
	if g.closing.Load() || g.table.Load() == nil || g.configOverdue() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registrations.next != unread && g.contactAge() <= g.settings.KeyReadyAge
}

// contactAge is how long ago this instance surely knew all that operators had
// written. The caller holds g.mu.
func (g *Gateway) contactAge() time.Duration {
	now := g.clock.Now()
	age := g.contacts.LogAge(now)
	if age == keys.UnknownLogAge {
		return 1 << 62
	}
	return age
}

// sinceContact is contactAge for callers that do not hold g.mu.
func (g *Gateway) sinceContact() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contactAge()
}

// sweep closes idle connections and looks for silent targets.
func (g *Gateway) sweep(ctx context.Context) {
	for sleep(ctx, sweepEvery) {
		g.suspension.tick(g.clock.Now())
		g.mu.Lock()
		g.updateVersionBounds() // bounds are reached also while no peer reports
		g.mu.Unlock()
		g.targets.Sweep()
		g.callers.closeIdle()
		g.checkSilence()
	}
}

// checkSilence looks for targets that stopped answering. Their kept
// connections are dropped: a probe has to make a new one.
func (g *Gateway) checkSilence() {
	for _, pool := range g.enginePools() {
		for _, address := range pool.checkStalled() {
			g.targets.Forget(address)
		}
	}
}

const (
	sweepEvery = 250 * time.Millisecond
	// storeTimeout bounds a call to the store: ten times a slow answer's
	// usual time, so that a slow store still answers.
	storeTimeout = 1500 * time.Millisecond
)

// source gives a random source for one decision.
func (g *Gateway) source() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// sleep waits, and is false when ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// engine finds or makes the pool of a service of model servers.
func (g *Gateway) engine(name string) *enginePool {
	p := g.engines[name]
	if p == nil {
		p = newEnginePool(g.clock.Now, g.settings.Domain, g.settings.PrefillTokensPerSecond, g.limits)
		g.engines[name] = p
	}
	return p
}

// enginePools lists the pools of all services of model servers, for calls that
// are made without g.mu.
func (g *Gateway) enginePools() []*enginePool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.engines))
}

// service finds or makes the pool of a plain service.
func (g *Gateway) service(name string) *servicePool {
	p := g.services[name]
	if p == nil {
		p = newServicePool(g.clock.Now, g.settings.Domain, g.limits)
		g.services[name] = p
	}
	return p
}

var _ http.Handler = (*Gateway)(nil)
