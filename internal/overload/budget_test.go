package overload

import (
	"testing"

	"github.com/matryer/is"
)

// Every attempt fails for a long time, as when a whole domain is gone and
// callers keep coming. The attempts stay within 1.1 times the requests, above
// what was saved before the failure.
func TestAttemptsStayNearRequestsWhenAllFail(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(DefaultRetryRatio, DefaultRetryReserve, DefaultInitialRetries)
	const requests = 100_000
	attempts := 0
	for range requests {
		b.AddRequest()
		attempts++
		for range 2 { // each request would be repeated twice
			if b.TakeRetry() {
				attempts++
			}
		}
	}
	is.True(attempts <= requests*11/10+DefaultInitialRetries)
	is.True(attempts > requests*109/100) // and the budget is used
}

// A fleet grows: each instance's part of what may be saved up shrinks at once,
// also what it has saved already.
func TestReserveFollowsTheFleet(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(DefaultRetryRatio, 30, 30)
	b.SetReserve(5)
	is.Equal(b.Available(), 5.0)
	b.SetReserve(30)
	is.Equal(b.Available(), 5.0)
}

// After calm hours a domain with a third of 900 open requests fails. The
// reserve pays for one repeat of each, so no caller sees the failure.
func TestReservePaysForLostDomain(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(DefaultRetryRatio, DefaultRetryReserve, DefaultInitialRetries)
	for range 20_000 {
		b.AddRequest()
	}
	for range 300 {
		is.True(b.TakeRetry())
	}
}
