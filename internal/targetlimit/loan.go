package targetlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

// loanTerm is how long a slot is lent at most. It exceeds the time that requests take; loans end
// earlier unless the borrower is lost.
const loanTerm = time.Minute

// Loan is a slot of a target that one instance lets another use.
type Loan struct {
	// ID is chosen by the borrower.
	ID uint64
	// Peer is the other instance: the name of a lender, the incarnation of a borrower.
	Peer   string
	endsAt time.Duration
}

// Lenders returns the other instances that have a share of a target's slots.
func (l *Limiter) Lenders(now time.Duration, id Target) []string {
	t, rejections := l.bounded(now, id)
	if t == nil {
		return nil
	}
	type candidate struct {
		name   string
		weight uint64
	}
	candidates := make([]candidate, len(l.members))
	for i, name := range l.members {
		candidates[i] = candidate{name, rendezvousWeight(t.hash, l.view[i])}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	var out []string
	for _, c := range candidates[:min(len(candidates), t.room(now, id.Slots, rejections))] {
		if c.name != l.self {
			out = append(out, c.name)
		}
	}
	return out
}

// Lend lends a slot of a target, of which this instance uses the given number, and reports whether
// one is free. The answer to a repeated request is the same.
func (l *Limiter) Lend(now time.Duration, id Target, inUse int, borrower string, loan uint64) bool {
	t, _ := l.bounded(now, id)
	if t == nil {
		return true // there is no bound; the borrower doesn't know that yet
	}
	if slices.ContainsFunc(t.lent, func(o Loan) bool { return o.ID == loan && o.Peer == borrower }) {
		return true
	}
	if limit, _ := l.MaxInFlight(now, id); !t.canSend(now) || inUse >= limit {
		return false
	}
	t.lent = append(t.lent, Loan{ID: loan, Peer: borrower, endsAt: now + loanTerm})
	return true
}

// EndLoansOf ends all loans to a borrower, which has ended.
func (l *Limiter) EndLoansOf(borrower string) (ended int) {
	for _, t := range l.targets {
		before := len(t.lent)
		t.lent = slices.DeleteFunc(t.lent, func(o Loan) bool { return o.Peer == borrower })
		ended += before - len(t.lent)
	}
	return ended
}

// EndLoan ends a loan to a borrower.
func (l *Limiter) EndLoan(id directory.Incarnation, borrower string, loan uint64) {
	if t := l.targets[id]; t != nil {
		t.lent = slices.DeleteFunc(t.lent, func(o Loan) bool { return o.ID == loan && o.Peer == borrower })
	}
}

// Borrow records a slot that a lender has granted to this instance.
func (l *Limiter) Borrow(now time.Duration, id Target, lender string, loan uint64) {
	if t, _ := l.bounded(now, id); t != nil {
		t.borrowed = append(t.borrowed, Loan{ID: loan, Peer: lender, endsAt: now + loanTerm})
	}
}

// HasBorrowed reports whether this instance has borrowed slots of a target.
func (l *Limiter) HasBorrowed(id directory.Incarnation) bool {
	t := l.targets[id]
	return t != nil && len(t.borrowed) > 0
}

// TakeUnusedLoans removes and returns the borrowed slots of a target that this instance, which uses
// the given number, doesn't need. They are to be returned to their lenders.
func (l *Limiter) TakeUnusedLoans(now time.Duration, id Target, inUse int) []Loan {
	t := l.targets[id.Incarnation]
	if t == nil || len(t.borrowed) == 0 {
		return nil
	}
	t.expireLoans(now)
	needed := max(0, inUse+t.abandoned-max(0, l.ownShare(now, t, id)-len(t.lent)))
	unused := slices.Clone(t.borrowed[min(needed, len(t.borrowed)):])
	t.borrowed = t.borrowed[:len(t.borrowed)-len(unused)]
	return unused
}

func (t *target) expireLoans(now time.Duration) {
	expired := func(o Loan) bool { return now >= o.endsAt }
	t.lent, t.borrowed = slices.DeleteFunc(t.lent, expired), slices.DeleteFunc(t.borrowed, expired)
}
