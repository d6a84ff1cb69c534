package gateway

import (
	"sync"
	"time"
)

const (
	// suspensionThreshold is the time between two ticks above which the process counts as
	// suspended, four times the usual one.
	suspensionThreshold = 4 * sweepInterval
	// suspensionReportPeriod is how long a suspension is reported after its end. By then,
	// everything received during it has been read, and each live peer has sent a message or
	// has been announced, which happens every 2 s.
	suspensionReportPeriod = 2500 * time.Millisecond
)

// suspensionDetector detects that this process was suspended, for example because its
// whole machine was. What the process receives right after that may be as old as the
// suspension.
type suspensionDetector struct {
	mu       sync.Mutex
	tickedAt time.Duration
	duration time.Duration
	endedAt  time.Duration
}

// tick records that the process is running. It must be called at regular intervals.
func (s *suspensionDetector) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > suspensionThreshold {
		s.duration, s.endedAt = gap, now
	}
	s.tickedAt = now
}

// recent returns the duration of a suspension that has just ended; 0 for none.
func (s *suspensionDetector) recent(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now - s.tickedAt; gap > suspensionThreshold {
		return gap // the next tick has yet to record it
	}
	if s.duration > 0 && now-s.endedAt < suspensionReportPeriod {
		return s.duration
	}
	return 0
}
