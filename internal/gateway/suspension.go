package gateway

import (
	"sync"
	"time"
)

const (
	// suspendedAfter is the pause between two ticks from which the process
	// counts as suspended: four times the usual one.
	suspendedAfter = 4 * sweepInterval
	// suspensionKept is how long after its end a suspension is reported. By
	// then what came in meanwhile has been read, and each live peer has sent a
	// message or, every 2 s, been announced.
	suspensionKept = 2500 * time.Millisecond
)

// suspension notices that this process was suspended, as when its machine
// freezes. What it receives right after that may be as old as the suspension.
type suspension struct {
	mu       sync.Mutex
	tickedAt time.Duration
	length   time.Duration
	endedAt  time.Duration
}

// tick is called all the while.
func (s *suspension) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > suspendedAfter {
		s.length, s.endedAt = gap, now
	}
	s.tickedAt = now
}

// recent is the length of a suspension that has just ended; 0 for none.
func (s *suspension) recent(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > suspendedAfter {
		return gap // not noticed yet
	}
	if s.length > 0 && now-s.endedAt < suspensionKept {
		return s.length
	}
	return 0
}
