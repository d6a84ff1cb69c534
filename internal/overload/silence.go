package overload

import "time"

// StallDetector notices a target that stopped answering without closing its
// connections, as when its machine loses power or a link is cut. Requests sent
// there would wait until their deadlines. It is not safe for concurrent use.
type StallDetector struct {
	// progressAt is when something of an answer came last.
	progressAt time.Duration
	open       map[uint64]openLeg
	next       uint64
}

type openLeg struct {
	sent time.Duration
	// streaming is set once the answer has begun.
	streaming bool
}

const (
	// streamSilence is the silence after which a target with streams under
	// way counts as gone: many times the pause between two of its events,
	// also under load, and twice what callers call on time.
	streamSilence = time.Second
	// waitSilence is that time while it has only requests whose answers have
	// not begun: a busy engine may take so long for a first token.
	waitSilence = 2 * time.Second
)

// Begin notes a request that is sent and gives its number.
func (s *StallDetector) Begin(now time.Duration) uint64 {
	if s.open == nil {
		s.open = map[uint64]openLeg{}
	}
	s.next++
	s.open[s.next] = openLeg{sent: now}
	return s.next
}

// Progress notes that something of a request's answer came.
func (s *StallDetector) Progress(now time.Duration, n uint64) {
	s.progressAt = now
	if leg, ok := s.open[n]; ok && !leg.streaming {
		leg.streaming = true
		s.open[n] = leg
	}
}

// AnsweredSince says whether something of an answer came after that time.
func (s *StallDetector) AnsweredSince(at time.Duration) bool { return s.progressAt > at }

// End notes that a request is over.
func (s *StallDetector) End(n uint64) { delete(s.open, n) }

// Stalled says that the target has been silent for too long while it had
// requests to answer. Time before the oldest of them does not count: nothing
// was to come then.
func (s *StallDetector) Stalled(now time.Duration) bool {
	oldest, limit := now, waitSilence
	for _, leg := range s.open {
		oldest = min(oldest, leg.sent)
		if leg.streaming {
			limit = streamSilence
		}
	}
	return now-max(s.progressAt, oldest) > limit
}
