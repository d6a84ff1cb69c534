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

// operatorWaitShare is how long the read of the fleet's reader waits for news,
// as a part of the time within which a configuration must be in force. The end
// of the wait without news shows that nothing was written until then, so it
// also bounds the age of what the fleet knows, and has to leave room below the
// age at which others read by themselves.
const operatorWaitFraction = 0.25

// followOperators keeps the configuration and the named versions up to date.
// The fleet's reader waits for news at the store; the other instances get them
// from peers and read when they do not.
func (g *Gateway) followOperators(ctx context.Context) {
	turn := feedturn.New(feedturn.Settings{StalenessBound: g.settings.ConfigBound})
	brought, limit, notBefore := false, g.initialReadLimit(), time.Duration(0)
	view := func() feedturn.View {
		v := g.operatorView()
		v.NotBefore = notBefore
		return v
	}
	for g.awaitRead(ctx, turn, view) {
		next := g.currentOperatorsOffset()
		wait := time.Duration(0)
		// News may have come at the start of a wait: what is known is as old as that,
		// and a read that does not wait renews it.
		if next != unreadOffset && !brought && g.operatorView().Reader && !turn.LastReadFailed() {
			wait = time.Duration(operatorWaitFraction * float64(g.settings.ConfigBound))
		}
		sent := g.clock.Now()
		news, err := g.readOperators(ctx, next, wait, limit)
		switch {
		case errors.Is(err, ErrTrimmed):
			g.resetOperatorsOffset(next)
			continue
		case errors.Is(err, ErrTooLarge) && limit > 0:
			limit = 0
			if !g.peers.isFirstInDomain() {
				notBefore = g.clock.Now() + peerConfigDelay
			}
			logline.Info("config_left_to_peers", "for", max(0, notBefore-g.clock.Now()))
			continue
		}
		g.recordRead(ctx, turn, &g.feeds.operatorsUnreachable, "operators", err)
		if err != nil {
			continue
		}
		brought = news.Config != nil || len(news.Versions) > 0
		g.applyOperatorUpdate(feedturn.KnownUpTo(sent, g.clock.Now(), wait, brought), news)
	}
}

// operatorsPlace is where to read on in what operators write; unread before that was
// read.
func (g *Gateway) currentOperatorsOffset() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.operatorsOffset
}

// dropOperatorsPlace takes in that the store has dropped records behind a place: all is
// to be read again, unless a peer was further.
func (g *Gateway) resetOperatorsOffset(place int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.operatorsOffset == place {
		g.operatorsOffset = unreadOffset
	}
}

// operatorView is what the next turn at the operators' feed depends on.
func (g *Gateway) operatorView() feedturn.View {
	age := g.contactAge()
	v := feedturn.View{Known: age < noContactAge, Reader: g.peers.isFleetReader(), Standby: g.peers.isDomainReader(), FleetSize: g.peers.fleetSize()}
	now := g.clock.Now()
	if v.Known {
		v.KnownUpTo = now - age
	}
	// While a newer configuration comes in from a peer, a read would only compete
	// with it for the link.
	if contact, ok := g.configs.arrivingContact(now); ok {
		v.KnownUpTo = max(v.KnownUpTo, contact)
	}
	return v
}

// startLimit bounds the first read of a process in bytes. When all instances start
// together, each would else fill its link with a large configuration from the store,
// and nothing would come from the peer that has it first.
func (g *Gateway) initialReadLimit() int64 {
	return int64(initialReadTime.Seconds() * g.configs.linkBytesPerSecond)
}

const (
	// startReadTime is how long the first read may take of a link that has nothing else
	// to carry.
	initialReadTime = 100 * time.Millisecond
	// startPatience is how long an instance that starts leaves a large configuration to
	// its peers.
	peerConfigDelay = time.Second
)

func (g *Gateway) readOperators(ctx context.Context, next int64, wait time.Duration, limit int64) (OperatorUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	if next == unreadOffset {
		return g.store.Newest(ctx, limit)
	}
	return g.store.Since(ctx, next, wait)
}

// takeNews puts into force what a read has brought, which tells of the feed up
// to that time.
func (g *Gateway) applyOperatorUpdate(upTo time.Duration, news OperatorUpdate) {
	config := g.prepareConfig(news.Config)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	namedBy, silence := now, g.contactAgeLocked()
	latest := time.Duration(unobservedAfterFraction * float64(g.settings.ConfigBound))
	atStart := silence > noContactAge
	if atStart {
		namedBy -= startupVersionAge
	} else {
		// A read that did not follow the one before at once brings what was named
		// in between, as when the fleet's reader is lost.
		unread := max(0, silence-(now-upTo))
		namedBy -= max(min(silence, g.suspension.recent(now)), min(unread, latest))
	}
	estimated := silence > latest
	g.contacts.LogRead(upTo)
	g.operatorsOffset = max(g.operatorsOffset, news.NextOffset)
	if config != nil {
		g.activateConfig(config, "store")
	}
	for _, v := range news.Versions {
		// One that peers reported before is not received as it is named.
		g.recordNamedVersion(v, namedBy, "store", estimated || g.versionsOf(v.Model).contains(v.Version))
	}
	if atStart {
		g.updateRollout()
	}
}

const (
	// namedBefore is how long ago a version is taken to have been named that a
	// process finds at its start, until its peers or the store's record tell.
	startupVersionAge = 3 * time.Second
	// estimatedShare is the time without news from operators, as a part of the time
	// within which a configuration must be in force, after which a version is
	// not received as it was named. By then all instances read by themselves. Only
	// a suspension of the process makes it older at once: with the store away
	// nobody names any, and all instances would spare all targets as it returns.
	unobservedAfterFraction = 0.5
)

// loadedConfig is a configuration with all that takes long made beforehand, so that
// requests wait for a moment only as it comes into force.
type preparedConfig struct {
	snapshot *configsync.Snapshot
	table    *routing.Table
}

func newPreparedConfig(s *configsync.Snapshot) *preparedConfig {
	return &preparedConfig{snapshot: s, table: routing.NewTable(s.Config)}
}

// load prepares a configuration from the store; nil where there is none to be put into
// force.
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

// putInForce takes a configuration if it is newer. Versions never go back: a
// record read late, or from a peer that is behind, changes nothing. The caller
// holds g.mu.
func (g *Gateway) activateConfig(l *preparedConfig, from string) {
	now, c := g.clock.Now(), l.table.Config()
	if g.configVersion() >= c.Version {
		return
	}
	g.table.Store(l.table)
	for _, contact := range g.configs.setCurrent(l.snapshot) {
		g.recordStoreContact(contact)
	}
	g.quota.SetLimits(now, accountLimits(c))
	g.updatePools()
	logline.Info("config_in_force", "version", c.Version, "from", from, "routes", len(c.Routes),
		"services", len(c.Services), "accounts", len(c.Accounts))
}

// nameVersion takes a weights version, named by that time as far as from tells;
// estimated says that from did not receive it as it was named. The caller holds g.mu.
func (g *Gateway) recordNamedVersion(v routing.WeightsVersion, namedBy time.Duration, from string, estimated bool) {
	add := g.versionsOf(v.Model).addObserved
	if estimated {
		add = g.versionsOf(v.Model).addEstimate
	}
	if !add(v.Version, namedBy) {
		return
	}
	logline.Info("weights_named", "model", v.Model, "version", v.Version, "from", from, "age", g.clock.Now()-namedBy, "estimated", estimated)
	g.updateRollout()
}

// versionsOf are the versions of a model. The caller holds g.mu.
func (g *Gateway) versionsOf(model string) *namedVersions {
	known := g.versions[model]
	if known == nil {
		known = &namedVersions{}
		g.versions[model] = known
	}
	return known
}

// startAge is an age of contact that only a process without any has.
const noContactAge = 1 << 61

// jitter spreads a pause, so that instances that fail together do not come
// back together.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.newRand().Int64N(int64(d)))
}
