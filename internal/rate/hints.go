package rate

import (
	"maps"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// hintEvery is the least time between two looks at all accounts for hints.
const hintEvery = 200 * time.Millisecond

// hintKept is how long what was heard of a peer is kept.
const hintKept = time.Minute

// hint is a peer's balance of one account as last heard.
type hint struct {
	tokens float64
	at     time.Duration
	// demand in tokens per second, as heard on a heartbeat.
	demand   float64
	demandAt time.Duration
}

// HandleHints notes a peer's balances.
func (l *Limiter) HandleHints(now time.Duration, peer string, h wire.RateHints) {
	for _, item := range h.Items {
		if a := l.accounts[item.Account]; a != nil {
			a.known[peer] = hint{tokens: item.Tokens, at: now, demand: item.Demand, demandAt: now}
			a.forgetOld(now, 2*len(l.peers)+keptPeers)
		}
	}
}

// keptPeers is how many more peers than known ones are remembered before old
// ones are dropped.
const keptPeers = 64

// forgetOld drops peers that were not heard for long, once there are many:
// thousands of instances are replaced each day.
func (a *account) forgetOld(now time.Duration, limit int) {
	if len(a.known) <= limit {
		return
	}
	maps.DeleteFunc(a.known, func(_ string, h hint) bool {
		return now-max(h.at, h.demandAt) > hintKept
	})
}

// Hints are the largest balances here, for a heartbeat. They are made anew at
// most every 200 ms, whatever the number of peers.
func (l *Limiter) Hints(now time.Duration) wire.RateHints {
	if l.hints.Items == nil || now-l.hintsAt >= hintEvery {
		l.hints, l.hintsAt = l.makeHints(now), now
	}
	return l.hints
}

func (l *Limiter) makeHints(now time.Duration) wire.RateHints {
	l.settle(now)
	var h wire.RateHints
	for _, name := range l.names() {
		a := l.accounts[name]
		l.advance(a, now)
		tokens, demand := l.idle(a), a.demand.rate(now)
		if tokens > 0 || demand >= 1 {
			h.Items = append(h.Items, wire.RateItem{Account: name, Tokens: tokens, Demand: demand})
		}
	}
	slices.SortStableFunc(h.Items, func(x, y wire.RateItem) int { return int(y.Tokens - x.Tokens) })
	h.Items = h.Items[:min(len(h.Items), wire.MaxRateItems)]
	return h
}

// names are the accounts in a fixed order.
func (l *Limiter) names() []string {
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
