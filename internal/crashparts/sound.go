package crashparts

import "time"

// maxSound is the number of parts for which a sound answer is remembered at least; at most twice
// as many are.
const maxSound = 4096

// soundAnswers holds the time at which the last sound answer to each part began. Instead of
// searching for the oldest ones, it drops the older half when the newer one is full.
type soundAnswers struct{ newer, older map[Part]time.Duration }

func newSoundAnswers() soundAnswers {
	return soundAnswers{newer: map[Part]time.Duration{}}
}

// record adds a sound answer. It returns false if it began no later than the last one.
func (s *soundAnswers) record(a Sound) bool {
	if last, ok := s.last(a.Part); ok && last >= a.BegunAt {
		return false
	}
	if len(s.newer) >= maxSound {
		s.older, s.newer = s.newer, map[Part]time.Duration{}
	}
	s.newer[a.Part] = a.BegunAt
	return true
}

// last returns the time at which the last sound answer to a part began.
func (s *soundAnswers) last(p Part) (time.Duration, bool) {
	if at, ok := s.newer[p]; ok {
		return at, true
	}
	at, ok := s.older[p]
	return at, ok
}

// since reports whether a sound answer to the part began after a time.
func (s *soundAnswers) since(p Part, at time.Duration) bool {
	last, ok := s.last(p)
	return ok && last > at
}
