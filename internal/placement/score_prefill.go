package placement

import "time"

// prefillScorer counts the prompt tokens that the target does not hold: they
// are recomputed, or moved from the KV store where that is faster.
type prefillScorer struct {
	factor   float64
	transfer float64
	setup    time.Duration
}

func (prefillScorer) Name() string { return "prefill" }

func (s prefillScorer) Cost(_ time.Duration, r *Request, t *Target, c *Candidate) time.Duration {
	rest := float64(r.PromptTokens - r.fullTokens())
	missing := float64(r.fullTokens() - r.LeadingTokens(c.CachedPieces))
	rate := t.rate()
	compute := time.Duration(r.factor(s.factor) * float64(seconds(missing, rate)))
	if s.transfer > 0 && missing > 0 {
		compute = min(compute, s.setup+seconds(missing, s.transfer))
	}
	return compute + seconds(rest, rate)
}
