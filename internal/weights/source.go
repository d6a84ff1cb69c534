package weights

import "time"

// source adapts the number of loads at once to the weight source, which all
// targets share. While one load more makes all of them take longer in
// proportion, the source has no room for it, and their targets only come back
// late together. Loads of targets that serve are not counted: they wait for
// running requests.
type source struct {
	// fastest is the time of the fastest load seen, by the loads at once.
	fastest map[int]time.Duration
	most    int
	// saturated is set once a load more was seen to bring nothing.
	saturated bool
}

// saturation is the part of a proportional slow-down that shows saturation:
// targets are asked in intervals, which blurs their times.
const saturation = 0.95

// limit is the number of loads at once; start as long as none was observed.
func (s *source) limit(start int) int {
	if len(s.fastest) == 0 {
		s.most = start
	}
	return s.most
}

// observe takes in the time of a load that was one of so many at once.
func (s *source) observe(atOnce int, took time.Duration) {
	if s.fastest == nil {
		s.fastest = map[int]time.Duration{}
	}
	if f, known := s.fastest[atOnce]; !known || took < f {
		s.fastest[atOnce] = took
	}
	if s.saturated || atOnce < s.most {
		return
	}
	if fewer := s.below(atOnce); fewer > 0 {
		inProportion := float64(s.fastest[fewer]) * float64(atOnce) / float64(fewer)
		if float64(s.fastest[atOnce]) >= saturation*inProportion {
			s.most, s.saturated = fewer, true
			return
		}
	}
	s.most = atOnce + max(1, atOnce/4)
}

// below is the next smaller number of loads at once that was observed; 0 for
// none.
func (s *source) below(atOnce int) int {
	for n := atOnce - 1; n > 0; n-- {
		if _, known := s.fastest[n]; known {
			return n
		}
	}
	return 0
}
