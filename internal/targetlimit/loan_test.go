package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loanFleet is a set of instances that share the slots of one target and lend them.
type loanFleet struct {
	slots    int
	limiters map[string]*Limiter
	inUse    map[string]int
}

func newLoanFleet(instances, slots int) *loanFleet {
	f := &loanFleet{slots: slots, limiters: map[string]*Limiter{}, inUse: map[string]int{}}
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("i%02d", i))
	}
	for _, name := range names {
		l := New(-takeoverDelay, name)
		l.SetFleet(0, names, true)
		l.Observe(0, 0, testTarget, Limit{Rejections: 3})
		f.limiters[name] = l
	}
	return f
}

// send has an instance take room for a request, borrowed if need be, and reports whether there was
// any.
func (f *loanFleet) send(now time.Duration, name string, loan uint64) bool {
	l := f.limiters[name]
	if f.inUse[name] >= slotShare(l, now, f.slots) {
		for _, lender := range l.Lenders(now, withSlots(f.slots)) {
			if f.limiters[lender].Lend(now, withSlots(f.slots), f.inUse[lender], name, loan) {
				l.Borrow(now, testTarget, lender, loan)
				break
			}
		}
	}
	if f.inUse[name] >= slotShare(l, now, f.slots) {
		return false
	}
	f.inUse[name]++
	return true
}

// end ends a request of an instance and returns what it doesn't need any more.
func (f *loanFleet) end(now time.Duration, name string) {
	f.inUse[name]--
	for _, loan := range f.limiters[name].TakeUnusedLoans(now, withSlots(f.slots), f.inUse[name]) {
		f.limiters[loan.Peer].EndLoan(testTarget.Incarnation, name, loan.ID)
	}
}

// total returns the requests that the target may have.
func (f *loanFleet) total() (n int) {
	for name, l := range f.limiters {
		n += f.inUse[name] + l.targets[testTarget.Incarnation].abandoned
	}
	return n
}

// Guards against instances without a share of a target's slots that together send it more than it
// has room for, and against those that may send nothing although there is room.
func TestInstancesWithoutAShareBorrowSlots(t *testing.T) {
	is := is.New(t)
	const instances, slots, steps = 20, 6, 20000
	f, rng := newLoanFleet(instances, slots), rand.New(rand.NewPCG(1, 1))
	now, refusedWithRoom, sent := time.Duration(0), 0, map[string]int{}
	for step := range steps {
		now += ms
		name := fmt.Sprintf("i%02d", rng.IntN(instances))
		l := f.limiters[name]
		switch action := rng.IntN(10); {
		case action < 6:
			before := f.total()
			if f.send(now, name, uint64(step)) {
				sent[name]++
			} else if before < slots {
				refusedWithRoom++
			}
		case f.inUse[name] > 0 && action < 8:
			f.end(now, name)
		case f.inUse[name] > 0:
			is.True(l.Abandon(0, testTarget))
			f.end(now, name)
		case l.targets[testTarget.Incarnation].abandoned > 0:
			l.Release(testTarget.Incarnation)
			f.inUse[name]++ // end returns what was kept for it
			f.end(now, name)
		}
		is.True(f.total() <= slots)
	}
	is.Equal(len(sent), instances)
	is.Equal(refusedWithRoom, 0)
}

// Guards against a slot that is lost for good with its borrower, or granted twice when the request
// for it is repeated.
func TestLoansEnd(t *testing.T) {
	is := is.New(t)
	const slots = 2
	f := newLoanFleet(5, slots)
	lender := f.limiters["i00"].Lenders(0, withSlots(slots))[0]
	l := f.limiters[lender]
	is.True(l.Lend(0, withSlots(slots), 0, "borrower", 7))
	is.Equal(slotShare(l, 0, slots), 0)
	is.True(l.Lend(0, withSlots(slots), 0, "borrower", 7)) // the same one
	is.True(!l.Lend(0, withSlots(slots), 0, "borrower", 8))
	l.EndLoan(testTarget.Incarnation, "another", 7)
	is.Equal(slotShare(l, 0, slots), 0)
	is.Equal(l.EndLoansOf("another"), 0)
	is.Equal(l.EndLoansOf("borrower"), 1)
	is.Equal(slotShare(l, 0, slots), 1)
	is.True(l.Lend(0, withSlots(slots), 0, "borrower", 7))
	l.EndLoan(testTarget.Incarnation, "borrower", 7)
	is.Equal(slotShare(l, 0, slots), 1)
	is.True(l.Lend(0, withSlots(slots), 0, "borrower", 9))
	is.Equal(slotShare(l, loanTerm, slots), 1)

	var borrower *Limiter
	for name, candidate := range f.limiters {
		if slotShare(candidate, 0, slots) == 0 && name != lender {
			borrower = candidate
		}
	}
	borrower.Borrow(0, testTarget, lender, 9)
	is.Equal(slotShare(borrower, loanTerm-1, slots), 1)
	is.Equal(slotShare(borrower, loanTerm, slots), 0)
	is.True(!borrower.HasBorrowed(testTarget.Incarnation))
}
