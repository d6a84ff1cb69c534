package gateway

import (
	"sync"
	"time"
)

const (
	// suspensionThreshold is the pause between two ticks from which the process
	// counts as suspended: four times the usual one.
	suspensionThreshold = 4 * sweepEvery
	// suspensionReportPeriod is how long after its end a suspension is reported. By
	// then what came in meanwhile has been read, and each live peer has sent a
	// message or, every 2 s, been announced.
	suspensionReportPeriod = 2500 * time.Millisecond
)

// suspensionDetector notices that this process was suspended, as when its machine
// freezes. What it receives right after that may be as old as the suspensionDetector.
type suspensionDetector struct {
	mu       sync.Mutex
	tickedAt time.Duration
	duration time.Duration
	endedAt  time.Duration
}

// tick is called all the while.
func (s *suspensionDetector) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > suspensionThreshold {
		s.duration, s.endedAt = gap, now
	}
	s.tickedAt = now
}

// recent is the length of a suspension that has just ended; 0 for none.
func (s *suspensionDetector) recent(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > suspensionThreshold {
		return gap // not noticed yet
	}
	if s.duration > 0 && now-s.endedAt < suspensionReportPeriod {
		return s.duration
	}
	return 0
}
