package rate

import (
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// hintFresh is how long a peer's balance is taken as just seen.
const hintFresh = 50 * time.Millisecond

// mutePeer is how long a peer that did not answer is left out.
const mutePeer = time.Second

// Peer is another instance that may have tokens.
type Peer struct {
	// ID names the peer towards the caller of this package.
	ID string
	// Local is set for peers in this instance's failure domain.
	Local bool
	// Share is the part of all rates that the peer mints, as far as known;
	// 0 for a peer that only passes on.
	Share float64
	// Factors are those of the peer's domain; see SetFactors.
	Factors map[string]float64

	muteUntil time.Duration
}

// share is the part of one account's rate that the peer mints.
func (p Peer) share(account string) float64 {
	if factor, ok := p.Factors[account]; ok {
		return p.Share * factor
	}
	return p.Share
}

// Ask is a call to make to a peer.
type Ask struct {
	ID   uint64
	Peer string
	Body wire.RateRequest
}

// Return is a one-way message to send to a peer.
type Return struct {
	Peer string
	Body wire.RateReturn
}

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	peer     string
	askedAt  time.Duration
	accounts []string
}

// SetPeers replaces the peers that are asked for tokens, nearest first. Those
// that mint nothing are left out: they have nothing to send. When no share is
// known, as on an instance that started while the log is down, all are taken
// as equal: else nobody would be asked and every request refused.
func (l *Limiter) SetPeers(peers []Peer) {
	old := l.peers
	l.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Share <= 0 })
	if len(l.peers) == 0 {
		l.peers = slices.Clone(peers)
		for i := range l.peers {
			l.peers[i].Share = 1 / float64(len(l.peers))
		}
	}
	for i := range l.peers {
		for _, o := range old {
			if o.ID == l.peers[i].ID {
				l.peers[i].muteUntil = o.muteUntil
			}
		}
	}
}

// HandleAsk debits what it can spare and answers with it.
func (l *Limiter) HandleAsk(now time.Duration, ask wire.RateRequest) wire.RateGrant {
	l.settle(now)
	g := wire.RateGrant{From: l.settings.Self, DebitedAtNanos: int64(now)}
	for i, item := range ask.Items {
		a := l.accounts[item.Account]
		if a == nil || i >= wire.MaxRateItems {
			continue
		}
		l.advance(a, now)
		tokens := l.spare(a, now, ask.From, item)
		a.claim.note(now, ask.From, item, tokens)
		if tokens > 0 {
			a.bucket.lend(now, l.settings.Lifetime, tokens)
		}
		item.Tokens = a.bucket.balance
		left := l.spare(a, now, ask.From, item) // to this asker
		g.Items = append(g.Items, wire.RateGrantItem{Account: item.Account, Tokens: tokens, Remaining: left})
	}
	return g
}

// spare is how much of the wanted tokens may go to a peer. Of two instances
// that both lack tokens, the one whose request has waited longer gets the
// other's: else both would sit on a part until both give up. Credits from
// other peers never travel on: their lifetime is counted at their granter.
func (l *Limiter) spare(a *account, now time.Duration, from string, ask wire.RateItem) float64 {
	if !(ask.Tokens > 0) || a.claim.bars(now, from, ask) {
		return 0
	}
	if len(a.waiters) > 0 && a.waiters[0].waited(now).Microseconds() >= ask.WaitedMicros {
		return 0
	}
	return max(0, min(ask.Tokens, a.bucket.balance))
}

// idle is the balance that no request here waits for.
func (l *Limiter) idle(a *account) float64 {
	if len(a.waiters) > 0 {
		return 0
	}
	return max(0, a.bucket.balance)
}

// HandleGrant takes a peer's answer to an ask. Tokens that come too late go
// back.
func (l *Limiter) HandleGrant(now time.Duration, peer string, id uint64, g wire.RateGrant) {
	l.settle(now)
	until := now
	p, asked := l.pending[id]
	if asked && p.peer == peer {
		l.forget(id, p)
		until = p.askedAt + l.settings.creditFor()
	}
	for i, item := range g.Items {
		a := l.accounts[item.Account]
		if a == nil || i >= wire.MaxRateItems {
			continue
		}
		h := a.known[peer]
		h.tokens, h.at = item.Remaining, now
		a.known[peer] = h
		if item.Tokens > 0 {
			l.credit(a, now, credit{peer: peer, incarnation: g.From, grantedAt: g.DebitedAtNanos, until: until, tokens: item.Tokens})
		}
	}
}

// credit adds granted tokens, or gives them back when it is too late.
func (l *Limiter) credit(a *account, now time.Duration, c credit) {
	l.advance(a, now)
	if now >= c.until {
		l.giveBack(a, c, c.tokens)
		return
	}
	a.bucket.addCredit(c)
	l.activate(a)
}

// AskFailed tells that an ask got no answer. Tokens that the peer may have
// debited are lost.
func (l *Limiter) AskFailed(now time.Duration, id uint64) {
	p, ok := l.pending[id]
	if !ok {
		return
	}
	l.forget(id, p)
	for i := range l.peers {
		if l.peers[i].ID == p.peer {
			l.peers[i].muteUntil = now + mutePeer
		}
	}
}

// HandleReturn settles own grants: unspent tokens come back, spent ones no
// longer lower the cap.
func (l *Limiter) HandleReturn(now time.Duration, r wire.RateReturn) {
	l.settle(now)
	if r.To != l.settings.Self {
		return
	}
	for _, item := range r.Items {
		a := l.accounts[item.Account]
		if a == nil || time.Duration(item.DebitedAtNanos) > now {
			continue
		}
		l.advance(a, now)
		at := time.Duration(item.DebitedAtNanos)
		if item.Spent > 0 {
			a.bucket.endLoan(at, item.Spent)
		}
		if item.Unspent > 0 {
			a.bucket.takeBack(at, item.Unspent)
		}
		if item.Refunded > 0 {
			a.bucket.refund(at, item.Refunded)
		}
	}
}

// giveBack queues the return of unspent tokens of a credit.
func (l *Limiter) giveBack(a *account, c credit, tokens float64) {
	if tokens > 0 {
		l.report(c, wire.RateReturnItem{Account: a.name, DebitedAtNanos: c.grantedAt, Unspent: tokens})
	}
}

// report queues an item for a granter, in one message a granter and Tick.
func (l *Limiter) report(c credit, item wire.RateReturnItem) {
	for i := range l.returns {
		r := &l.returns[i]
		if r.Peer == c.peer && r.Body.To == c.incarnation && len(r.Body.Items) < wire.MaxRateItems {
			r.Body.Items = append(r.Body.Items, item)
			return
		}
	}
	body := wire.RateReturn{To: c.incarnation, Items: []wire.RateReturnItem{item}}
	l.returns = append(l.returns, Return{Peer: c.peer, Body: body})
}

// forget drops a pending ask.
func (l *Limiter) forget(id uint64, p pendingAsk) {
	delete(l.pending, id)
	for _, name := range p.accounts {
		if a := l.accounts[name]; a != nil && a.asking > 0 {
			a.asking--
		}
	}
}

// dropLateAsks forgets asks whose tokens could not be spent any more.
func (l *Limiter) dropLateAsks(now time.Duration) {
	for id, p := range l.pending {
		if now >= p.askedAt+l.settings.creditFor() {
			l.AskFailed(now, id)
		}
	}
}
