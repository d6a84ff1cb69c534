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
const operatorWaitShare = 0.25

// followOperators keeps the configuration and the named versions up to date.
// The fleet's reader waits for news at the store; the other instances get them
// from peers and read when they do not.
func (g *Gateway) followOperators(ctx context.Context) {
	turn := feedturn.New(feedturn.Settings{StalenessBound: g.settings.ConfigBound})
	brought, limit, notBefore := false, g.startLimit(), time.Duration(0)
	view := func() feedturn.View {
		v := g.operatorView()
		v.NotBefore = notBefore
		return v
	}
	for g.awaitTurn(ctx, turn, view) {
		next := g.operatorsPlace()
		wait := time.Duration(0)
		// News may have come at the start of a wait: what is known is as old as that,
		// and a read that does not wait renews it.
		if next != unread && !brought && g.operatorView().Reader && !turn.LastReadFailed() {
			wait = time.Duration(operatorWaitShare * float64(g.settings.ConfigBound))
		}
		sent := g.clock.Now()
		news, err := g.readOperators(ctx, next, wait, limit)
		switch {
		case errors.Is(err, ErrTrimmed):
			g.dropOperatorsPlace(next)
			continue
		case errors.Is(err, ErrTooLarge) && limit > 0:
			limit = 0
			if !g.peers.firstOfDomain() {
				notBefore = g.clock.Now() + startPatience
			}
			logline.Info("config_left_to_peers", "for", max(0, notBefore-g.clock.Now()))
			continue
		}
		g.tookTurn(ctx, turn, &g.feeds.operators, "operators", err)
		if err != nil {
			continue
		}
		brought = news.Config != nil || len(news.Versions) > 0
		g.takeNews(feedturn.KnownUpTo(sent, g.clock.Now(), wait, brought), news)
	}
}

// operatorsPlace is where to read on in what operators write; unread before that was
// read.
func (g *Gateway) operatorsPlace() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.operatorsNext
}

// dropOperatorsPlace takes in that the store has dropped records behind a place: all is
// to be read again, unless a peer was further.
func (g *Gateway) dropOperatorsPlace(place int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.operatorsNext == place {
		g.operatorsNext = unread
	}
}

// operatorView is what the next turn at the operators' feed depends on.
func (g *Gateway) operatorView() feedturn.View {
	age := g.sinceContact()
	v := feedturn.View{Known: age < startAge, Reader: g.peers.reads(), Standby: g.peers.readsForDomain(), FleetSize: g.peers.fleetSize()}
	now := g.clock.Now()
	if v.Known {
		v.KnownUpTo = now - age
	}
	// While a newer configuration comes in from a peer, a read would only compete
	// with it for the link.
	if contact, ok := g.configs.arriving(now); ok {
		v.KnownUpTo = max(v.KnownUpTo, contact)
	}
	return v
}

// startLimit bounds the first read of a process in bytes. When all instances start
// together, each would else fill its link with a large configuration from the store,
// and nothing would come from the peer that has it first.
func (g *Gateway) startLimit() int64 { return int64(startReadTime.Seconds() * g.configs.link) }

const (
	// startReadTime is how long the first read may take of a link that has nothing else
	// to carry.
	startReadTime = 100 * time.Millisecond
	// startPatience is how long an instance that starts leaves a large configuration to
	// its peers.
	startPatience = time.Second
)

func (g *Gateway) readOperators(ctx context.Context, next int64, wait time.Duration, limit int64) (OperatorNews, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	if next == unread {
		return g.store.Newest(ctx, limit)
	}
	return g.store.Since(ctx, next, wait)
}

// takeNews puts into force what a read has brought, which tells of the feed up
// to that time.
func (g *Gateway) takeNews(upTo time.Duration, news OperatorNews) {
	config := g.load(news.Config)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	namedBy, silence := now, g.contactAge()
	latest := time.Duration(estimatedShare * float64(g.settings.ConfigBound))
	atStart := silence > startAge
	if atStart {
		namedBy -= namedBefore
	} else {
		// A read that did not follow the one before at once brings what was named
		// in between, as when the fleet's reader is lost.
		unread := max(0, silence-(now-upTo))
		namedBy -= max(min(silence, g.suspension.recent(now)), min(unread, latest))
	}
	estimated := silence > latest
	g.contacts.LogRead(upTo)
	g.operatorsNext = max(g.operatorsNext, news.Next)
	if config != nil {
		g.putInForce(config, "store")
	}
	for _, v := range news.Versions {
		// One that peers reported before is not received as it is named.
		g.nameVersion(v, namedBy, "store", estimated || g.versionsOf(v.Model).knows(v.Version))
	}
	if atStart {
		g.updateVersionBounds()
	}
}

const (
	// namedBefore is how long ago a version is taken to have been named that a
	// process finds at its start, until its peers or the store's record tell.
	namedBefore = 3 * time.Second
	// estimatedShare is the time without news from operators, as a part of the time
	// within which a configuration must be in force, after which a version is
	// not received as it was named. By then all instances read by themselves. Only
	// a suspension of the process makes it older at once: with the store away
	// nobody names any, and all instances would spare all targets as it returns.
	estimatedShare = 0.5
)

// loadedConfig is a configuration with all that takes long made beforehand, so that
// requests wait for a moment only as it comes into force.
type loadedConfig struct {
	snapshot *configsync.Snapshot
	table    *routing.Table
}

func newLoadedConfig(s *configsync.Snapshot) *loadedConfig {
	return &loadedConfig{snapshot: s, table: routing.NewTable(s.Config)}
}

// load prepares a configuration from the store; nil where there is none to be put into
// force.
func (g *Gateway) load(c *routing.Config) *loadedConfig {
	if c == nil || c.Version <= g.configVersion() {
		return nil
	}
	s, err := configsync.NewSnapshot(c)
	if err != nil {
		logline.Error(err, "config_unusable", "version", c.Version)
		return nil
	}
	return newLoadedConfig(s)
}

// putInForce takes a configuration if it is newer. Versions never go back: a
// record read late, or from a peer that is behind, changes nothing. The caller
// holds g.mu.
func (g *Gateway) putInForce(l *loadedConfig, from string) {
	now, c := g.clock.Now(), l.table.Config()
	if g.configVersion() >= c.Version {
		return
	}
	g.table.Store(l.table)
	for _, contact := range g.configs.put(l.snapshot) {
		g.takeContact(contact)
	}
	g.quota.SetLimits(now, limitsOf(c))
	g.updatePools()
	logline.Info("config_in_force", "version", c.Version, "from", from, "routes", len(c.Routes),
		"services", len(c.Services), "accounts", len(c.Accounts))
}

// nameVersion takes a weights version, named by that time as far as from tells;
// estimated says that from did not receive it as it was named. The caller holds g.mu.
func (g *Gateway) nameVersion(v routing.WeightsVersion, namedBy time.Duration, from string, estimated bool) {
	add := g.versionsOf(v.Model).add
	if estimated {
		add = g.versionsOf(v.Model).addEstimate
	}
	if !add(v.Version, namedBy) {
		return
	}
	logline.Info("weights_named", "model", v.Model, "version", v.Version, "from", from, "age", g.clock.Now()-namedBy, "estimated", estimated)
	g.updateVersionBounds()
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
const startAge = 1 << 61

// jitter spreads a pause, so that instances that fail together do not come
// back together.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.source().Int64N(int64(d)))
}
