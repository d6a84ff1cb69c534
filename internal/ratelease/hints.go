package ratelease

import (
	"maps"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// hintInterval is the least time between two scans of all accounts for hints.
const hintInterval = 200 * time.Millisecond

// hintRetention is how long a peer's hint is kept.
const hintRetention = time.Minute

// hint is the last known balance of one account at a peer.
type hint struct {
	tokens float64
	at     time.Duration
	// demand is in tokens per second, as received with a heartbeat.
	demand   float64
	demandAt time.Duration
}

// HandleHints stores the balances and demands that a peer reports.
func (l *Limiter) HandleHints(now time.Duration, peer string, h wire.RateHints) {
	for _, item := range h.Items {
		if a := l.accounts[item.Account]; a != nil {
			a.peerHints[peer] = hint{tokens: item.Tokens, at: now, demand: item.Demand, demandAt: now}
			a.pruneHints(now, 2*len(l.peers)+extraHintedPeers)
		}
	}
}

// extraHintedPeers is how many hints beyond twice the number of current peers an
// account may hold before old ones are dropped.
const extraHintedPeers = 64

// pruneHints drops old hints once there are more than limit. Without it they
// would pile up, as thousands of instances are replaced each day.
func (a *account) pruneHints(now time.Duration, limit int) {
	if len(a.peerHints) <= limit {
		return
	}
	maps.DeleteFunc(a.peerHints, func(_ string, h hint) bool {
		return now-max(h.at, h.demandAt) > hintRetention
	})
}

// Hints returns the largest balances here, for a heartbeat. They are recomputed
// at most every 200 ms, however many peers there are.
func (l *Limiter) Hints(now time.Duration) wire.RateHints {
	if l.hints.Items == nil || now-l.hintsAt >= hintInterval {
		l.hints, l.hintsAt = l.buildHints(now), now
	}
	return l.hints
}

func (l *Limiter) buildHints(now time.Duration) wire.RateHints {
	l.advanceShare(now)
	var h wire.RateHints
	for _, name := range l.sortedAccountNames() {
		a := l.accounts[name]
		l.advance(a, now)
		tokens, demand := l.idleBalance(a), a.demand.rate(now)
		if tokens > 0 || demand >= 1 {
			h.Items = append(h.Items, wire.RateItem{Account: name, Tokens: tokens, Demand: demand})
		}
	}
	slices.SortStableFunc(h.Items, func(x, y wire.RateItem) int { return int(y.Tokens - x.Tokens) })
	h.Items = h.Items[:min(len(h.Items), wire.MaxRateItems)]
	return h
}

// sortedAccountNames returns the names of all accounts in a fixed order.
func (l *Limiter) sortedAccountNames() []string {
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
