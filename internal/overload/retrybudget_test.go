package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every attempt fails for a long time, as when a whole domain is lost and callers keep
// sending. The attempts must stay within 1.1 times the requests, plus the retries that
// were available before the failure.
func TestRetriesAreBoundedWhenAllAttemptsFail(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(DefaultRetryRatio, DefaultRetryReserve, DefaultInitialRetries)
	const requests = 100_000
	attempts := 0
	for range requests {
		b.AddRequest()
		attempts++
		for range 2 { // each request would be retried twice
			if b.TakeRetry() {
				attempts++
			}
		}
	}
	is.True(attempts <= requests*11/10+DefaultInitialRetries)
	is.True(attempts > requests*109/100) // the budget is used
}

// When the fleet grows, each instance's share of the reserve shrinks immediately, including
// the retries that it has accumulated already.
func TestReserveFollowsFleetSize(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(DefaultRetryRatio, 30, 30)
	b.SetReserve(5)
	is.Equal(b.Available(), 5.0)
	b.SetReserve(30)
	is.Equal(b.Available(), 5.0)
}

// After a long time without failures, a domain with a third of 900 open requests fails. The
// reserve must allow one retry of each, so that no caller sees the failure.
func TestReserveCoversLostDomain(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(DefaultRetryRatio, DefaultRetryReserve, DefaultInitialRetries)
	for range 20_000 {
		b.AddRequest()
	}
	for range 300 {
		is.True(b.TakeRetry())
	}
}

// Guards against fleets whose instances are too many for the fixed reserve: no instance could
// save up the two retries that it must have before it moves a stream.
func TestReserveGrowsWithTraffic(t *testing.T) {
	is := is.New(t)
	const base, ratio, perRequest, perSecond = 1.5, 0.14, 0.03, 20
	b := NewRetryBudget(ratio, base, 1)
	for second := range 60 {
		for range perSecond {
			b.AddRequest()
		}
		b.SetReserveForTraffic(time.Duration(second)*time.Second, base, perRequest)
	}
	most := base + perRequest*perSecond*reserveWindow.Seconds()
	is.True(b.Available() > most/2+1) // a stream may be moved, half of the reserve is left
	is.True(b.Available() < most*1.1)
	b.SetReserveForTraffic(10*time.Minute, base, perRequest)
	is.True(b.Available() <= base*1.01) // what was saved up ends with the traffic
}
