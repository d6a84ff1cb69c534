package ratelease

import (
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// hintMaxAge is the age up to which a peer's balance counts as current.
const hintMaxAge = 50 * time.Millisecond

// unresponsivePeerBackoff is how long a peer gets no token requests after it
// failed to answer one.
const unresponsivePeerBackoff = time.Second

// Peer is another instance that may have tokens.
type Peer struct {
	// ID identifies the peer to the caller of this package.
	ID string
	// SameDomain is true for peers in this instance's failure domain.
	SameDomain bool
	// Share is the fraction of all rates that the peer issues, as far as known; 0
	// for a peer that issues nothing.
	Share float64
	// Factors are those of the peer's domain; see SetFactors.
	Factors map[string]float64

	backoffUntil time.Duration
}

// share returns the fraction of one account's rate that the peer issues.
func (p Peer) share(account string) float64 {
	if factor, ok := p.Factors[account]; ok {
		return p.Share * factor
	}
	return p.Share
}

// TokenRequest is a request for tokens to send to a peer.
type TokenRequest struct {
	ID   uint64
	Peer string
	Body wire.RateRequest
}

// Return is a one-way message to send to a peer.
type Return struct {
	Peer string
	Body wire.RateReturn
}

// pendingTokenRequest is a token request that is not answered yet.
type pendingTokenRequest struct {
	peer      string
	createdAt time.Duration
	accounts  []string
}

// SetPeers replaces the peers to request tokens from, nearest first. Peers that
// issue nothing are left out, since they have nothing to grant. If no share is
// known, as on an instance that starts while the log is down, all peers are
// assumed to have equal shares; otherwise no token requests would be sent and
// every request would be refused.
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
				l.peers[i].backoffUntil = o.backoffUntil
			}
		}
	}
}

// HandleTokenRequest grants what it can of a peer's token request and debits the
// granted tokens here.
func (l *Limiter) HandleTokenRequest(now time.Duration, req wire.RateRequest) wire.RateGrant {
	l.advanceShare(now)
	g := wire.RateGrant{From: l.settings.Self, DebitedAtNanos: int64(now)}
	for i, item := range req.Items {
		a := l.accounts[item.Account]
		if a == nil || i >= wire.MaxRateItems {
			continue
		}
		l.advance(a, now)
		tokens := l.lendable(a, now, req.From, item)
		a.unmetTokenRequest.record(now, req.From, item, tokens)
		if tokens > 0 {
			a.bucket.lend(now, l.settings.GrantLifetime, tokens)
		}
		item.Tokens = a.bucket.balance
		left := l.lendable(a, now, req.From, item) // still available to this peer
		g.Items = append(g.Items, wire.RateGrantItem{Account: item.Account, Tokens: tokens, Remaining: left})
	}
	return g
}

// lendable returns how many of the requested tokens may be granted. If two
// instances both lack tokens, the one whose request has waited longer gets them;
// otherwise each would keep a part until both requests time out. Credits from
// other peers are never passed on, since their lifetime is tracked by their
// granter.
func (l *Limiter) lendable(a *account, now time.Duration, from string, item wire.RateItem) float64 {
	if !(item.Tokens > 0) || a.unmetTokenRequest.blocks(now, from, item) {
		return 0
	}
	if len(a.waiters) > 0 && a.waiters[0].waited(now).Microseconds() >= item.WaitedMicros {
		return 0
	}
	return max(0, min(item.Tokens, a.bucket.balance))
}

// idleBalance returns the balance, or 0 if requests are waiting here.
func (l *Limiter) idleBalance(a *account) float64 {
	if len(a.waiters) > 0 {
		return 0
	}
	return max(0, a.bucket.balance)
}

// HandleGrant handles a peer's answer to a token request. Tokens that arrive too
// late are returned.
func (l *Limiter) HandleGrant(now time.Duration, peer string, id uint64, g wire.RateGrant) {
	l.advanceShare(now)
	until := now
	p, ok := l.pending[id]
	if ok && p.peer == peer {
		l.dropPendingTokenRequest(id, p)
		until = p.createdAt + l.settings.creditLifetime()
	}
	for i, item := range g.Items {
		a := l.accounts[item.Account]
		if a == nil || i >= wire.MaxRateItems {
			continue
		}
		h := a.peerHints[peer]
		h.tokens, h.at = item.Remaining, now
		a.peerHints[peer] = h
		if item.Tokens > 0 {
			l.acceptCredit(a, now, credit{peer: peer, incarnation: g.From, grantedAt: g.DebitedAtNanos, until: until, tokens: item.Tokens})
		}
	}
}

// acceptCredit adds granted tokens, or returns them if they have expired.
func (l *Limiter) acceptCredit(a *account, now time.Duration, c credit) {
	l.advance(a, now)
	if now >= c.until {
		l.queueUnspent(a, c, c.tokens)
		return
	}
	a.bucket.addCredit(c)
	l.activate(a)
}

// TokenRequestFailed records that a token request got no answer. Tokens that the
// peer may have debited are lost.
func (l *Limiter) TokenRequestFailed(now time.Duration, id uint64) {
	p, ok := l.pending[id]
	if !ok {
		return
	}
	l.dropPendingTokenRequest(id, p)
	for i := range l.peers {
		if l.peers[i].ID == p.peer {
			l.peers[i].backoffUntil = now + unresponsivePeerBackoff
		}
	}
}

// HandleReturn settles grants of this instance: unspent tokens come back, spent
// ones no longer lower the limit.
func (l *Limiter) HandleReturn(now time.Duration, r wire.RateReturn) {
	l.advanceShare(now)
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
			a.bucket.reduceLoan(at, item.Spent)
		}
		if item.Unspent > 0 {
			a.bucket.returnUnspent(at, item.Unspent)
		}
		if item.Refunded > 0 {
			a.bucket.refund(at, item.Refunded)
		}
	}
}

// queueUnspent queues the return of unspent tokens of a credit.
func (l *Limiter) queueUnspent(a *account, c credit, tokens float64) {
	if tokens > 0 {
		l.queueReturn(c, wire.RateReturnItem{Account: a.name, DebitedAtNanos: c.grantedAt, Unspent: tokens})
	}
}

// queueReturn queues an item for a granter. The items between two Ticks share
// one message per granter, up to the maximum number of items.
func (l *Limiter) queueReturn(c credit, item wire.RateReturnItem) {
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

// dropPendingTokenRequest removes a pending token request.
func (l *Limiter) dropPendingTokenRequest(id uint64, p pendingTokenRequest) {
	delete(l.pending, id)
	for _, name := range p.accounts {
		if a := l.accounts[name]; a != nil && a.pendingTokenRequests > 0 {
			a.pendingTokenRequests--
		}
	}
}

// expireTokenRequests gives up token requests whose tokens would have expired by
// now.
func (l *Limiter) expireTokenRequests(now time.Duration) {
	for id, p := range l.pending {
		if now >= p.createdAt+l.settings.creditLifetime() {
			l.TokenRequestFailed(now, id)
		}
	}
}
