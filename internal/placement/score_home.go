package placement

import "time"

// homeScorer counts on the first target in rendezvous order to hold a part of
// what nothing is known of. Its term is negative: the time that this would
// spare, weighed as recomputing is.
type homeScorer struct {
	factor float64
}

func (homeScorer) Name() string { return "home" }

func (s homeScorer) Cost(_ time.Duration, r *Request, t *Target, c *Candidate) time.Duration {
	return -time.Duration(r.factor(s.factor) * float64(seconds(c.AssumedCachedTokens, t.rate())))
}
