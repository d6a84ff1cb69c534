package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
)

const (
	// operatorWait is how long a read waits for news while no peer is heard.
	// Each answer, also one without news, shows that this instance knows all
	// that was written when the read was sent; so this also bounds the age of
	// that knowledge.
	operatorWait = 1200 * time.Millisecond
	// While peers are heard, whose reads tell the same, a read may wait for
	// longer, since calls to the store are paid for: for a time drawn between
	// minOperatorWait and that for each instance of the fleet, at most
	// maxOperatorWait. News wakes all reads at once; without the draw they
	// would also end at once ever after, and none would be fresh between.
	minOperatorWait = 800 * time.Millisecond
	maxOperatorWait = 3200 * time.Millisecond
	// operatorRetry is the pause after a failed read. It is short: a config
	// must be in force within two seconds of its acknowledgement.
	operatorRetry = 200 * time.Millisecond
)

// followOperators keeps the configuration and the named versions up to date.
func (g *Gateway) followOperators(ctx context.Context) {
	next, known := int64(0), false
	lost := false
	for ctx.Err() == nil {
		sent := g.clock.Now()
		news, err := g.readOperators(ctx, next, known)
		if errors.Is(err, ErrTrimmed) {
			known = false
			continue
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				logline.Error(err, "store_lost", "feed", "operators")
			}
			lost = true
			sleep(ctx, g.jitter(operatorRetry))
			continue
		}
		if lost {
			logline.Info("store_regained", "feed", "operators")
		}
		lost = false
		known, next = true, news.Next
		g.takeNews(sent, news)
	}
}

func (g *Gateway) readOperators(ctx context.Context, next int64, known bool) (OperatorNews, error) {
	wait := drawOperatorWait(g.peers.heardCount(), g.source())
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	if !known {
		return g.store.Newest(ctx)
	}
	return g.store.Since(ctx, next, wait)
}

// drawOperatorWait is how long a read waits for news, given the peers heard.
func drawOperatorWait(peers int, rng *rand.Rand) time.Duration {
	if peers == 0 {
		return operatorWait
	}
	most := min(maxOperatorWait, minOperatorWait*time.Duration(1+peers))
	return minOperatorWait + time.Duration(rng.Int64N(int64(most-minOperatorWait)))
}

// takeNews puts into force what a read sent at that time has brought.
func (g *Gateway) takeNews(sent time.Duration, news OperatorNews) {
	g.mu.Lock()
	defer g.mu.Unlock()
	namedBy, atStart := g.clock.Now(), g.contactAge() > startAge
	if atStart {
		namedBy -= namedBefore
	}
	g.contacts.Log(sent)
	if news.Config != nil {
		g.putInForce(news.Config, "store")
	}
	for _, v := range news.Versions {
		g.nameVersion(v, namedBy)
		if atStart {
			g.versions[v.Model].markFound()
		}
	}
	if atStart {
		g.updateRollout()
	}
}

// namedBefore is how long ago a version is taken to have been named that a
// process finds at its start: nothing tells, and late is worse than early. Its
// peers tell better.
const namedBefore = 3 * time.Second

// putInForce takes a configuration if it is newer. Versions never go back: a
// record read late, or from a peer that is behind, changes nothing. The caller
// holds g.mu.
func (g *Gateway) putInForce(c *routing.Config, from string) {
	now := g.clock.Now()
	if t := g.table.Load(); t != nil && t.Config().Version >= c.Version {
		return
	}
	g.table.Store(routing.NewTable(c))
	g.quota.SetLimits(now, limitsOf(c))
	g.updatePools()
	logline.Info("config_in_force", "version", c.Version, "from", from, "routes", len(c.Routes),
		"services", len(c.Services), "accounts", len(c.Accounts))
}

// nameVersion takes a weights version if it is newer. The caller holds g.mu.
func (g *Gateway) nameVersion(v routing.WeightsVersion, namedBy time.Duration) {
	known := g.versions[v.Model]
	if known == nil {
		known = &namedVersions{}
		g.versions[v.Model] = known
	}
	if !known.add(v.Version, namedBy) {
		return
	}
	logline.Info("weights_named", "model", v.Model, "version", v.Version)
	g.updateRollout()
}

// startAge is an age of contact that only a process without any has.
const startAge = 1 << 61

// jitter spreads a pause, so that instances that fail together do not come
// back together.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.source().Int64N(int64(d)))
}
