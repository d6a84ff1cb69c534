package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/configsync"
	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
)

// operatorWaitFraction is the time that a read by the fleet's reader waits for new
// records (long polling), as a fraction of the configuration bound. A wait that ends
// without records shows that nothing was written until then. The wait thus bounds the
// age of the fleet's copies, and must be shorter than the age at which the other
// instances read for themselves.
const operatorWaitFraction = 0.25

// followOperators keeps the configuration and the named versions up to date. The
// fleet's reader polls the store; the other instances get updates from peers and read
// the store only if these fail to arrive.
func (g *Gateway) followOperators(ctx context.Context) {
	scheduler := feedturn.New(feedturn.Settings{StalenessBound: g.settings.ConfigBound})
	gotRecords, readLimit, notBefore := false, g.initialReadLimit(), time.Duration(0)
	view := func() feedturn.View {
		v := g.operatorView()
		v.NotBefore = notBefore
		return v
	}
	for g.awaitRead(ctx, scheduler, view) {
		offset := g.currentOperatorsOffset()
		wait := time.Duration(0)
		// Records may arrive at the start of a wait, in which case the local copy is
		// only known to be current up to that start. The next read therefore doesn't
		// wait.
		if offset != unreadOffset && !gotRecords && g.operatorView().Reader && !scheduler.LastReadFailed() {
			wait = time.Duration(operatorWaitFraction * float64(g.settings.ConfigBound))
		}
		sent := g.clock.Now()
		update, err := g.readOperators(ctx, offset, wait, readLimit)
		switch {
		case errors.Is(err, ErrTrimmed):
			g.resetOperatorsOffset(offset)
			continue
		case errors.Is(err, ErrTooLarge) && readLimit > 0:
			readLimit = 0
			if !g.peers.isFirstInDomain() {
				notBefore = g.clock.Now() + peerConfigDelay
			}
			logline.Info("config_left_to_peers", "for", max(0, notBefore-g.clock.Now()))
			continue
		}
		g.recordRead(ctx, scheduler, &g.feeds.operatorsUnreachable, "operators", err)
		if err != nil {
			continue
		}
		gotRecords = update.Config != nil || len(update.Versions)+len(update.Rollouts) > 0
		g.applyOperatorUpdate(feedturn.KnownUpTo(sent, g.clock.Now(), wait, gotRecords), update)
	}
}

// currentOperatorsOffset returns the offset at which to continue reading the operator
// feed, or unreadOffset before the first read.
func (g *Gateway) currentOperatorsOffset() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.operatorsOffset
}

// resetOperatorsOffset makes the next read start from the beginning, after the store
// has dropped records after the offset. It has no effect if a peer has reported a later
// offset meanwhile.
func (g *Gateway) resetOperatorsOffset(offset int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.operatorsOffset == offset {
		g.operatorsOffset = unreadOffset
	}
}

// operatorView returns the state on which the next read of the operator feed depends.
func (g *Gateway) operatorView() feedturn.View {
	age := g.contactAge()
	v := feedturn.View{Known: age < noContactAge, Reader: g.peers.isFleetReader(), Standby: g.peers.isDomainReader(), FleetSize: g.peers.fleetSize()}
	now := g.clock.Now()
	if v.Known {
		v.KnownUpTo = now - age
	}
	// While a newer configuration arrives from a peer, a read would compete with it for
	// the link.
	if contact, ok := g.configs.arrivingContact(now); ok {
		v.KnownUpTo = max(v.KnownUpTo, contact)
	}
	return v
}

// initialReadLimit returns the maximum size in bytes of the first read of a process.
// When all instances start together, each would otherwise fill its link with a large
// configuration from the store, and none would get it from the peer that has it first.
func (g *Gateway) initialReadLimit() int64 {
	return int64(initialReadTime.Seconds() * g.configs.linkBytesPerSecond)
}

const (
	// initialReadTime is the time that the first read may take on an otherwise idle
	// link.
	initialReadTime = 100 * time.Millisecond
	// peerConfigDelay is the time for which a starting instance waits for its peers to
	// send a large configuration before it reads the store.
	peerConfigDelay = time.Second
)

func (g *Gateway) readOperators(ctx context.Context, offset int64, wait time.Duration, limit int64) (OperatorUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	if offset == unreadOffset {
		return g.store.Newest(ctx, limit)
	}
	return g.store.Since(ctx, offset, wait)
}

// applyOperatorUpdate applies the result of a read, which includes everything written
// until knownUpTo.
func (g *Gateway) applyOperatorUpdate(knownUpTo time.Duration, update OperatorUpdate) {
	config := g.prepareConfig(update.Config)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	namedAt, age := now, g.contactAgeLocked()
	unobservedAfter := time.Duration(unobservedAfterFraction * float64(g.settings.ConfigBound))
	atStart := age > noContactAge
	if atStart {
		namedAt -= startupVersionAge
	} else {
		// A read that doesn't directly follow the previous one, as after the loss of
		// the fleet's reader, returns versions that were named in between.
		unreadPeriod := max(0, age-(now-knownUpTo))
		namedAt -= max(min(age, g.suspension.recent(now)), min(unreadPeriod, unobservedAfter))
	}
	estimated := age > unobservedAfter
	g.contacts.LogRead(knownUpTo)
	g.operatorsOffset = max(g.operatorsOffset, update.NextOffset)
	if config != nil {
		g.activateConfig(config, "store")
	}
	for _, v := range update.Versions {
		// A version that peers have reported before doesn't count as observed.
		g.recordNamedVersion(v, namedAt, "store", estimated || g.versionsOf(v.Model).contains(v.Version))
	}
	for _, o := range update.Rollouts {
		g.canaries.addOrder(o, now, "store")
	}
	if atStart {
		g.updateVersionBounds()
	}
	if len(update.Rollouts) > 0 {
		g.updateServiceTargets()
	}
}

const (
	// startupVersionAge is the assumed age of a version that a process finds when it
	// starts, until its peers or the stored record give a better estimate.
	startupVersionAge = 3 * time.Second
	// unobservedAfterFraction is the time without contact with the store, as a fraction
	// of the configuration bound, after which a version no longer counts as observed.
	// By then all instances read the store themselves. Only a suspension of the process
	// makes a version older by the whole time: during an outage of the store no version
	// can be named, and if its age included the outage, all instances would exclude
	// all targets when the store returns.
	unobservedAfterFraction = 0.5
)

// preparedConfig is a configuration with its derived structures, which take long to
// build. They are built in advance so that activating the configuration delays requests
// only briefly.
type preparedConfig struct {
	snapshot *configsync.Snapshot
	table    *routing.Table
}

func newPreparedConfig(s *configsync.Snapshot) *preparedConfig {
	return &preparedConfig{snapshot: s, table: routing.NewTable(s.Config)}
}

// prepareConfig prepares a configuration read from the store. It returns nil if there
// is none, or none that is newer and usable.
func (g *Gateway) prepareConfig(c *routing.Config) *preparedConfig {
	if c == nil || c.Version <= g.configVersion() {
		return nil
	}
	s, err := configsync.NewSnapshot(c)
	if err != nil {
		logline.Error(err, "config_unusable", "version", c.Version)
		return nil
	}
	return newPreparedConfig(s)
}

// activateConfig makes a configuration the active one if it is newer. Versions never go
// back: a record read late, or a configuration from a peer that lags behind, has no
// effect. The caller holds g.mu.
func (g *Gateway) activateConfig(prepared *preparedConfig, from string) {
	now, c := g.clock.Now(), prepared.table.Config()
	if g.configVersion() >= c.Version {
		return
	}
	g.table.Store(prepared.table)
	for _, contact := range g.configs.setCurrent(prepared.snapshot) {
		g.recordStoreContact(contact)
	}
	g.accountLimiter.SetLimits(now, accountLimits(c))
	g.updateServiceTargets()
	logline.Info("config_in_force", "version", c.Version, "from", from, "routes", len(c.Routes),
		"services", len(c.Services), "accounts", len(c.Accounts))
}

// recordNamedVersion records that a weights version was named by namedAt, as reported
// by from. estimated is set if from did not receive the version when it was named. The
// caller holds g.mu.
func (g *Gateway) recordNamedVersion(v routing.WeightsVersion, namedAt time.Duration, from string, estimated bool) {
	add := g.versionsOf(v.Model).addObserved
	if estimated {
		add = g.versionsOf(v.Model).addEstimate
	}
	if !add(v.Version, namedAt) {
		return
	}
	logline.Info("weights_named", "model", v.Model, "version", v.Version, "from", from, "age", g.clock.Now()-namedAt, "estimated", estimated)
	g.updateVersionBounds()
}

// versionsOf returns the versions of a model. The caller holds g.mu.
func (g *Gateway) versionsOf(model string) *namedVersions {
	known := g.versions[model]
	if known == nil {
		known = &namedVersions{}
		g.versions[model] = known
	}
	return known
}

// noContactAge is a contact age that only a process without any contact reaches.
const noContactAge = 1 << 61

// jitter returns a random delay with mean d, so that instances that fail together don't
// retry together.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.newRand().Int64N(int64(d)))
}
