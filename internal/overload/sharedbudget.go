package overload

import "sync"

// SharedRetryBudget is a Budget that is safe for concurrent use.
type SharedRetryBudget struct {
	mu sync.Mutex
	b  *RetryBudget
}

// NewSharedRetryBudget makes one as NewBudget does.
func NewSharedRetryBudget(ratio, reserve, start float64) *SharedRetryBudget {
	return &SharedRetryBudget{b: NewRetryBudget(ratio, reserve, start)}
}

// AddRequest counts a request at its first attempt.
func (s *SharedRetryBudget) AddRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b.AddRequest()
}

// TakeRetry takes one repeated attempt from the budget; false when it is spent.
func (s *SharedRetryBudget) TakeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.TakeRetry()
}

// TakeRetryAbove takes one repeated attempt if at least a reserve is left then.
func (s *SharedRetryBudget) TakeRetryAbove(reserve float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.TakeRetryAbove(reserve)
}

// Available is the attempts that could be repeated now.
func (s *SharedRetryBudget) Available() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Available()
}

// SetReserve changes the most that is saved up.
func (s *SharedRetryBudget) SetReserve(reserve float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b.SetReserve(reserve)
}
