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

	"github.com/mastictray/mastictray/internal/callerconn"
	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/clock"
	"github.com/mastictray/mastictray/internal/configvalidity"
	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/membudget"
	"github.com/mastictray/mastictray/internal/orderlease"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/pieceguard"
	"github.com/mastictray/mastictray/internal/ratecount"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/weights"
	"github.com/mastictray/mastictray/internal/wire"
)

// Gateway is the process of one instance.
type Gateway struct {
	settings Settings
	clock    clock.Clock
	self     wire.Identity
	dialect  Dialect
	store    Store
	control  TargetControl
	// dialer connects to targets, also through peers; dialDirect does so only directly.
	dialer     *connrelay.Dialer
	dialDirect targetconn.DialFunc
	targets    *targetconn.Pool
	loans      slotLoans
	// relays relays connections of peers to targets.
	relays *connrelay.Server
	// checkAllPaths is set when the paths to all targets in use have to be checked.
	checkAllPaths atomic.Bool
	metrics       *gatewayMetrics

	// table is the active configuration, or nil before the first one.
	table atomic.Pointer[routing.Table]

	mu       sync.Mutex
	contacts *keys.ContactTracker
	// operatorsOffset is the offset at which to continue reading the operator feed, or
	// unreadOffset before the first read.
	operatorsOffset int64
	// versions holds the newest named weights versions by model, with the time at which
	// each was named.
	versions map[string]*namedVersions
	// oldestServing is the oldest weights version that may serve, by service and model.
	oldestServing  map[string]int64
	accountLimiter *ratecount.Limiter
	directory      *directory.Directory
	registrations  registrationState
	engineServices map[string]*engineService
	plainServices  map[string]*plainService
	retryBudgets   map[string]*overload.SharedRetryBudget
	crashes        crashCounts
	// pieces finds the pieces of prompts that crash targets. It has a lock of its own.
	pieces crashingPieces

	newConns newConnections

	feeds feedReachability
	peers *peers
	// configs transfers configurations to and from peers.
	configs *configTransfer
	cache   *cacheStores
	// limits holds the request rate limits that targets state.
	limits *targetLimits
	// plainLoads holds what peers have in flight at plain services.
	plainLoads *plainLoads
	lease      *sharedLease
	// contention is nil unless the deployment calls for it.
	contention *contention
	// reach tells which failure domains can be reached.
	reach *domainReach
	// canaries are the rollouts of new software versions that operators order.
	canaries *canaries
	// origins holds where streams began.
	origins *streamOrigins
	// leaseStore reads and writes the order lease in the store.
	leaseStore *leaseStore
	planner    *weights.Planner
	// orderedTargets are the targets that are loading weights on this instance's
	// orders.
	orderedTargets []string
	versionRecord  versionRecord
	softwareRecord softwareRecord
	suspension     suspensionDetector
	// wallClock returns the time of day.
	wallClock func() time.Time
	// leaseHeldByPeerAt is the time at which a peer last reported that it holds the
	// order lease. Only the rollout loop uses it.
	leaseHeldByPeerAt time.Duration
	// rolloutIdleSince is the time since which there is no rollout to do, or never
	// while there is one. Only the rollout loop uses it.
	rolloutIdleSince time.Duration
	// loadingTargets are the targets that are loading weights on any instance's orders.
	loadingTargets map[string]bool

	fleetView fleetView
	// configAgeLogged is set while the last contact with the store was logged as stale. Only
	// sweep uses it.
	configAgeLogged bool

	draining atomic.Bool
	// responsesDueBy is the time, in nanoseconds of clock, by which all responses must end
	// because the process does; 0 until the balancer lag has passed.
	responsesDueBy atomic.Int64
	// answering ends shortly before the process does: requests without a response by then are
	// refused or fail at once, while their callers can still be told.
	answering     context.Context
	stopAnswering context.CancelFunc
	callers       *callerServer
	// memory bounds the memory of this instance's work; nil if it isn't bounded.
	memory *callerlimit.Memory
	// slowCallers counts the callers that read slowly, if memory is bounded.
	slowCallers callerconn.Stats
}

// unknownFleetSize is the assumed size of the fleet until the announcements have been
// read once. A process that starts while the store fails would otherwise spend the
// whole rate of each account in addition to all other instances.
const unknownFleetSize = 16

// New creates a gateway. It doesn't listen until Run is called.
func New(s Settings, d Dialect, store Store, control TargetControl) *Gateway {
	c := clock.New()
	g := &Gateway{
		settings: s, clock: c, wallClock: time.Now, dialect: d, store: store, control: control,
		self: wire.Identity{
			Instance: s.Instance, Incarnation: uuid.Must(uuid.NewV7()).String(), Address: s.PeerListen, Domain: s.Domain,
		},
		metrics:          newGatewayMetrics(),
		contacts:         keys.NewContactTracker(s.Domain),
		versions:         map[string]*namedVersions{},
		oldestServing:    map[string]int64{},
		accountLimiter:   ratecount.New(),
		directory:        directory.New(),
		operatorsOffset:  unreadOffset,
		feeds:            feedReachability{refusedAt: never},
		registrations:    registrationState{nextOffset: unreadOffset, knownUpTo: never},
		engineServices:   map[string]*engineService{},
		plainServices:    map[string]*plainService{},
		retryBudgets:     map[string]*overload.SharedRetryBudget{},
		crashes:          newCrashCounts(),
		pieces:           crashingPieces{pieceguard.New()},
		planner:          weights.New(weights.DefaultSettings()),
		rolloutIdleSince: never,
		dialDirect:       s.DialTarget,
	}
	if g.dialDirect == nil {
		g.dialDirect = targetconn.NewDialer(targetconn.DefaultOptions()).DialContext
	}
	g.dialer, g.targets = g.newTargetPool()
	g.memory = newMemory(&g.settings)
	g.relays = connrelay.NewServer(g.dialDirect, g.isTargetAddress)
	if g.memory != nil {
		g.relays.TakeMemory = func() bool { return g.memory.Take(membudget.Relays, relayedConnBytes) }
		g.relays.ReturnMemory = func() { g.memory.Return(membudget.Relays, relayedConnBytes) }
	}
	g.answering, g.stopAnswering = context.WithCancel(context.Background())
	g.accountLimiter.SetFleetSize(0, unknownFleetSize, ratecount.PeerTimeout)
	leaseSettings := orderlease.DefaultSettings()
	leaseSettings.HandoverGap = s.LeaseGap
	g.lease = &sharedLease{lease: orderlease.New(g.self.Incarnation, leaseSettings).WithInstance(g.self.Instance)}
	g.configs = newConfigTransfer(g)
	g.peers = newPeers(g)
	g.leaseStore = &leaseStore{direct: store, storeUnreachable: g.feeds.anyUnreachable, relay: g.peers.relayLease}
	g.cache = newCacheStores(g)
	g.reach = newDomainReach(c.Now)
	g.canaries = newCanaries(s, c.Now)
	g.origins = newStreamOrigins()
	g.limits = newTargetLimits(c.Now, s.Instance)
	g.contention = newContention(g)
	g.plainLoads = &plainLoads{now: c.Now, limits: g.limits}
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
		g.followOperators, g.followRegistrations, g.peers.run, g.cache.run, g.runRollouts, g.maintainVersionRecord, g.maintainSoftwareRecord, g.sweep,
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

// drain first reports the instance as not ready and keeps serving while the balancer
// still sends requests, then waits for the running requests.
func (g *Gateway) drain() {
	logline.Info("draining", "balancer_lag", g.settings.BalancerLag, "drain_timeout", g.settings.DrainTimeout)
	g.draining.Store(true)
	var relays sync.WaitGroup
	relays.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.settings.BalancerLag+g.settings.DrainTimeout)
		defer cancel()
		g.relays.Drain(ctx)
	})
	defer relays.Wait()
	time.Sleep(g.settings.BalancerLag)
	g.responsesDueBy.Store(int64(g.clock.Now() + g.settings.DrainTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.DrainTimeout)
	defer cancel()
	finalAnswers := time.AfterFunc(g.settings.DrainTimeout-finalAnswerTime, g.stopAnswering)
	defer finalAnswers.Stop()
	g.callers.shutdown(ctx)
	leave, cancelLeave := context.WithTimeout(context.Background(), storeTimeout)
	defer cancelLeave()
	g.releaseLease(leave)
	if err := g.store.Withdraw(leave, g.self.Instance); err != nil {
		logline.Error(err, "withdraw_failed")
	}
}

// finalAnswerTime is the end of the drain that is left for the final responses to requests that
// still wait. A process that gets little processor time may need most of it.
const finalAnswerTime = 400 * time.Millisecond

// isReady reports whether the balancer should send callers to this instance: only while
// it can check their keys, knows the targets, and can take all new connections.
func (g *Gateway) isReady() bool {
	if g.draining.Load() || g.newConns.isLimited() || g.table.Load() == nil || g.configVerdict() != configvalidity.Valid || !g.peers.isDiscovered() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registrations.nextOffset != unreadOffset && g.contactAgeLocked() <= g.settings.KeyReadyAge
}

// contactAgeLocked returns the time since this instance last certainly knew everything
// that operators had written. The caller holds g.mu.
func (g *Gateway) contactAgeLocked() time.Duration {
	now := g.clock.Now()
	age := g.contacts.LogAge(now)
	if age == keys.UnknownLogAge {
		return 1 << 62
	}
	return age
}

// contactAge is contactAgeLocked for callers that don't hold g.mu.
func (g *Gateway) contactAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contactAgeLocked()
}

// sweep periodically closes idle connections and checks for silent targets.
func (g *Gateway) sweep(ctx context.Context) {
	for sleep(ctx, sweepInterval) {
		g.suspension.tick(g.clock.Now())
		g.mu.Lock()
		if g.canaries.takeChanged() {
			g.updateServiceTargets()
		}
		g.updateVersionBounds() // bounds also pass while no peer reports
		g.mu.Unlock()
		g.logConfigAge()
		g.targets.CloseExpired()
		g.callers.closeIdle()
		g.sweepPaths(ctx)
		g.probeUnreachable(ctx)
		g.checkSilentTargets(ctx)
		g.probeDomains(ctx)
	}
}

// checkSilentTargets probes the targets that have stopped responding.
func (g *Gateway) checkSilentTargets(ctx context.Context) {
	for _, service := range g.listEngineServices() {
		for _, target := range service.stalledTargets() {
			g.targets.CloseIdle(target.address) // they may be dead
			go func() { service.recordProbe(target, g.dialer.Check(ctx, target.address), g.peers.mayRelay) }()
		}
	}
}

const (
	sweepInterval = 250 * time.Millisecond
	// storeTimeout bounds a call to the store. It is ten times the usual time of a slow
	// response, so that calls to a slow store still succeed.
	storeTimeout = 1500 * time.Millisecond
)

// newRand returns a random source for a single decision.
func (g *Gateway) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// sleep waits for d. It returns false if ctx ends first.
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

// engineServiceFor returns the state of a service of model servers and creates it if
// needed. The caller holds g.mu.
func (g *Gateway) engineServiceFor(name string) *engineService {
	s := g.engineServices[name]
	if s == nil {
		s = newEngineService(g.clock.Now, name, g.settings.Domain, g.settings.PrefillTokensPerSecond, g.limits, g.reach, g.settings.Features)
		if g.settings.Features.BoundedMemory {
			s.sharesMemoryAs = g.settings.Instance
		}
		s.leaveMoveDelay = time.Duration(leaveMoveShare * float64(g.settings.DrainBound))
		g.engineServices[name] = s
	}
	return s
}

// listEngineServices returns all services of model servers, for calls that are made without
// g.mu.
func (g *Gateway) listEngineServices() []*engineService {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.engineServices))
}

// plainServiceFor returns the state of a plain service and creates it if needed. The caller
// holds g.mu.
func (g *Gateway) plainServiceFor(name string) *plainService {
	s := g.plainServices[name]
	if s == nil {
		s = newPlainService(g.clock.Now, name, g.settings.Domain, g.limits, g.reach, g.plainLoads)
		g.plainServices[name] = s
	}
	return s
}

var _ http.Handler = (*Gateway)(nil)
