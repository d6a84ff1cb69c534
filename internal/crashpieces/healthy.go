package crashpieces

import "time"

// maxHealthy is the number of pieces for which a healthy answer is remembered at least; at most twice
// as many are.
const maxHealthy = 4096

// healthyAnswers holds the time at which the last healthy answer to each piece began. Instead of
// searching for the oldest ones, it drops the older half when the newer one is full.
type healthyAnswers struct{ newer, older map[Piece]time.Duration }

func newHealthyAnswers() healthyAnswers {
	return healthyAnswers{newer: map[Piece]time.Duration{}}
}

// record adds a healthy answer. It returns false if it began no later than the last one.
func (s *healthyAnswers) record(a HealthyAnswer) bool {
	if last, ok := s.last(a.Piece); ok && last >= a.BegunAt {
		return false
	}
	if len(s.newer) >= maxHealthy {
		s.older, s.newer = s.newer, map[Piece]time.Duration{}
	}
	s.newer[a.Piece] = a.BegunAt
	return true
}

// last returns the time at which the last healthy answer to a piece began.
func (s *healthyAnswers) last(p Piece) (time.Duration, bool) {
	if at, ok := s.newer[p]; ok {
		return at, true
	}
	at, ok := s.older[p]
	return at, ok
}

// since reports whether a healthy answer to the piece began after a time.
func (s *healthyAnswers) since(p Piece, at time.Duration) bool {
	last, ok := s.last(p)
	return ok && last > at
}
