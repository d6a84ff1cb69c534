package placement

import "time"

// prefillScorer counts the prompt tokens that the target does not hold: they
// are recomputed, or fetched from a target that holds them where that is
// faster.
type prefillScorer struct {
	factor   float64
	transfer float64
	setup    time.Duration
}

func (prefillScorer) Name() string { return "prefill" }

func (s prefillScorer) Cost(_ time.Duration, r *Request, t *Target, c *Candidate) time.Duration {
	rest := float64(r.PromptTokens - r.fullTokens())
	held := max(c.CachedPieces, r.FetchablePieces)
	missing := float64(r.fullTokens() - r.LeadingTokens(held))
	moved := float64(r.LeadingTokens(held) - r.LeadingTokens(c.CachedPieces))
	rate, factor := t.rate(), r.factor(s.factor)
	compute := time.Duration(factor * float64(seconds(missing, rate)))
	if moved > 0 {
		compute += min(
			time.Duration(factor*float64(seconds(moved, rate))),
			s.setup+time.Duration(factor*float64(seconds(moved, s.transfer))),
		)
	}
	return compute + seconds(rest, rate)
}
