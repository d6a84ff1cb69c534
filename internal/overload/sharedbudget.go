package overload

import "sync"

// SharedBudget is a Budget that is safe for concurrent use.
type SharedBudget struct {
	mu sync.Mutex
	b  *Budget
}

// NewSharedBudget makes one as NewBudget does.
func NewSharedBudget(ratio, reserve, start float64) *SharedBudget {
	return &SharedBudget{b: NewBudget(ratio, reserve, start)}
}

// Request counts a request at its first attempt.
func (s *SharedBudget) Request() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b.Request()
}

// Repeat takes one repeated attempt from the budget; false when it is spent.
func (s *SharedBudget) Repeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Repeat()
}

// RepeatAbove takes one repeated attempt if at least a reserve is left then.
func (s *SharedBudget) RepeatAbove(reserve float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.RepeatAbove(reserve)
}

// Saved is the attempts that could be repeated now.
func (s *SharedBudget) Saved() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Saved()
}

// SetReserve changes the most that is saved up.
func (s *SharedBudget) SetReserve(reserve float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b.SetReserve(reserve)
}
