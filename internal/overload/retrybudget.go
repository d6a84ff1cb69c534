package overload

import (
	"math"
	"time"
)

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the number of retries that each request adds to the budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryReserve is the maximum number of retries that can accumulate. It covers
	// the requests that fail at once when a failure domain is lost.
	DefaultRetryReserve = 1000
	// DefaultInitialRetries is the number of retries available to a new instance.
	DefaultInitialRetries = 50
)

// RetryBudget limits retries to a fraction of the requests. Without it, every request to a
// failed domain would be retried several times, and the load of the retries would make the
// remaining domains fail too. It is not safe for concurrent use.
type RetryBudget struct {
	ratio     float64
	reserve   float64
	available float64
	// recent is the number of requests of about the last reserveWindow, up to countedAt. uncounted
	// is the number of those since.
	recent, uncounted float64
	countedAt         time.Duration
}

// reserveWindow is the time over which retries are limited in relation to requests.
const reserveWindow = 10 * time.Second

// NewRetryBudget returns a budget to which each request adds ratio retries, up to reserve.
// It starts with initial retries.
func NewRetryBudget(ratio, reserve, initial float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve, available: min(initial, reserve)}
}

// SetReserve changes the maximum number of accumulated retries, for example when the fleet
// that shares a limit changes its size.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.reserve = reserve
	b.available = min(b.available, reserve)
}

// SetReserveForTraffic sets the maximum number of accumulated retries to base plus perRequest
// for each request of about the last reserveWindow. The share of one of many instances in a fixed
// number is too small to accumulate even the retries that its own requests allow.
func (b *RetryBudget) SetReserveForTraffic(now time.Duration, base, perRequest float64) {
	elapsed := max(0, now-b.countedAt)
	b.recent = b.recent*math.Exp(-elapsed.Seconds()/reserveWindow.Seconds()) + b.uncounted
	b.countedAt, b.uncounted = now, 0
	b.SetReserve(base + perRequest*b.recent)
}

// AddRequest counts the first attempt of a request.
func (b *RetryBudget) AddRequest() {
	b.uncounted++
	b.available = min(b.reserve, b.available+b.ratio)
}

// TakeRetry takes one retry from the budget. It returns false if none is available; the
// request must then not be retried.
func (b *RetryBudget) TakeRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// TakeRetryAbove takes one retry if at least reserve retries remain afterwards.
func (b *RetryBudget) TakeRetryAbove(reserve float64) bool {
	return b.available >= reserve+1 && b.TakeRetry()
}

// Available returns the number of retries available.
func (b *RetryBudget) Available() float64 { return b.available }
