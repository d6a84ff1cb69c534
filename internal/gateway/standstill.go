package gateway

import (
	"sync"
	"time"
)

const (
	// stillAfter is the pause between two ticks from which on the process has
	// stood still: four times the usual one.
	stillAfter = 4 * sweepEvery
	// stillKept is how long after its end a standstill is told. By then what
	// came in meanwhile has been read, and each peer that lives was heard or,
	// every 2 s, announced.
	stillKept = 2500 * time.Millisecond
)

// standstill notices that this process stood still, as when its machine was
// suspended. What it hears right after that may be as old as the standstill.
type standstill struct {
	mu       sync.Mutex
	tickedAt time.Duration
	length   time.Duration
	endedAt  time.Duration
}

// tick is called all the while.
func (s *standstill) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > stillAfter {
		s.length, s.endedAt = gap, now
	}
	s.tickedAt = now
}

// recent is the length of a standstill that is just over; 0 for none.
func (s *standstill) recent(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > stillAfter {
		return gap // not noticed yet
	}
	if s.length > 0 && now-s.endedAt < stillKept {
		return s.length
	}
	return 0
}
