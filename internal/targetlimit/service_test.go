package targetlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
)

// deskTarget returns a target of a service other than testTarget.
func deskTarget(id string, startedMs int64) Target {
	return Target{Incarnation: directory.Incarnation{ID: id, StartedMs: startedMs}, Service: "desk", Slots: 4}
}

// Guards against a target that starts and gets any number of requests, because no answer has told
// yet that it bears as few rejections as the others of its service.
func TestNewTargetCountsAsLikeTheOthersOfItsService(t *testing.T) {
	is := is.New(t)
	first, second, third := deskTarget("one", 1), deskTarget("two", 1), deskTarget("one", 2)
	l := newSingleInstance()
	l.Observe(0, 0, first, Limit{Rejections: 2})
	peer := newSingleInstance()
	peer.ApplyReports(0, l.Reports())
	for _, x := range []*Limiter{l, peer} {
		limit, limited := x.MaxInFlight(0, second)
		is.True(limited)
		is.Equal(limit, second.Slots)
		other := second
		other.Service = "another"
		_, limited = x.MaxInFlight(0, other)
		is.True(!limited)
	}

	// One that has answered counts by its own answer.
	is.True(l.Observe(0, 0, second, Limit{}))
	_, limited := l.MaxInFlight(0, second)
	is.True(!limited)
	peer.ApplyReports(0, l.Reports())
	_, limited = peer.MaxInFlight(0, second)
	is.True(!limited)

	// The service is known after its last target has gone, until one of the next has answered.
	l.Retain(func(directory.Incarnation) bool { return false })
	_, limited = l.MaxInFlight(time.Second, third)
	is.True(limited)
	is.True(l.Observe(time.Second, time.Second, third, Limit{}))
	_, limited = l.MaxInFlight(time.Second, second)
	is.True(!limited)
}

// Guards against shares of a new target's slots that add up to more than it has, or that are not lent.
func TestNewTargetIsShared(t *testing.T) {
	is := is.New(t)
	f := newLoanFleet(20, 4)
	joined, sum := deskTarget("joined", 1), 0
	for _, l := range f.limiters {
		limit, limited := l.MaxInFlight(0, joined)
		is.True(limited)
		sum += limit
		if limit > 0 {
			is.True(l.Lend(0, joined, 0, "borrower", 1))
			limit, _ = l.MaxInFlight(0, joined)
			is.Equal(limit, 0)
			continue
		}
		is.Equal(len(l.Lenders(0, joined)), 4)
		l.Borrow(0, joined, "lender", 1)
		limit, _ = l.MaxInFlight(0, joined)
		is.Equal(limit, 1)
		is.Equal(len(l.TakeUnusedLoans(0, joined, 0)), 1)
	}
	is.Equal(sum, joined.Slots)
}
