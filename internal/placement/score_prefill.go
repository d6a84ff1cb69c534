package placement

import "time"

// prefillScorer adds the time for the prompt tokens that the target has not cached.
// They are recomputed, or fetched from another target if that is faster.
type prefillScorer struct {
	recomputeFactor float64
	transferRate    float64
	transferSetup   time.Duration
	// rate returns the prefill rate at which tokens count.
	rate func(*Target) float64
}

func (prefillScorer) Name() string { return "prefill" }

func (s prefillScorer) Cost(_ time.Duration, r *Request, t *Target, c *Candidate) time.Duration {
	rest := float64(r.PromptTokens - r.fullTokens())
	available := max(c.CachedPieces, r.FetchablePieces)
	missing := float64(r.fullTokens() - r.LeadingTokens(available))
	transferred := float64(r.LeadingTokens(available) - r.LeadingTokens(c.CachedPieces))
	rate, factor := s.rate(t), r.recomputeFactor(s.recomputeFactor)
	cost := time.Duration(factor * float64(processingTime(missing, rate)))
	if transferred > 0 {
		cost += min(
			time.Duration(factor*float64(processingTime(transferred, rate))),
			s.transferSetup+time.Duration(factor*float64(processingTime(transferred, s.transferRate))),
		)
	}
	return cost + processingTime(rest, rate)
}
