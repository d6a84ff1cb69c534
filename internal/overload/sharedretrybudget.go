package overload

import (
	"sync"
	"time"
)

// SharedRetryBudget is a RetryBudget that is safe for concurrent use.
type SharedRetryBudget struct {
	mu sync.Mutex
	b  *RetryBudget
}

// NewSharedRetryBudget returns a SharedRetryBudget; see NewRetryBudget.
func NewSharedRetryBudget(ratio, reserve, initial float64) *SharedRetryBudget {
	return &SharedRetryBudget{b: NewRetryBudget(ratio, reserve, initial)}
}

// AddRequest counts the first attempt of a request.
func (s *SharedRetryBudget) AddRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b.AddRequest()
}

// TakeRetry takes one retry from the budget. It returns false if none is available.
func (s *SharedRetryBudget) TakeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.TakeRetry()
}

// TakeRetryAbove takes one retry if at least reserve retries remain afterwards.
func (s *SharedRetryBudget) TakeRetryAbove(reserve float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.TakeRetryAbove(reserve)
}

// Available returns the number of retries available.
func (s *SharedRetryBudget) Available() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Available()
}

// SetReserveForTraffic adapts the maximum number of accumulated retries to the requests; see
// RetryBudget.SetReserveForTraffic.
func (s *SharedRetryBudget) SetReserveForTraffic(now time.Duration, base, perRequest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b.SetReserveForTraffic(now, base, perRequest)
}

// Reserve returns the maximum number of accumulated retries.
func (s *SharedRetryBudget) Reserve() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.reserve
}

// SetReserve changes the maximum number of accumulated retries.
func (s *SharedRetryBudget) SetReserve(reserve float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b.SetReserve(reserve)
}
