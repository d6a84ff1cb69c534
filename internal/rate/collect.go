package rate

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// prefetchWithin is how long after its last request an account's tokens are
// fetched ahead.
const prefetchWithin = time.Second

// askBatch gathers the items for each peer, so that one round is one message
// a peer.
type askBatch struct {
	order []string
	items map[string][]wire.RateItem
}

func newAskBatch() *askBatch {
	return &askBatch{items: map[string][]wire.RateItem{}}
}

// add wants tokens of an account from a peer; false when the message is full.
func (b *askBatch) add(peer string, item wire.RateItem) bool {
	if len(b.items[peer]) >= wire.MaxRateItems {
		return false
	}
	if b.items[peer] == nil {
		b.order = append(b.order, peer)
	}
	b.items[peer] = append(b.items[peer], item)
	return true
}

// source is a peer with the tokens that it is thought to have.
type source struct {
	peer   string
	local  bool
	tokens float64
}

// collect plans the next round of asks for an account.
func (l *Limiter) collect(a *account, now time.Duration, batch *askBatch) {
	if a.asking > 0 || now-a.askedAt < l.settings.AskInterval {
		return
	}
	need := l.missing(a, now)
	if need <= 0 {
		return
	}
	a.askedAt = now
	for _, s := range levelOut(l.sources(a, now), need) {
		if batch.add(s.peer, wire.RateItem{Account: a.name, Tokens: s.tokens}) {
			a.asking++
		}
	}
}

// missing is how many tokens to fetch: what waiting requests lack, or what
// would keep one typical request at hand.
func (l *Limiter) missing(a *account, now time.Duration) float64 {
	need := -a.bucket.available()
	if len(a.waiters) == 0 {
		if now-a.seenAt > prefetchWithin {
			return 0
		}
		return need + min(a.typical, a.bucket.limit())
	}
	for _, w := range a.waiters {
		need += w.cost
	}
	return min(need, a.bucket.burst)
}

// sources are the peers to ask, at most FanOut, the richest first and among
// equals those in the own domain.
func (l *Limiter) sources(a *account, now time.Duration) []source {
	var list []source
	for _, p := range l.peers {
		if p.muteUntil > now {
			continue
		}
		list = append(list, source{peer: p.ID, local: p.Local, tokens: l.guess(a, p, now)})
	}
	slices.SortStableFunc(list, func(x, y source) int {
		if c := cmp.Compare(y.tokens, x.tokens); c != 0 {
			return c
		}
		return cmp.Compare(b2i(y.local), b2i(x.local))
	})
	return list[:min(len(list), l.settings.FanOut)]
}

// guess is a peer's balance: as last heard plus what it has minted since.
func (l *Limiter) guess(a *account, p Peer, now time.Duration) float64 {
	limit := p.Share * a.bucket.burst
	h, ok := a.known[p.ID]
	if !ok {
		return limit
	}
	return min(limit, h.tokens+p.Share*a.bucket.rate*(now-h.at).Seconds())
}

// levelOut spreads the need over the sources such that what each keeps is as
// equal as can be: a source left full would lose what it mints. Sources are
// asked in proportion when all together have too little.
func levelOut(list []source, need float64) []source {
	if len(list) == 0 {
		return nil
	}
	level, n, sum := 0.0, 0, 0.0
	for n < len(list) {
		sum += list[n].tokens
		n++
		level = (sum - need) / float64(n)
		if n < len(list) && level >= list[n].tokens {
			break
		}
	}
	level = max(0, level)
	short := max(0, need-sum) / float64(len(list))
	var asks []source
	for _, s := range list[:n] {
		if want := s.tokens - level + short; want > 0 {
			asks = append(asks, source{peer: s.peer, tokens: want})
		}
	}
	return asks
}

// send turns the batch into calls.
func (l *Limiter) send(now time.Duration, batch *askBatch) []Ask {
	var asks []Ask
	for _, peer := range batch.order {
		l.lastAsk++
		p := pendingAsk{peer: peer, askedAt: now}
		for _, item := range batch.items[peer] {
			p.accounts = append(p.accounts, item.Account)
		}
		l.pending[l.lastAsk] = p
		body := wire.RateAsk{From: l.settings.Self, Items: batch.items[peer]}
		asks = append(asks, Ask{ID: l.lastAsk, Peer: peer, Body: body})
	}
	return asks
}

// freshHints reports that every peer that answers at all was heard just now.
func (l *Limiter) freshHints(a *account, now time.Duration) bool {
	if a.asking > 0 {
		return false
	}
	for _, p := range l.peers {
		h, ok := a.known[p.ID]
		if p.muteUntil <= now && (!ok || now-h.at > hintFresh) {
			return false
		}
	}
	return true
}

// fleetBalance is what this instance and all its peers are thought to have.
func (l *Limiter) fleetBalance(a *account, now time.Duration) float64 {
	sum := a.bucket.available()
	for _, p := range l.peers {
		if p.muteUntil <= now {
			sum += l.guess(a, p, now)
		}
	}
	return sum
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
