package rate

import (
	"slices"
	"time"
)

// bucket holds one account's tokens on this instance.
type bucket struct {
	rate, burst float64 // of the whole fleet
	share       float64 // part of both that this instance mints
	balance     float64 // minted here or settled here, at most room()
	at          time.Duration
	seq         uint64 // number of the last spend or end of a loan
	lent        []loan // in order of their end
	ended       endedLoans
	credits     []credit // in order of their end
	low         headroomLog
}

// loan is tokens sent to a peer that may still be spendable there.
type loan struct {
	at, until time.Duration
	tokens    float64
	// freed is the number in bucket.seq since which the loan lowers the limit
	// by less than was sent; 0 while it is counted in full.
	freed uint64
}

// credit is tokens from a peer, spendable here until they expire.
type credit struct {
	peer, incarnation string
	grantedAt         int64 // the granter's clock
	until             time.Duration
	tokens            float64
}

// limit is the most that balance may be now. Tokens lent count against it:
// else the bucket could fill up behind them and both be spent in one instant.
func (b *bucket) limit() float64 {
	limit := b.share * b.burst
	for _, l := range b.lent {
		limit -= l.tokens
	}
	return limit
}

// advance brings the bucket to now and returns credits that expired unspent
// and found no room here.
func (b *bucket) advance(now time.Duration, mint float64) []credit {
	var left []credit
	for {
		loanEnds := len(b.lent) > 0 && b.lent[0].until <= now
		creditEnds := len(b.credits) > 0 && b.credits[0].until <= now
		if creditEnds && (!loanEnds || b.credits[0].until <= b.lent[0].until) {
			left = b.endCredit(left, mint)
			continue
		}
		if !loanEnds {
			break
		}
		b.accrue(b.lent[0].until, mint)
		b.closeLoan(0)
	}
	b.accrue(now, mint)
	return left
}

// endCredit settles the credit that ends first into the balance, as far as
// there is room at its end.
func (b *bucket) endCredit(left []credit, mint float64) []credit {
	c := b.credits[0]
	b.credits = append(b.credits[:0], b.credits[1:]...)
	b.accrue(c.until, mint)
	got := min(c.tokens, max(0, b.limit()-b.balance))
	b.balance += got
	b.clamp()
	if c.tokens -= got; c.tokens > 0 {
		left = append(left, c)
	}
	return left
}

// accrue mints up to time t with the loans as they are.
func (b *bucket) accrue(t time.Duration, mint float64) {
	if t > b.at {
		b.balance += b.rate * b.share * mint * (t - b.at).Seconds()
		b.at = t
	}
	b.clamp()
}

// clamp cuts the balance to the limit and notes the room that is left.
func (b *bucket) clamp() {
	limit := max(0, b.limit())
	b.balance = min(b.balance, limit)
	b.low.note(b.at, b.seq, limit-b.balance)
}

// restore puts back tokens that the bucket had room for ever since, given as
// the least room, and returns how many that are.
func (b *bucket) restore(tokens, room float64) float64 {
	got := min(tokens, room)
	b.balance += got
	b.low.used(got)
	b.clamp()
	return got
}

// available is what may be spent at once.
func (b *bucket) available() float64 {
	sum := b.balance
	for _, c := range b.credits {
		sum += c.tokens
	}
	return sum
}

// spend takes tokens, credits that end soonest first, and returns the credits
// it took from. The caller has checked available; a debt may go below zero.
func (b *bucket) spend(tokens float64) []credit {
	var used []credit
	for len(b.credits) > 0 && tokens > 0 {
		c := &b.credits[0]
		n := min(c.tokens, tokens)
		c.tokens -= n
		tokens -= n
		u := *c
		u.tokens = n
		used = append(used, u)
		if c.tokens <= 0 {
			b.credits = append(b.credits[:0], b.credits[1:]...)
		}
	}
	b.balance -= tokens
	b.seq++
	b.clamp()
	return used
}

// addCredit keeps the credits in order of their end.
func (b *bucket) addCredit(c credit) {
	i := len(b.credits)
	for i > 0 && b.credits[i-1].until > c.until {
		i--
	}
	b.credits = slices.Insert(b.credits, i, c)
}

// lend debits tokens for a peer and lowers the limit until they are gone.
func (b *bucket) lend(now, lifetime time.Duration, tokens float64) {
	b.balance -= tokens
	b.lent = append(b.lent, loan{at: now, until: now + lifetime, tokens: tokens})
}

// endLoan raises the limit again by tokens that the receiver has spent.
func (b *bucket) endLoan(at time.Duration, tokens float64) {
	i := b.loan(at)
	if i < 0 {
		return
	}
	if b.lent[i].tokens -= tokens; b.lent[i].tokens <= 0 {
		b.closeLoan(i)
		return
	}
	b.free(i)
}

// free notes the room from the moment on at which a loan is no longer counted
// in full.
func (b *bucket) free(i int) {
	if b.lent[i].freed == 0 {
		b.seq++
		b.lent[i].freed = b.seq
	}
	b.clamp()
}

// loan is the index of a running loan, or -1.
func (b *bucket) loan(at time.Duration) int {
	return slices.IndexFunc(b.lent, func(l loan) bool { return l.at == at })
}

// closeLoan drops a loan.
func (b *bucket) closeLoan(i int) {
	b.lent[i].tokens = 0
	b.free(i)
	b.ended.add(b.lent[i].at, b.lent[i].freed)
	b.lent = append(b.lent[:i], b.lent[i+1:]...)
}

// takeBack accepts tokens of a loan that were never spent: from the loan
// while it runs, else like a refund.
func (b *bucket) takeBack(at time.Duration, tokens float64) {
	i := b.loan(at)
	if i < 0 || b.lent[i].tokens < tokens {
		b.refund(at, tokens)
		return
	}
	b.lent[i].tokens -= tokens
	b.balance += tokens
	b.clamp()
}

// refund accepts tokens of a loan that were spent and not used, as far as
// there was room since the loan no longer counted them. They are never taken
// from a loan that still runs: what is left of it is other tokens, which the
// receiver can still spend.
func (b *bucket) refund(at time.Duration, tokens float64) {
	freed := b.ended.freed(at)
	if i := b.loan(at); i >= 0 {
		freed = b.lent[i].freed
	}
	if freed == 0 { // forgotten, or spent without our knowing yet
		b.restore(tokens, b.low.leastSince(at))
		return
	}
	b.restore(tokens, b.low.leastAfter(freed))
}

// keptLoans is how many ended loans are remembered.
const keptLoans = 32

// endedLoans remembers loan.freed of the last ended loans.
type endedLoans struct {
	list [keptLoans]struct {
		at    time.Duration
		freed uint64
	}
	next int
}

func (e *endedLoans) add(at time.Duration, freed uint64) {
	e.list[e.next].at, e.list[e.next].freed = at, freed
	e.next = (e.next + 1) % keptLoans
}

// freed is that number for the loan made at the given time; 0 if forgotten.
func (e *endedLoans) freed(at time.Duration) uint64 {
	for _, l := range e.list {
		if l.at == at && l.freed > 0 {
			return l.freed
		}
	}
	return 0
}
