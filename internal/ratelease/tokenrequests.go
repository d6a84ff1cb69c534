package ratelease

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// prefetchActiveWindow is how long after an account's last request its tokens
// are prefetched.
const prefetchActiveWindow = time.Second

// prefetchInterval is the least time between two prefetches for an account.
const prefetchInterval = 100 * time.Millisecond

// minTransferTokens is the least number of tokens worth a message.
const minTransferTokens = 1

// tokenRequestBatch collects the items for each peer, so that a round sends each
// peer one message.
type tokenRequestBatch struct {
	peers []string
	items map[string][]wire.RateItem
}

func newTokenRequestBatch() *tokenRequestBatch {
	return &tokenRequestBatch{items: map[string][]wire.RateItem{}}
}

// add appends an item to the message to a peer; it returns false if that is
// full.
func (b *tokenRequestBatch) add(peer string, item wire.RateItem) bool {
	if len(b.items[peer]) >= wire.MaxRateItems {
		return false
	}
	if b.items[peer] == nil {
		b.peers = append(b.peers, peer)
	}
	b.items[peer] = append(b.items[peer], item)
	return true
}

// tokenSource is an instance with its estimated balance and its limit.
type tokenSource struct {
	peer       string
	sameDomain bool
	tokens     float64
	limit      float64
}

// fillRatio returns the balance as a fraction of the limit.
func (s tokenSource) fillRatio() float64 {
	if s.limit <= 0 {
		return 0
	}
	return s.tokens / s.limit
}

// planTokenRequests plans the next round of token requests for an account.
func (l *Limiter) planTokenRequests(a *account, now time.Duration, batch *tokenRequestBatch) {
	if a.pendingTokenRequests > 0 || now-a.lastRoundAt < l.settings.TokenRequestInterval {
		return
	}
	need := float64(minTransferTokens) // covers rounding errors
	for _, w := range a.waiters {
		need += w.cost
	}
	if len(a.waiters) == 0 && !l.prefetchDue(a, now) {
		return
	}
	a.lastRoundAt = now
	waited := int64(0)
	if len(a.waiters) > 0 {
		waited = a.waiters[0].waited(now).Microseconds()
	}
	own := tokenSource{tokens: a.bucket.available(), limit: a.bucket.share * a.bucket.burst}
	for _, s := range equalizeFill(l.candidatePeers(a, now), own, need) {
		if batch.add(s.peer, wire.RateItem{Account: a.name, Tokens: s.tokens, WaitedMicros: waited}) {
			a.pendingTokenRequests++
		}
	}
}

// prefetchDue reports whether an account in use should be prefetched: it has
// fewer tokens here than a typical request costs, or than half of the limit
// here, while the fleet has plenty. Granted tokens cannot be passed on, so
// scarce ones stay where they are until a request needs them.
func (l *Limiter) prefetchDue(a *account, now time.Duration) bool {
	if now-a.lastRequestAt > prefetchActiveWindow || now-a.lastRoundAt < prefetchInterval {
		return false
	}
	limit := a.bucket.share * a.bucket.burst
	return a.bucket.available() < max(limit/2, min(a.typicalCost, limit)) &&
		l.estimateFleetBalance(a, now) > a.bucket.burst/2
}

// candidatePeers returns the peers to request tokens from, at most FanOut, ordered
// by fill ratio; among equals those in this instance's failure domain come first.
func (l *Limiter) candidatePeers(a *account, now time.Duration) []tokenSource {
	var candidates []tokenSource
	for _, p := range l.peers {
		if p.backoffUntil > now && !l.awaitsPeers(a) {
			continue
		}
		candidates = append(candidates, tokenSource{
			peer: p.ID, sameDomain: p.SameDomain, tokens: l.estimateBalance(a, p, now), limit: p.share(a.name) * a.bucket.burst,
		})
	}
	slices.SortStableFunc(candidates, func(x, y tokenSource) int {
		if c := cmp.Compare(y.fillRatio(), x.fillRatio()); c != 0 {
			return c
		}
		return cmp.Compare(boolToInt(y.sameDomain), boolToInt(x.sameDomain))
	})
	return candidates[:min(len(candidates), l.settings.FanOut)]
}

// estimateBalance estimates a peer's balance: the last hint plus the refill
// since.
func (l *Limiter) estimateBalance(a *account, p Peer, now time.Duration) float64 {
	limit := p.share(a.name) * a.bucket.burst
	h, ok := a.peerHints[p.ID]
	if !ok {
		return limit
	}
	return min(limit, h.tokens+p.share(a.name)*a.bucket.rate*(now-h.at).Seconds())
}

// equalizeFill distributes the need over the sources and the own balance such
// that all end up with the same fill ratio: a source that stays full loses its
// refill. If all of them together have too little, a part of the shortfall, which
// may have been refilled since the hint, is also requested from each. sources is
// ordered by descending fill ratio.
func equalizeFill(sources []tokenSource, own tokenSource, need float64) []tokenSource {
	tokens, limits, n := own.tokens-need, own.limit, 0
	for n < len(sources) && (limits <= 0 || tokens < limits*sources[n].fillRatio()) {
		tokens += sources[n].tokens
		limits += sources[n].limit
		n++
	}
	if n == 0 || limits <= 0 {
		return nil
	}
	fill, shortfall := max(0, tokens/limits), max(0, -tokens)
	var requests []tokenSource
	for _, s := range sources[:n] {
		want := s.tokens - fill*s.limit + shortfall*s.limit/limits
		if want >= minTransferTokens {
			requests = append(requests, tokenSource{peer: s.peer, tokens: want})
		}
	}
	return requests
}

// buildTokenRequests turns the batch into token requests and registers them as
// pending.
func (l *Limiter) buildTokenRequests(now time.Duration, batch *tokenRequestBatch) []TokenRequest {
	var requests []TokenRequest
	for _, peer := range batch.peers {
		l.lastTokenRequestID++
		p := pendingTokenRequest{peer: peer, createdAt: now}
		for _, item := range batch.items[peer] {
			p.accounts = append(p.accounts, item.Account)
		}
		l.pending[l.lastTokenRequestID] = p
		body := wire.RateRequest{From: l.settings.Self, Items: batch.items[peer]}
		requests = append(requests, TokenRequest{ID: l.lastTokenRequestID, Peer: peer, Body: body})
	}
	return requests
}

// hintsFresh reports whether there is a recent hint of every responsive peer.
func (l *Limiter) hintsFresh(a *account, now time.Duration) bool {
	if a.pendingTokenRequests > 0 {
		return false
	}
	for _, p := range l.peers {
		h, ok := a.peerHints[p.ID]
		if p.backoffUntil <= now && (!ok || now-h.at > hintMaxAge) {
			return false
		}
	}
	return true
}

// estimateFleetBalance estimates the balance of this instance and all its
// responsive peers.
func (l *Limiter) estimateFleetBalance(a *account, now time.Duration) float64 {
	sum := a.bucket.available()
	for _, p := range l.peers {
		if p.backoffUntil <= now {
			sum += l.estimateBalance(a, p, now)
		}
	}
	return sum
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
