package rate

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

// Reasons of a refusal. None of the refused requests has run.
var (
	// ErrUnknownAccount: the configuration in force has no such account.
	ErrUnknownAccount = errors.New("rate: unknown account")
	// ErrTooLarge: the request costs more than the account's whole burst
	// and can never be admitted.
	ErrTooLarge = errors.New("rate: request larger than the account's burst")
	// ErrOverRate: no tokens within the time that the request may wait.
	ErrOverRate = errors.New("rate: account over its rate")
	// ErrTooMany: too many requests of the account wait for tokens.
	ErrTooMany = errors.New("rate: too many requests waiting")
)

// maxWaiters bounds the waiting requests of one account.
const maxWaiters = 1024

// Ticket names a waiting request.
type Ticket uint64

// Reservation is tokens debited for one request. Confirm it right before
// dispatch and Settle it once, when the request is over.
type Reservation struct {
	Account string
	Tokens  float64
	// At is the time of the debit.
	At time.Duration

	seq  uint64
	from []credit // tokens that came from peers, if any
}

// Outcome is the decision on one request.
type Outcome struct {
	Ticket Ticket
	// Waiting is set while there is no decision yet; a later Ready has it.
	Waiting     bool
	Reservation Reservation
	// Err is one of the reasons of refusal, or nil.
	Err error
	// RetryAfter is, with ErrOverRate, when the tokens missing now will
	// have been minted.
	RetryAfter time.Duration
}

// Limiter decides on the requests that arrive at one instance. It is not safe
// for concurrent use.
type Limiter struct {
	settings Settings
	parts    []Part
	filled   map[string]bool    // parts whose first burst was given
	share    float64            // of the parts in force since at
	at       time.Duration      // up to here parts are accounted for
	boundary time.Duration      // when the share changes next
	factors  map[string]float64 // see SetFactors
	accounts map[string]*account
	active   []*account // those that Tick looks at
	peers    []Peer
	pending  map[uint64]pendingAsk
	lastAsk  uint64
	lastWait Ticket
	returns  []Return
	hints    wire.RateHints
	hintsAt  time.Duration
}

// account is one client account on this instance.
type account struct {
	name    string
	active  bool // is on the active list
	bucket  bucket
	factor  factor
	demand  demand
	claim   claim
	waiters []waiter
	asking  int           // asks without an answer
	askedAt time.Duration // of the last round
	seenAt  time.Duration // of the last request
	typical float64       // moving average of the cost of a request
	known   map[string]hint
}

// New makes a limiter that holds no part and no account.
func New(s Settings) *Limiter {
	return &Limiter{
		settings: s,
		boundary: never,
		accounts: map[string]*account{},
		filled:   map[string]bool{},
		pending:  map[uint64]pendingAsk{},
	}
}

// SetAccount puts an account's rate (tokens per second) and burst (tokens)
// into force. A new account starts with no tokens.
func (l *Limiter) SetAccount(now time.Duration, name string, rate, burst float64) {
	l.settle(now)
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, known: map[string]hint{}, askedAt: -l.settings.AskInterval}
		a.factor.nextAt = never
		a.bucket.at = now
		a.factor.value = l.factorOf(name)
		a.bucket.share = l.share * a.factor.value
		l.accounts[name] = a
	}
	l.advance(a, now)
	a.bucket.rate, a.bucket.burst = rate, burst
	a.bucket.clamp()
}

// RemoveAccount forgets an account and refuses its waiting requests.
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

// Admit decides on a request of the given cost in tokens. The request may
// wait until the deadline, but no longer than Settings.MaxWait.
func (l *Limiter) Admit(now time.Duration, name string, cost float64, deadline time.Duration) Outcome {
	l.settle(now)
	a := l.accounts[name]
	switch {
	case a == nil:
		return Outcome{Err: ErrUnknownAccount}
	case cost > a.bucket.burst:
		return Outcome{Err: ErrTooLarge}
	}
	l.advance(a, now)
	a.saw(now, cost)
	l.activate(a)
	if len(a.waiters) == 0 && a.bucket.available() >= cost {
		return Outcome{Reservation: l.debit(a, now, cost)}
	}
	if len(a.waiters) >= maxWaiters {
		return Outcome{Err: ErrTooMany, RetryAfter: l.retryAfter(a, cost)}
	}
	l.lastWait++
	w := waiter{ticket: l.lastWait, cost: cost, since: now, until: min(deadline, now+l.settings.MaxWait)}
	a.waiters = append(a.waiters, w)
	return Outcome{Ticket: w.ticket, Waiting: true}
}

// Confirm reports whether a reservation may still be dispatched. A process
// that was paused between the debit and the dispatch must Settle it with 0
// used and ask again: the window of its debit has passed.
func (l *Limiter) Confirm(now time.Duration, r Reservation) bool {
	return now-r.At <= l.settings.DispatchWithin
}

// Settle ends a reservation: tokens not used go back as far as the bucket had
// room for them since the debit, tokens used above it become a debt. It empties
// the reservation: a second call does nothing.
func (l *Limiter) Settle(now time.Duration, r *Reservation, used float64) {
	l.settle(now)
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
	unused -= a.bucket.restore(unused, a.bucket.low.leastAfter(r.seq))
	for _, c := range r.from {
		n := min(c.tokens, unused)
		unused -= n
		l.report(c, wire.RateReturnItem{Account: a.name, DebitedAtNanos: c.grantedAt, Refunded: n})
	}
}

func (l *Limiter) activate(a *account) {
	if !a.active {
		a.active = true
		l.active = append(l.active, a)
	}
}

// debit takes the cost from the bucket.
func (l *Limiter) debit(a *account, now time.Duration, cost float64) Reservation {
	r := Reservation{Account: a.name, Tokens: cost, At: now}
	r.from = a.bucket.spend(cost)
	r.seq = a.bucket.seq
	for _, c := range r.from {
		l.report(c, wire.RateReturnItem{Account: a.name, DebitedAtNanos: c.grantedAt, Spent: c.tokens})
	}
	return r
}

// advance brings one account to now; credits without room go back.
func (l *Limiter) advance(a *account, now time.Duration) {
	if a.factor.due(now) {
		l.advanceTo(a, a.factor.nextAt)
		a.factor.value, a.factor.nextAt = a.factor.next, never
		a.bucket.share = l.share * a.factor.value
	}
	l.advanceTo(a, now)
}

func (l *Limiter) advanceTo(a *account, now time.Duration) {
	for _, c := range a.bucket.advance(now, l.mint()) {
		l.giveBack(a, c, c.tokens)
	}
}

// mint is the part of the rate that is minted: a clock that runs fast must
// not mint more than the rate in true time.
func (l *Limiter) mint() float64 { return 1 / (1 + l.settings.Drift) }

// saw counts a request for the forecast of what to fetch ahead.
func (a *account) saw(now time.Duration, cost float64) {
	const weight = 0.2
	a.seenAt = now
	a.demand.add(now, cost)
	if a.typical == 0 {
		a.typical = cost
	}
	a.typical += weight * (cost - a.typical)
}
