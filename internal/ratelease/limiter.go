package ratelease

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

// Reasons of a refusal. A refused request has not run.
var (
	// ErrUnknownAccount means that the current configuration has no such account.
	ErrUnknownAccount = errors.New("rate: unknown account")
	// ErrTooLarge means that the request costs more than the account's burst and
	// can never be admitted.
	ErrTooLarge = errors.New("rate: request larger than the account's burst")
	// ErrOverRate means that there were not enough tokens in the time that the
	// request may wait.
	ErrOverRate = errors.New("rate: account over its rate")
	// ErrTooManyWaiting means that too many requests of the account are waiting
	// for tokens.
	ErrTooManyWaiting = errors.New("rate: too many requests waiting")
)

// maxWaiters bounds the waiting requests of one account.
const maxWaiters = 1024

// Ticket identifies a waiting request.
type Ticket uint64

// Reservation holds the tokens debited for one request. Confirm it right before
// the request is dispatched and Settle it once, when the request has ended.
type Reservation struct {
	Account string
	Tokens  float64
	// At is the time of the debit.
	At time.Duration

	seq  uint64
	from []credit // tokens received from peers, if any
}

// Outcome is the decision on one request.
type Outcome struct {
	Ticket Ticket
	// Waiting is true if the request is not decided yet; a later Ready contains
	// the decision.
	Waiting     bool
	Reservation Reservation
	// Err is nil or one of the reasons of a refusal.
	Err error
	// RetryAfter is set with ErrOverRate and ErrTooManyWaiting: the time until the
	// missing tokens will have been refilled.
	RetryAfter time.Duration
}

// Limiter decides on the requests that arrive at one instance. It is not safe
// for concurrent use.
type Limiter struct {
	settings           Settings
	allocations        []Allocation
	initialBurstGiven  map[string]bool    // by name: allocations that have received their initial burst
	share              float64            // sum of the allocations in effect
	settledUntil       time.Duration      // share is up to date until here
	nextShareChange    time.Duration      // when the share changes next
	factors            map[string]float64 // see SetFactors
	accounts           map[string]*account
	active             []*account // accounts that Tick has to process
	peers              []Peer
	pending            map[uint64]pendingTokenRequest
	lastTokenRequestID uint64
	lastTicket         Ticket
	returns            []Return
	hints              wire.RateHints
	hintsAt            time.Duration
}

// account is the state of one client account on this instance.
type account struct {
	name                 string
	active               bool // is on the active list
	bucket               bucket
	factor               shareFactor
	demand               demandAverage
	unmetTokenRequest    unmetTokenRequest
	waiters              []waiter
	pendingTokenRequests int           // not answered yet
	lastRoundAt          time.Duration // of the last round of token requests
	lastRequestAt        time.Duration // of the last request by a caller
	createdAt            time.Duration
	typicalCost          float64 // moving average of the cost of a request
	peerHints            map[string]hint
}

// New returns a Limiter without allocations or accounts.
func New(s Settings) *Limiter {
	return &Limiter{
		settings:          s,
		nextShareChange:   never,
		accounts:          map[string]*account{},
		initialBurstGiven: map[string]bool{},
		pending:           map[uint64]pendingTokenRequest{},
	}
}

// SetAccount sets an account's rate (tokens per second) and burst (tokens). A
// new account starts with no tokens.
func (l *Limiter) SetAccount(now time.Duration, name string, rate, burst float64) {
	l.advanceShare(now)
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, peerHints: map[string]hint{}, lastRoundAt: -l.settings.TokenRequestInterval, createdAt: now}
		a.factor.nextAt = never
		a.bucket.updatedAt = now
		a.factor.value = l.factorOf(name)
		a.bucket.share = l.share * a.factor.value
		l.accounts[name] = a
	}
	l.advance(a, now)
	a.bucket.rate, a.bucket.burst = rate, burst
	a.bucket.clamp()
}

// RemoveAccount removes an account and refuses its waiting requests.
func (l *Limiter) RemoveAccount(name string) []Outcome {
	a := l.accounts[name]
	if a == nil {
		return nil
	}
	delete(l.accounts, name)
	l.active = slices.DeleteFunc(l.active, func(o *account) bool { return o == a })
	var done []Outcome
	for _, w := range a.waiters {
		done = append(done, Outcome{Ticket: w.ticket, Err: ErrUnknownAccount})
	}
	return done
}

// Admit decides on a request of the given cost in tokens. The request may wait
// until the deadline, but no longer than Settings.MaxWait.
func (l *Limiter) Admit(now time.Duration, name string, cost float64, deadline time.Duration) Outcome {
	l.advanceShare(now)
	a := l.accounts[name]
	switch {
	case a == nil:
		return Outcome{Err: ErrUnknownAccount}
	case cost > a.bucket.burst:
		return Outcome{Err: ErrTooLarge}
	}
	l.advance(a, now)
	a.recordRequest(now, cost)
	l.activate(a)
	if len(a.waiters) == 0 && a.bucket.available() >= cost {
		return Outcome{Reservation: l.debit(a, now, cost)}
	}
	if len(a.waiters) >= maxWaiters {
		return Outcome{Err: ErrTooManyWaiting, RetryAfter: l.retryAfter(a, cost)}
	}
	l.lastTicket++
	w := waiter{ticket: l.lastTicket, cost: cost, since: now, until: min(deadline, now+l.settings.MaxWait), deadline: deadline}
	a.waiters = append(a.waiters, w)
	return Outcome{Ticket: w.ticket, Waiting: true}
}

// Confirm reports whether a reservation may still be dispatched. A process that
// was suspended between the debit and the dispatch must Settle it with 0 used
// and call Admit again, since the tokens belong to the time window of the debit.
func (l *Limiter) Confirm(now time.Duration, r Reservation) bool {
	return now-r.At <= l.settings.MaxDispatchDelay
}

// Settle ends a reservation. Unused tokens are restored as far as the bucket had
// room for them ever since the debit, and go back to the peers that granted them
// otherwise; tokens used beyond the reservation become a debt. Settle clears the
// reservation, so that a second call does nothing.
func (l *Limiter) Settle(now time.Duration, r *Reservation, used float64) {
	l.advanceShare(now)
	a := l.accounts[r.Account]
	if a == nil {
		return
	}
	defer func() { *r = Reservation{} }()
	l.advance(a, now)
	if used > r.Tokens {
		a.bucket.spend(used - r.Tokens)
		return
	}
	unused := r.Tokens - used
	unused -= a.bucket.restore(unused, a.bucket.headroom.minAfterSeq(r.seq))
	for _, c := range r.from {
		n := min(c.tokens, unused)
		unused -= n
		l.queueReturn(c, wire.RateReturnItem{Account: a.name, DebitedAtNanos: c.grantedAt, Refunded: n})
	}
}

func (l *Limiter) activate(a *account) {
	if !a.active {
		a.active = true
		l.active = append(l.active, a)
	}
}

// debit takes the cost of a request from the bucket.
func (l *Limiter) debit(a *account, now time.Duration, cost float64) Reservation {
	r := Reservation{Account: a.name, Tokens: cost, At: now}
	r.from = a.bucket.spend(cost)
	r.seq = a.bucket.seq
	for _, c := range r.from {
		l.queueReturn(c, wire.RateReturnItem{Account: a.name, DebitedAtNanos: c.grantedAt, Spent: c.tokens})
	}
	return r
}

// advance brings one account up to now and returns credits that did not fit into
// the bucket to their granters.
func (l *Limiter) advance(a *account, now time.Duration) {
	if a.factor.changeDue(now) {
		l.advanceTo(a, a.factor.nextAt)
		a.factor.value, a.factor.nextAt = a.factor.next, never
		a.bucket.share = l.share * a.factor.value
	}
	l.advanceTo(a, now)
}

func (l *Limiter) advanceTo(a *account, now time.Duration) {
	for _, c := range a.bucket.advance(now, l.refillFactor()) {
		l.queueUnspent(a, c, c.tokens)
	}
}

// refillFactor returns the factor by which buckets are refilled below the rate:
// with a clock that runs fast, an instance must not issue more than the rate in
// true time.
func (l *Limiter) refillFactor() float64 { return 1 / (1 + l.settings.MaxClockDrift) }

// recordRequest updates the demand, which the split follows, and the typical cost
// of a request, which prefetching uses.
func (a *account) recordRequest(now time.Duration, cost float64) {
	const weight = 0.2
	a.lastRequestAt = now
	a.demand.add(now, cost)
	if a.typicalCost == 0 {
		a.typicalCost = cost
	}
	a.typicalCost += weight * (cost - a.typicalCost)
}
