package placement

import "time"

// homeScorer favours the home target, which is assumed to have cached more than is
// known. Its term is negative: the time that the assumed tokens would save, weighted
// like recomputed tokens.
type homeScorer struct {
	recomputeFactor float64
	rate            func(*Target) float64
}

func (homeScorer) Name() string { return "home" }

func (s homeScorer) Cost(_ time.Duration, r *Request, t *Target, c *Candidate) time.Duration {
	return -time.Duration(r.recomputeFactor(s.recomputeFactor) * float64(processingTime(c.AssumedCachedTokens, s.rate(t))))
}
