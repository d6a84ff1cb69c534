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

// prefetchEvery is the least time between two fetches ahead.
const prefetchEvery = 100 * time.Millisecond

// minTransfer is the least tokens worth a message.
const minTransfer = 1

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

// source is an instance with the tokens that it is thought to have and its
// cap.
type source struct {
	peer   string
	local  bool
	tokens float64
	limit  float64
}

// fullness is the part of the cap that is filled.
func (s source) fullness() float64 {
	if s.limit <= 0 {
		return 0
	}
	return s.tokens / s.limit
}

// collect plans the next round of asks for an account.
func (l *Limiter) collect(a *account, now time.Duration, batch *askBatch) {
	if a.asking > 0 || now-a.askedAt < l.settings.AskInterval {
		return
	}
	need := float64(minTransfer) // above what rounding takes
	for _, w := range a.waiters {
		need += w.cost
	}
	if len(a.waiters) == 0 && !l.prefetchDue(a, now) {
		return
	}
	a.askedAt = now
	waited := int64(0)
	if len(a.waiters) > 0 {
		waited = a.waiters[0].waited(now).Microseconds()
	}
	own := source{tokens: a.bucket.available(), limit: a.bucket.share * a.bucket.burst}
	for _, s := range levelOut(l.sources(a, now), own, need) {
		if batch.add(s.peer, wire.RateItem{Account: a.name, Tokens: s.tokens, WaitedMicros: waited}) {
			a.asking++
		}
	}
}

// prefetchDue reports that an account in use has less at hand than one
// typical request costs, or than half of what fits here, while the fleet has
// plenty: fetched tokens cannot travel on, so scarce ones stay where they are
// until a request needs them.
func (l *Limiter) prefetchDue(a *account, now time.Duration) bool {
	if now-a.seenAt > prefetchWithin || now-a.askedAt < prefetchEvery {
		return false
	}
	limit := a.bucket.share * a.bucket.burst
	return a.bucket.available() < max(limit/2, min(a.typical, limit)) &&
		l.fleetBalance(a, now) > a.bucket.burst/2
}

// sources are the peers to ask, at most FanOut, the fullest first and among
// equals those in the own domain.
func (l *Limiter) sources(a *account, now time.Duration) []source {
	var list []source
	for _, p := range l.peers {
		if p.muteUntil > now {
			continue
		}
		list = append(list, source{
			peer: p.ID, local: p.Local, tokens: l.guess(a, p, now), limit: p.share(a.name) * a.bucket.burst,
		})
	}
	slices.SortStableFunc(list, func(x, y source) int {
		if c := cmp.Compare(y.fullness(), x.fullness()); c != 0 {
			return c
		}
		return cmp.Compare(b2i(y.local), b2i(x.local))
	})
	return list[:min(len(list), l.settings.FanOut)]
}

// guess is a peer's balance: as last heard plus what it has minted since.
func (l *Limiter) guess(a *account, p Peer, now time.Duration) float64 {
	limit := p.share(a.name) * a.bucket.burst
	h, ok := a.known[p.ID]
	if !ok {
		return limit
	}
	return min(limit, h.tokens+p.share(a.name)*a.bucket.rate*(now-h.at).Seconds())
}

// levelOut spreads the need over the sources, own balance included, such that
// all are left equally full: one left full would lose what it mints. When all
// together have too little, each is asked for what it may have got since. The
// sources come fullest first.
func levelOut(list []source, own source, need float64) []source {
	tokens, limits, n := own.tokens-need, own.limit, 0
	for n < len(list) && (limits <= 0 || tokens < limits*list[n].fullness()) {
		tokens += list[n].tokens
		limits += list[n].limit
		n++
	}
	if n == 0 || limits <= 0 {
		return nil
	}
	level, short := max(0, tokens/limits), max(0, -tokens)
	var asks []source
	for _, s := range list[:n] {
		want := s.tokens - level*s.limit + short*s.limit/limits
		if want >= minTransfer {
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
		body := wire.RateRequest{From: l.settings.Self, Items: batch.items[peer]}
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
