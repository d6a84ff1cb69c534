package placement

import "time"

// linkScorer adds the network round trip to a target in another failure domain.
type linkScorer struct {
	domain string
	delay  time.Duration
}

func (linkScorer) Name() string { return "link" }

func (s linkScorer) Cost(_ time.Duration, _ *Request, t *Target, _ *Candidate) time.Duration {
	if t.Domain == s.domain {
		return 0
	}
	return 2 * s.delay
}
