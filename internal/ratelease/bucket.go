package ratelease

import (
	"slices"
	"time"
)

// bucket is the token bucket of one account on this instance.
type bucket struct {
	rate, burst float64 // of the whole fleet
	share       float64 // fraction of both that this instance issues
	balance     float64 // tokens refilled here or moved here from credits, at most limit()
	updatedAt   time.Duration
	seq         uint64 // number of the latest spend or loan change
	loans       []loan // ordered by expiry
	ended       endedLoans
	credits     []credit // ordered by expiry
	headroom    headroomLog
}

// loan is tokens that were sent to a peer and may still be spendable there.
type loan struct {
	lentAt, until time.Duration
	tokens        float64
	// freedSeq is the value of bucket.seq from which on the loan lowers the limit
	// by less than was sent; 0 while it still counts in full.
	freedSeq uint64
}

// credit is tokens received from a peer, which can be spent here until they
// expire.
type credit struct {
	peer, incarnation string
	grantedAt         int64 // by the granter's clock
	until             time.Duration
	tokens            float64
}

// limit returns the current upper bound of balance. Tokens on loan are
// subtracted: otherwise the bucket could refill while they are out, and both
// could be spent at the same moment.
func (b *bucket) limit() float64 {
	limit := b.share * b.burst
	for _, l := range b.loans {
		limit -= l.tokens
	}
	return limit
}

// advance brings the bucket up to now. It returns the credits, or parts of them,
// that expired unspent and did not fit into the bucket.
func (b *bucket) advance(now time.Duration, refillFactor float64) []credit {
	var leftover []credit
	for {
		loanEnds := len(b.loans) > 0 && b.loans[0].until <= now
		creditEnds := len(b.credits) > 0 && b.credits[0].until <= now
		if creditEnds && (!loanEnds || b.credits[0].until <= b.loans[0].until) {
			leftover = b.expireCredit(leftover, refillFactor)
			continue
		}
		if !loanEnds {
			break
		}
		b.accrue(b.loans[0].until, refillFactor)
		b.closeLoan(0)
	}
	b.accrue(now, refillFactor)
	return leftover
}

// expireCredit moves the credit that expires first into the balance, as far as
// there was room at its expiry, and appends the rest to leftover.
func (b *bucket) expireCredit(leftover []credit, refillFactor float64) []credit {
	c := b.credits[0]
	b.credits = append(b.credits[:0], b.credits[1:]...)
	b.accrue(c.until, refillFactor)
	moved := min(c.tokens, max(0, b.limit()-b.balance))
	b.balance += moved
	b.clamp()
	if c.tokens -= moved; c.tokens > 0 {
		leftover = append(leftover, c)
	}
	return leftover
}

// accrue refills the balance up to time t with the current loans.
func (b *bucket) accrue(t time.Duration, refillFactor float64) {
	if t > b.updatedAt {
		b.balance += b.rate * b.share * refillFactor * (t - b.updatedAt).Seconds()
		b.updatedAt = t
	}
	b.clamp()
}

// clamp cuts the balance to the limit and records the remaining headroom.
func (b *bucket) clamp() {
	limit := max(0, b.limit())
	b.balance = min(b.balance, limit)
	b.headroom.record(b.updatedAt, b.seq, limit-b.balance)
}

// restore returns tokens to the balance, at most the given room, which is the
// least headroom since they were debited. It returns how many were restored.
func (b *bucket) restore(tokens, room float64) float64 {
	restored := min(tokens, room)
	b.balance += restored
	b.headroom.reduce(restored)
	b.clamp()
	return restored
}

// available returns the tokens that can be spent now.
func (b *bucket) available() float64 {
	sum := b.balance
	for _, c := range b.credits {
		sum += c.tokens
	}
	return sum
}

// spend takes tokens, first from the credits that expire soonest, and returns
// the credits used. The caller has checked available; a debt may make the
// balance negative.
func (b *bucket) spend(tokens float64) []credit {
	var used []credit
	for len(b.credits) > 0 && tokens > 0 {
		c := &b.credits[0]
		n := min(c.tokens, tokens)
		c.tokens -= n
		tokens -= n
		taken := *c
		taken.tokens = n
		used = append(used, taken)
		if c.tokens <= 0 {
			b.credits = append(b.credits[:0], b.credits[1:]...)
		}
	}
	b.balance -= tokens
	b.seq++
	b.clamp()
	return used
}

// addCredit inserts a credit in order of expiry.
func (b *bucket) addCredit(c credit) {
	i := len(b.credits)
	for i > 0 && b.credits[i-1].until > c.until {
		i--
	}
	b.credits = slices.Insert(b.credits, i, c)
}

// lend debits tokens for a peer and lowers the limit until the loan ends.
func (b *bucket) lend(now, lifetime time.Duration, tokens float64) {
	b.balance -= tokens
	b.loans = append(b.loans, loan{lentAt: now, until: now + lifetime, tokens: tokens})
}

// reduceLoan raises the limit again by tokens that the receiver has spent.
func (b *bucket) reduceLoan(at time.Duration, tokens float64) {
	i := b.findLoan(at)
	if i < 0 {
		return
	}
	if b.loans[i].tokens -= tokens; b.loans[i].tokens <= 0 {
		b.closeLoan(i)
		return
	}
	b.recordFreed(i)
}

// recordFreed records the point from which a loan no longer counts in full.
func (b *bucket) recordFreed(i int) {
	if b.loans[i].freedSeq == 0 {
		b.seq++
		b.loans[i].freedSeq = b.seq
	}
	b.clamp()
}

// findLoan returns the index of an open loan, or -1.
func (b *bucket) findLoan(at time.Duration) int {
	return slices.IndexFunc(b.loans, func(l loan) bool { return l.lentAt == at })
}

// closeLoan removes a loan and remembers when it stopped counting in full.
func (b *bucket) closeLoan(i int) {
	b.loans[i].tokens = 0
	b.recordFreed(i)
	b.ended.add(b.loans[i].lentAt, b.loans[i].freedSeq)
	b.loans = append(b.loans[:i], b.loans[i+1:]...)
}

// returnUnspent takes back tokens of a loan that were never spent: from the loan
// while it is open, otherwise like a refund.
func (b *bucket) returnUnspent(at time.Duration, tokens float64) {
	i := b.findLoan(at)
	if i < 0 || b.loans[i].tokens < tokens {
		b.refund(at, tokens)
		return
	}
	b.loans[i].tokens -= tokens
	b.balance += tokens
	b.clamp()
}

// refund takes back tokens of a loan that were spent but not used, as far as
// there was headroom ever since the loan stopped counting them. They never come
// out of an open loan: what is left of it are other tokens, which the receiver
// can still spend.
func (b *bucket) refund(at time.Duration, tokens float64) {
	freed := b.ended.freedSeq(at)
	if i := b.findLoan(at); i >= 0 {
		freed = b.loans[i].freedSeq
	}
	if freed == 0 { // evicted, or the report that they were spent has not arrived
		b.restore(tokens, b.headroom.minSince(at))
		return
	}
	b.restore(tokens, b.headroom.minAfterSeq(freed))
}

// maxEndedLoans is how many ended loans are remembered.
const maxEndedLoans = 32

// endedLoans remembers loan.freedSeq of the latest ended loans.
type endedLoans struct {
	entries [maxEndedLoans]struct {
		at    time.Duration
		freed uint64
	}
	next int
}

func (e *endedLoans) add(at time.Duration, freed uint64) {
	e.entries[e.next].at, e.entries[e.next].freed = at, freed
	e.next = (e.next + 1) % maxEndedLoans
}

// freedSeq returns freedSeq of the loan made at the given time; 0 if it is no
// longer remembered.
func (e *endedLoans) freedSeq(at time.Duration) uint64 {
	for _, l := range e.entries {
		if l.at == at && l.freed > 0 {
			return l.freed
		}
	}
	return 0
}
